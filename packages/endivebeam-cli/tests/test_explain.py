"""Tests of ``endivebeam explain``, which reads the logs of nodes."""

import json
from pathlib import Path

from typer.testing import CliRunner

from endivebeam_cli._exits import ExitCode
from endivebeam_cli._main import app


def make_line(at: str, node: str, message: str, **values: object) -> str:
    return json.dumps(
        {"at": at, "node": node, "part": "calls", "message": message, **values}
    )


LINES = [
    "12.5 node-a "
    + make_line("10:02", "a", "Refused.", id="r1", reason="overloaded", run="not-run"),
    make_line("10:01", "b", "An attempt.", id="r1", peer="c", outcome="refused"),
    make_line("10:00", "c", "The target announced.", part="target", phase="draining"),
    make_line("10:03", "c", "Later.", part="target"),
    make_line("10:01", "b", "Another request.", id="r2"),
    make_line("10:01", "b", "A nested call.", id="r1.77"),
    "not a log line { at all",
]


def explain(tmp_path: Path, request_id: str) -> tuple[int, str]:
    path = tmp_path / "nodes.log"
    path.write_text("\n".join(LINES))
    result = CliRunner().invoke(app, ["explain", request_id, str(path)])
    return result.exit_code, result.output


class TestExplain:
    def test_prints_lines_of_all_nodes_in_order_with_the_outcome(self, tmp_path: Path):
        """Guards against output that misses nested calls or shows other requests."""
        code, output = explain(tmp_path, "r1")
        assert code == ExitCode.OK
        order = [output.index(w) for w in ("announced", "An attempt", "Refused.")]
        assert order == sorted(order)
        assert "A nested call" in output
        assert "Another request" not in output
        assert "Later" not in output
        assert "Verdict: overloaded; nothing ran." in output

    def test_unknown_request_is_a_finding(self, tmp_path: Path):
        """Guards against an exit code of 0 for an id that is in no line."""
        code, output = explain(tmp_path, "r9")
        assert code == ExitCode.FINDINGS
        assert "r9" in output

    def test_error_names_a_missing_file(self, tmp_path: Path):
        """Guards against a traceback for a file that cannot be opened."""
        path = str(tmp_path / "none.log")
        result = CliRunner().invoke(app, ["explain", "r1", path])
        assert result.exit_code == ExitCode.USAGE
        assert "none.log" in result.output
