"""Tests of configuration transfers: sender limits, receiver order, decoding."""

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
from endivebeam_fleet import _config_codec as config_codec
from endivebeam_fleet._transfers import IDLE_TIMEOUT_S, MAX_ENCODED_BYTES, MAX_TRANSFERS
from endivebeam_model import ConfigVersion, NodeId

VERSION = ConfigVersion(3)


def make_node_id(number: int) -> NodeId:
    return NodeId(f"n{number}")


class TestTransferSlots:
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 9), st.booleans(), st.floats(0, IDLE_TIMEOUT_S / 3)
            ),
            max_size=200,
        )
    )
    def test_number_of_active_receivers_is_bounded(
        self, events: list[tuple[int, bool, float]]
    ):
        """Guards against links that are saturated by configurations."""
        slots, now = TransferSlots(), 0.0
        # Reference model: nodes that recently received a part, but not the last one.
        active: dict[NodeId, float] = {}
        for number, is_last, gap_s in events:
            now += gap_s
            active = {n: at for n, at in active.items() if now - at <= IDLE_TIMEOUT_S}
            if slots.admit(make_node_id(number), now):
                active[make_node_id(number)] = now
                assert len(active) <= MAX_TRANSFERS
                if is_last:
                    slots.finish(make_node_id(number), VERSION)
                    del active[make_node_id(number)]
            else:
                assert make_node_id(number) not in active
                assert len(active) == MAX_TRANSFERS

    def test_idle_receiver_frees_its_slot(self):
        slots = TransferSlots()
        for number in range(MAX_TRANSFERS):
            assert slots.admit(make_node_id(number), 0.0)
        assert not slots.admit(make_node_id(9), IDLE_TIMEOUT_S)
        assert slots.admit(make_node_id(9), IDLE_TIMEOUT_S + 0.1)

    def test_receivers_of_an_older_version_are_not_returned(self):
        slots = TransferSlots()
        slots.finish(make_node_id(1), ConfigVersion(2))
        slots.finish(make_node_id(2), VERSION)
        assert slots.sources(VERSION) == (make_node_id(2),)


class TestConfigAssembler:
    @given(st.binary(min_size=1, max_size=60), st.integers(1, 9))
    def test_parts_in_order_are_joined(self, encoded: bytes, size: int):
        assembler, result = ConfigAssembler(), None
        while result is None:
            start = assembler.offset
            result = assembler.add(
                VERSION,
                offset=start,
                total_bytes=len(encoded),
                data=encoded[start : start + size],
            )
        assert result == encoded

    def test_newer_version_restarts_the_transfer(self):
        assembler = ConfigAssembler()
        assert assembler.add(VERSION, offset=0, total_bytes=4, data=b"ab") is None
        newer = ConfigVersion(4)
        assert assembler.add(newer, offset=0, total_bytes=4, data=b"cd") is None
        assert assembler.add(newer, offset=2, total_bytes=4, data=b"ef") == b"cdef"

    @pytest.mark.parametrize(
        ("version", "offset", "total_bytes", "data"),
        [
            (VERSION, 1, 4, b"c"),
            (ConfigVersion(4), 2, 4, b"c"),
            (VERSION, 2, 4, b""),
            (VERSION, 2, MAX_ENCODED_BYTES + 1, b"c"),
        ],
    )
    def test_part_out_of_sequence_is_rejected(
        self, version: ConfigVersion, offset: int, total_bytes: int, data: bytes
    ):
        """Guards against configurations of mixed versions or unbounded size."""
        assembler = ConfigAssembler()
        assembler.add(VERSION, offset=0, total_bytes=4, data=b"ab")
        with pytest.raises(ValueError, match=r"."):
            assembler.add(version, offset=offset, total_bytes=total_bytes, data=data)


class TestDecoding:
    @pytest.mark.parametrize(
        "data", [b"", b"no", zlib.compress(b"no"), zlib.compress(b"\x80")[:-1]]
    )
    def test_invalid_data_is_rejected(self, data: bytes):
        with pytest.raises(UnreadableConfigError):
            decode_config(data)

    def test_oversized_decompressed_data_is_rejected(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        monkeypatch.setattr(config_codec, "MAX_CONFIG_BYTES", 1000)
        with pytest.raises(UnreadableConfigError):
            decode_config(zlib.compress(bytes(1 << 20)))
