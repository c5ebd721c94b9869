"""Log lines: their format, their rate limit, and a reader that has stopped."""

import json
import os
from collections.abc import Iterator

import pytest
from loguru import logger

from endivebeam_sidecar import (
    AttemptDetail,
    Decision,
    DecisionLog,
    LineBudget,
    LineWriter,
    configure_logging,
)
from endivebeam_sidecar._logs import BURST_LINES, LINES_PER_S


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def make_detail() -> AttemptDetail:
    return AttemptDetail(
        id="c1",
        service="stock",
        peer="n2",
        record=3,
        attempt=1,
        outcome="answered",
        status=200,
        reason="",
        left_ms=700,
    )


class TestDecisionLog:
    def test_line_has_the_common_fields_and_its_detail(self):
        lines: list[bytes] = []
        log = DecisionLog(
            node_id="n1", budget=LineBudget(clock=Clock()), write=lines.append
        )
        log.write(Decision.ANSWERED, make_detail)
        line = json.loads(lines[0])
        assert list(line)[:5] == ["at", "level", "node", "part", "message"]
        assert line["node"] == "n1"
        assert line["part"] == "calls"
        assert line["message"] == "A target answered."
        assert line["id"] == "c1"
        assert line["left_ms"] == 700

    def test_number_of_lines_is_bounded_and_failures_are_dropped_last(self):
        # Many lines about served requests must not use up the budget for failures.
        lines: list[bytes] = []
        clock = Clock()
        log = DecisionLog(
            node_id="n1", budget=LineBudget(clock=clock), write=lines.append
        )
        for _ in range(10_000):
            log.write(Decision.ANSWERED, make_detail)
        served = len(lines)
        assert served < BURST_LINES
        log.write(Decision.REQUEST_REJECTED, make_detail)
        assert len(lines) == served + 1
        assert json.loads(lines[-1])["omitted"] == 10_000 - served
        for _ in range(10_000):
            log.write(Decision.REQUEST_REJECTED, make_detail)
        assert len(lines) <= BURST_LINES
        clock.now += 1.0
        before = len(lines)
        for _ in range(10_000):
            log.write(Decision.REQUEST_REJECTED, make_detail)
        assert len(lines) - before <= LINES_PER_S + 1

    def test_detail_of_a_dropped_line_is_not_made(self):
        made: list[int] = []
        log = DecisionLog(
            node_id="n1", budget=LineBudget(clock=Clock()), write=lambda line: None
        )

        def count() -> AttemptDetail:
            made.append(1)
            return make_detail()

        for _ in range(5000):
            log.write(Decision.ANSWERED, count)
        assert len(made) < BURST_LINES


class TestLineWriter:
    def test_buffers_lines_and_writes_them_whole(self):
        read, write = os.pipe()
        writer = LineWriter(descriptor=write)
        writer.write(b"one\n")
        writer.write(b"two\n")
        writer.flush()
        assert os.read(read, 100) == b"one\ntwo\n"

    def test_stopped_reader_neither_blocks_the_node_nor_grows_its_memory(self):
        read, write = os.pipe()
        writer = LineWriter(descriptor=write)
        for number in range(20_000):
            writer.write(b"%08d %s\n" % (number, b"x" * 190))
            writer.flush()
        assert writer.dropped > 0
        os.set_blocking(read, False)
        lines = read_all(read, writer).splitlines()
        assert all(len(line) == 199 for line in lines)
        assert [int(line[:8]) for line in lines] == list(range(len(lines)))


class TestStateChanges:
    @pytest.fixture
    def own_logging(self) -> Iterator[None]:
        """Restore the logging of other tests afterwards."""
        yield
        logger.remove()

    def test_are_logged_while_served_requests_use_up_the_budget(
        self, own_logging: None
    ):
        # Guards against logs that lack the version in force when requests are many.
        reader, descriptor = os.pipe()
        os.set_blocking(reader, False)
        logs = configure_logging(
            node_id="n1", level="INFO", clock=Clock(), descriptor=descriptor
        )
        for _ in range(10_000):
            logs.decisions.write(Decision.ANSWERED, make_detail)
        logger.bind(version=9).info("config: A new version is in force.")
        last = json.loads(read_all(reader, logs.writer).splitlines()[-1])
        assert last["message"] == "A new version is in force."
        assert last["version"] == 9
        assert last["omitted"] > 0


def read_all(reader: int, writer: LineWriter) -> bytes:
    """Return what a writer has buffered and written."""
    received = bytearray()
    while True:
        writer.flush()
        try:
            received += os.read(reader, 1 << 20)
        except BlockingIOError:
            return bytes(received)
