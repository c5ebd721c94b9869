"""Transfers of configurations: bounds at the sender, order at the receiver."""

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from endivebeam_fleet import (
    ConfigAssembler,
    TransferSlots,
    UnreadableConfigError,
    decode_config,
)
from endivebeam_fleet import _config as config_module
from endivebeam_fleet._transfers import IDLE_S, MAX_ENCODED_BYTES, MAX_TRANSFERS
from endivebeam_model import ConfigVersion, NodeId

VERSION = ConfigVersion(3)


def name(number: int) -> NodeId:
    return NodeId(f"n{number}")


class TestTransferSlots:
    @given(
        st.lists(
            st.tuples(st.integers(0, 9), st.booleans(), st.floats(0, IDLE_S / 3)),
            max_size=200,
        )
    )
    def test_never_more_than_the_bound_get_parts_at_once(
        self, events: list[tuple[int, bool, float]]
    ):
        """Guards against links that are full of configurations."""
        slots, now = TransferSlots(), 0.0
        # The naive version: whoever got a part lately and has not got the last one.
        active: dict[NodeId, float] = {}
        for number, is_last, gap_s in events:
            now += gap_s
            active = {n: at for n, at in active.items() if now - at <= IDLE_S}
            if slots.admit(name(number), now):
                active[name(number)] = now
                assert len(active) <= MAX_TRANSFERS
                if is_last:
                    slots.finish(name(number), VERSION)
                    del active[name(number)]
            else:
                assert name(number) not in active
                assert len(active) == MAX_TRANSFERS

    def test_receiver_that_gave_up_frees_its_place(self):
        slots = TransferSlots()
        for number in range(MAX_TRANSFERS):
            assert slots.admit(name(number), 0.0)
        assert not slots.admit(name(9), IDLE_S)
        assert slots.admit(name(9), IDLE_S + 0.1)

    def test_holders_of_an_older_version_are_not_named(self):
        slots = TransferSlots()
        slots.finish(name(1), ConfigVersion(2))
        slots.finish(name(2), VERSION)
        assert slots.holders(VERSION) == (name(2),)


class TestAssembly:
    @given(st.binary(min_size=1, max_size=60), st.integers(1, 9))
    def test_parts_in_order_give_the_whole(self, whole: bytes, size: int):
        assembly, found = ConfigAssembler(), None
        while found is None:
            start = assembly.offset
            found = assembly.add(
                VERSION,
                offset=start,
                total_bytes=len(whole),
                data=whole[start : start + size],
            )
        assert found == whole

    def test_newer_version_in_between_begins_anew(self):
        assembly = ConfigAssembler()
        assert assembly.add(VERSION, offset=0, total_bytes=4, data=b"ab") is None
        newer = ConfigVersion(4)
        assert assembly.add(newer, offset=0, total_bytes=4, data=b"cd") is None
        assert assembly.add(newer, offset=2, total_bytes=4, data=b"ef") == b"cdef"

    @pytest.mark.parametrize(
        ("version", "offset", "total_bytes", "data"),
        [
            (VERSION, 1, 4, b"c"),
            (ConfigVersion(4), 2, 4, b"c"),
            (VERSION, 2, 4, b""),
            (VERSION, 2, MAX_ENCODED_BYTES + 1, b"c"),
        ],
    )
    def test_part_that_does_not_follow_is_refused(
        self, version: ConfigVersion, offset: int, total_bytes: int, data: bytes
    ):
        """Guards against a configuration of mixed versions, and without end."""
        assembly = ConfigAssembler()
        assembly.add(VERSION, offset=0, total_bytes=4, data=b"ab")
        with pytest.raises(ValueError, match=r"."):
            assembly.add(version, offset=offset, total_bytes=total_bytes, data=data)


class TestDecoding:
    @pytest.mark.parametrize(
        "data", [b"", b"no", zlib.compress(b"no"), zlib.compress(b"\x80")[:-1]]
    )
    def test_bytes_that_are_no_configuration_are_refused(self, data: bytes):
        with pytest.raises(UnreadableConfigError):
            decode_config(data)

    def test_small_bytes_that_inflate_without_end_are_refused(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        monkeypatch.setattr(config_module, "MAX_CONFIG_BYTES", 1000)
        with pytest.raises(UnreadableConfigError):
            decode_config(zlib.compress(bytes(1 << 20)))
