"""Entries of another writer among those of targets, members and configurations.

Guards against nodes that end, or stop following the store, for one odd entry.
"""

import base64

import msgspec
import pytest

from endivebeam_model import (
    Address,
    DomainName,
    Member,
    MemberState,
    NodeId,
    RegionName,
    ServiceName,
    StoreEra,
)
from endivebeam_wire import FrameError
from endivebeam_wire._codec import _decode as decode_frame
from thistlegate import (
    AnnouncementFormatError,
    ConfigFormatError,
    read_announcement,
    read_config_document,
)
from thistlegate._store import _decode_members, _Row

DEEP = "[" * 100_000 + "]" * 100_000
ERA = StoreEra(1)
HUGE = "9" * 30
VERY_LONG = "9" * 5000
ANNOUNCEMENT = (
    '{"address": "10.1.0.1:80", "born": 1, "info": {"service": "stock", "slots": 8},'
    ' "status": {"state": "ready", "seq": 4, "coldLeftS": 1.5}, "more": 0}'
)
MEMBER = '["n1", 1, 2, ["10.1.0.1", 80], "r", "d", "stock", 8, "serving"]'

ODD_ANNOUNCEMENTS = [
    ('"more": 0', f'"more": {DEEP}'),
    ('"seq": 4', f'"seq": {HUGE}'),
    ('"seq": 4', '"seq": -4'),
    ('"born": 1', f'"born": {HUGE}'),
    ('"born": 1', '"born": 1e400'),
    ('"slots": 8', f'"slots": {HUGE}'),
    (":80", ":99999"),
    (":80", ":0"),
    (":80", ":²"),
    (":80", f":{VERY_LONG}"),
]
ODD_MEMBERS = [
    ('"serving"', f'"serving", {DEEP}'),
    ('"n1", 1', f'"n1", {HUGE}'),
    ('"n1", 1', f'"n1", {VERY_LONG}'),
    ('"n1", 1', '"n1", 1e400'),
    ('"n1", 1', '"n1", -1'),
    ("80]", "99999]"),
    ("80]", "-1]"),
]


def make_row(key: str, text: str) -> _Row:
    return _Row(key=key, ver=1, value=base64.b64encode(text.encode()).decode())


class TestAnnouncements:
    def test_usual_one_is_read(self):
        assert read_announcement("i-1", ANNOUNCEMENT.encode()).sequence == 4

    @pytest.mark.parametrize(
        ("usual", "odd"), ODD_ANNOUNCEMENTS, ids=lambda text: text[:16]
    )
    def test_odd_one_is_rejected(self, usual: str, odd: str):
        text = ANNOUNCEMENT.replace(usual, odd)
        with pytest.raises(AnnouncementFormatError):
            read_announcement("i-1", text.encode())


class TestMembers:
    @pytest.mark.parametrize(("usual", "odd"), ODD_MEMBERS, ids=lambda text: text[:16])
    def test_odd_row_is_left_out_and_the_others_are_read(self, usual: str, odd: str):
        rows = [make_row("n1", MEMBER.replace(usual, odd)), make_row("n2", MEMBER)]
        assert [member.node_id for member in _decode_members(rows, ERA)] == ["n2"]

    @pytest.mark.parametrize("value", ["é", "a", "====", "\x00"])
    def test_row_that_is_no_base64_is_left_out(self, value: str):
        rows = [_Row(key="n1", ver=1, value=value), make_row("n2", MEMBER)]
        assert [member.node_id for member in _decode_members(rows, ERA)] == ["n2"]

    def test_rows_of_nodes_stay_readable(self):
        member = Member(
            node_id=NodeId("n1"),
            incarnation=7,
            sequence=1 << 40,
            address=Address("10.1.0.1", 7000),
            region=RegionName("r"),
            domain=DomainName("d"),
            service=ServiceName("stock"),
            slots=8,
            state=MemberState.SERVING,
        )
        text = msgspec.json.encode(member).decode()
        assert _decode_members([make_row("n1", text)], ERA)[0].member == member


class TestConfigurations:
    def test_deeply_nested_document_is_rejected(self):
        with pytest.raises(ConfigFormatError):
            read_config_document(f'{{"version": "1", "more": {DEEP}}}'.encode())


class TestFrames:
    def test_deeply_nested_message_of_a_peer_is_rejected(self):
        with pytest.raises(FrameError):
            decode_frame(b"\x91" * 100_000 + b"\x90")
