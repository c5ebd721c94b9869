"""A small fleet of separate processes, called by an HTTP client."""

import contextlib
import socket
from collections.abc import Iterator
from pathlib import Path

import httpx
import pytest

from endivebeam_standins import FleetNode, run_fleet
from endivebeam_standins.demo import (
    ACCOUNTS,
    Demo,
    show_calls,
    show_drain,
    show_kill,
    show_withdrawal,
    start_fleet,
    write_contracts,
)


def uses_io_uring(node: FleetNode) -> bool:
    """Return whether a node's process has an open io_uring instance."""
    return any("io_uring" in name for name in read_open_files(node))


def read_open_files(node: FleetNode) -> Iterator[str]:
    """Yield the link targets of a node process's file descriptors."""
    for descriptor in Path(f"/proc/{node.node.pid}/fd").iterdir():
        # A connection may be closed after its descriptor was listed.
        with contextlib.suppress(FileNotFoundError):
            yield str(descriptor.readlink())


def send_raw(node: FleetNode, data: bytes) -> bytes:
    """Send bytes to the caller port and return the first line of the response."""
    with socket.create_connection(("127.0.0.1", node.ports.caller), 10.0) as stream:
        stream.sendall(data)
        with stream.makefile("rb") as response:
            return response.readline()


def check_rejections(demo: Demo) -> None:
    """Send invalid requests; check their reasons and that the next call succeeds."""
    node = demo.fleet.nodes[0]
    key = {"authorization": f"Bearer {demo.keys[ACCOUNTS[0]]}"}
    cases = [
        ("GET", "/nothing/items", key, b"", 404, "no_route"),
        ("GET", "/catalogue/items", {}, b"", 401, "key_missing"),
        ("GET", "/catalogue/items", {"x-api-key": "eb_no"}, b"", 401, "key_unknown"),
        ("POST", "/bookings/deposits", key, b"", 428, "idempotency_key_required"),
        ("POST", "/catalogue/items", key, b"x" * (2 << 20), 413, "body_too_large"),
        ("GET", "/catalogue/items", {"x-a": "x" * 40_000}, b"", 431,
         "headers_too_large"),
        ("GET", "/catalogue/items", key | {"endivebeam-timeout-ms": "no"}, b"", 400,
         "bad_request"),
    ]  # fmt: skip
    for method, path, headers, body, status, reason in cases:
        response = httpx.request(
            method, node.caller_url + path, headers=headers, content=body
        )
        assert (response.status_code, response.json()["error"]["reason"]) == (
            status,
            reason,
        )
        assert response.headers["endivebeam-run"] == "not-run"
    assert b" 400 " in send_raw(node, b"no request\r\n\r\n")
    with socket.create_connection(("127.0.0.1", node.ports.peer), 10.0) as stream:
        stream.sendall(b"\xff" * 64)
        while stream.recv(4096):
            pass
    assert demo.call(node, "GET", "/catalogue/items").status_code == 200


@pytest.mark.process
class TestFleet:
    def test_calls_survive_withdrawal_drain_and_kill(self, tmp_path: Path):
        """Guards against failed calls while nodes change, and against io_uring."""
        with run_fleet(tmp_path) as fleet:
            demo = Demo(fleet=fleet)
            start_fleet(fleet)
            write_contracts(demo)
            check_rejections(demo)
            for show in (show_calls, show_withdrawal, show_drain, show_kill):
                show(demo)
            assert demo.failures == []
            assert [n.name for n in fleet.nodes if uses_io_uring(n)] == []
