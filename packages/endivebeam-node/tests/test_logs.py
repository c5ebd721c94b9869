"""Tests of log lines: sampling, redaction and fields."""

import ast
import io
import json
from collections.abc import Iterator
from pathlib import Path

import pytest
from loguru import logger

from endivebeam_node._logs import MAX_PER_WINDOW, PARTS, WINDOW_S, configure_logging

SOURCES = Path(__file__).parents[2]


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def stream(clock: Clock) -> Iterator[io.StringIO]:
    stream = io.StringIO()
    configure_logging(level="INFO", as_json=True, stream=stream, clock=clock)
    yield stream
    logger.remove()


def flood(count: int) -> None:
    for number in range(count):
        logger.info("calls: refused {}", number)


def read_lines(stream: io.StringIO) -> list[dict]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


class TestLines:
    def test_flood_is_sampled_and_counted(self, stream: io.StringIO, clock: Clock):
        """Guards against a flood of refusals whose log lines fill the disk."""
        flood(1000)
        logger.info("calls: another call site")
        clock.now = WINDOW_S
        flood(1)
        lines = read_lines(stream)
        assert len(lines) == MAX_PER_WINDOW + 2
        assert lines[-1]["omitted"] == 1000 - MAX_PER_WINDOW

    def test_keys_are_redacted(self, stream: io.StringIO):
        """Guards against a key that is logged in a message or a traceback."""
        key = "eb_" + "x" * 43
        logger.info("calls: headers {}", f"Authorization: Bearer {key}")
        try:
            raise ValueError(f"bad key {key}")
        except ValueError:
            logger.exception("calls: failed")
        assert key not in stream.getvalue()
        assert "ValueError" in read_lines(stream)[1]["error"]

    def test_lines_contain_part_chain_and_request(self, stream: io.StringIO):
        """Guards against lines of one call that cannot be matched across nodes."""
        logger.bind(chain="c1", request=7).info("calls: failed: {}", "x")
        (line,) = read_lines(stream)
        assert (line["part"], line["message"]) == ("calls", "failed: x")
        assert (line["chain"], line["request"]) == ("c1", 7)


class TestSources:
    def test_every_message_has_the_prefix_of_a_part(self):
        """Guards against messages that cannot be filtered by part."""
        for path in SOURCES.glob("*/src/**/*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.Call) or not node.args:
                    continue
                text = node.args[0]
                name = ast.unparse(node.func)
                if not name.startswith(("logger.", "call_logger")):
                    continue
                if name.endswith((".info", ".warning", ".error", ".exception")):
                    assert isinstance(text, ast.Constant), f"{path}:{node.lineno}"
                    part = text.value.partition(": ")[0]
                    assert part in PARTS, f"{path}:{node.lineno}"
