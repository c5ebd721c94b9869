"""A fleet whose ports all speak TLS, as separate processes."""

import os
import socket
import ssl
import subprocess
import sys
from pathlib import Path

import pytest

from endivebeam_standins import Fleet, run_fleet, wait_for
from endivebeam_standins.demo import Demo, write_contracts


def greet_without_certificate(fleet: Fleet, port: int) -> bytes:
    """Return what a peer port tells a client that has no certificate."""
    context = fleet.client_context()
    assert isinstance(context, ssl.SSLContext)
    with socket.create_connection(("127.0.0.1", port), timeout=10) as raw:
        try:
            with context.wrap_socket(raw, server_hostname="127.0.0.1") as stream:
                return stream.recv(1024)
        except ssl.SSLError:
            return b""


@pytest.mark.process
class TestTlsFleet:
    def test_calls_and_changes_go_over_tls(self, tmp_path: Path):
        """Guards against ports that speak TLS but no longer serve."""
        with run_fleet(tmp_path, tls=True) as fleet:
            for service, domain in (
                ("catalogue", "domain-a"),
                ("bookings", "domain-b"),
            ):
                fleet.start_node(service=service, domain=domain)
            for node in fleet.nodes:
                fleet.wait_for_members("catalogue", 1, node)
                fleet.wait_for_members("bookings", 1, node)
            demo = Demo(fleet=fleet)
            write_contracts(demo)
            entry, other = fleet.nodes
            # The only target of bookings is beside the other node.
            for _ in range(20):
                answer = demo.call(entry, "GET", "/bookings/slots")
                assert answer.status_code == 200, answer.text
            status = subprocess.run(
                [sys.executable, "-m", "endivebeam_cli", "status"],
                env=os.environ
                | {
                    "PYTHONPATH": os.pathsep.join(sys.path),
                    "ENDIVEBEAM_URL": entry.admin_url,
                    "ENDIVEBEAM_TOKEN": fleet.operator_token,
                    "SSL_CERT_FILE": str(tmp_path / f"{entry.name}-authority.pem"),
                },
                capture_output=True,
                text=True,
                timeout=30,
            )
            assert status.returncode == 0, status.stderr
            assert greet_without_certificate(fleet, other.ports.peer) == b""
            log = tmp_path / f"{other.name}-node.log"
            wait_for(
                lambda: "refused a stream: TLS handshake" in log.read_text(),
                "log line of the refused peer",
            )
            assert "not authenticated" not in log.read_text()
