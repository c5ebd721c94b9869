"""Tests of the operator's command-line tool without a fleet."""

import json
from pathlib import Path

import httpx
import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from endivebeam_cli._client import ChangeReply, FleetClient
from endivebeam_cli._exits import ExitCode, ToolError
from endivebeam_cli._keys import BASE62, KEY_CHARS, encode_base62, find_digest
from endivebeam_cli._main import app
from endivebeam_model import AccountId, Key, KeyDigest, Snapshot, WithdrawKey

URLS = ["http://a", "http://b"]
VALID = "services: [{service: s, routes: [{path: /}]}]\n"


def make_client(responses: dict[str, httpx.Response | None]) -> FleetClient:
    """Return a client whose hosts send these responses; None refuses to connect."""

    def respond(request: httpx.Request) -> httpx.Response:
        response = responses[request.url.host]
        if response is None:
            raise httpx.ConnectError("refused", request=request)
        return response

    transport = httpx.MockTransport(respond)
    return FleetClient(urls=URLS, token="t", transport=transport)


def invoke(*arguments: str):
    env = {"ENDIVEBEAM_URL": "", "ENDIVEBEAM_TOKEN": "t"}
    return CliRunner().invoke(app, list(arguments), env=env)


class TestClient:
    def test_request_goes_to_the_next_node_after_a_failure(self):
        """Guards against a command that fails because the first node is down."""
        good = httpx.Response(200, json={"version": 3})
        assert make_client({"a": None, "b": good}).read_config().version == 3
        busy = httpx.Response(503, json={"reason": "r", "message": "m"})
        assert make_client({"a": busy, "b": good}).read_config().version == 3

    def test_conflict_has_an_exit_code_and_shows_the_object_in_force(self):
        """Guards against scripts that cannot tell a conflict from an outage."""
        error = {"reason": "conflict", "message": "m", "current": {"burst": 7}}
        client = make_client({"a": httpx.Response(412, json=error), "b": None})
        with pytest.raises(ToolError) as caught:
            client.read_config()
        assert caught.value.code is ExitCode.CONFLICT
        assert '{"burst":7}' in caught.value.message

    def test_unreachable_nodes_are_all_listed_with_advice(self):
        """Guards against an error that does not show which addresses were tried."""
        with pytest.raises(ToolError) as caught:
            make_client({"a": None, "b": None}).read_config()
        assert caught.value.code is ExitCode.UNREACHABLE
        for part in ("http://a", "http://b", "--url"):
            assert part in caught.value.message

    def test_withdrawal_tries_further_nodes_until_it_is_durable(self):
        """Guards against a withdrawal that is not stored because of one node."""
        emergency = httpx.Response(202, json={"version": 1, "durable": False})
        durable = httpx.Response(200, json={"version": 2, "durable": True})
        change = WithdrawKey(digest=KeyDigest("a" * 64))
        reply = make_client({"a": emergency, "b": durable}).withdraw(change, "op")
        assert reply == ChangeReply(version=2, durable=True)
        reply = make_client({"a": emergency, "b": None}).withdraw(change, "op")
        assert not reply.durable


class TestKeys:
    @given(st.binary(min_size=32, max_size=32))
    def test_base62_encodes_all_bytes(self, value: bytes):
        """Guards against keys with less than 32 bytes of randomness."""
        text = encode_base62(value)
        number = sum(
            BASE62.index(char) * 62**position
            for position, char in enumerate(text[::-1])
        )
        assert number.to_bytes(32, "big") == value
        assert len(text) == KEY_CHARS

    def test_ambiguous_and_unknown_ids_are_rejected(self):
        """Guards against a short or shared prefix that withdraws the wrong key."""
        digests = ["a" * 12 + "b" * 52, "a" * 12 + "c" * 52, "d" * 64]
        keys = {KeyDigest(d): Key(digest=d, account=AccountId("x")) for d in digests}
        snapshot = Snapshot(keys=keys)
        assert find_digest(snapshot, "d" * 12) == "d" * 64
        assert find_digest(snapshot, "e" * 64) == "e" * 64
        for key_id in ("a" * 12, "d", "", "e" * 12, "eb_secret"):
            with pytest.raises(ToolError):
                find_digest(snapshot, key_id)


class TestCommands:
    def test_validate_prints_findings_and_exits_with_a_code(self, tmp_path: Path):
        """Guards against an exit code of 0 for an invalid document."""
        good, bad = tmp_path / "good.yaml", tmp_path / "bad.yaml"
        good.write_text(VALID)
        bad.write_text(VALID.replace("path", "paths"))
        assert invoke("validate", str(good)).exit_code == ExitCode.OK
        result = invoke("--output", "json", "validate", str(good), str(bad))
        assert result.exit_code == ExitCode.FINDINGS
        (finding,) = json.loads(result.stdout)
        assert (finding["file"], finding["line"]) == (str(bad), 1)
        missing = invoke("validate", str(tmp_path / "none.yaml"))
        assert missing.exit_code == ExitCode.FINDINGS

    @pytest.mark.parametrize(
        ("arguments", "code"),
        [
            (["status"], ExitCode.USAGE),
            (["--url", "http://127.0.0.1:1", "status"], ExitCode.UNREACHABLE),
            (["--url", "not a url", "status"], ExitCode.UNREACHABLE),
            (["--token-file", "/none", "status"], ExitCode.USAGE),
        ],
    )
    def test_failures_have_exit_codes_and_no_traceback(
        self, arguments: list[str], code: ExitCode
    ):
        """Guards against a traceback in place of an error message."""
        result = invoke(*arguments)
        assert result.exit_code == code
        assert "error: " in result.stderr
        assert "Traceback" not in result.output
