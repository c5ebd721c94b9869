"""A fleet of processes whose ports all use TLS."""

import os
import socket
import ssl
import subprocess
import sys
from pathlib import Path

import pytest

from endivebeam_standins import Fleet, run_fleet, wait_for
from endivebeam_standins.demo import Demo, write_contracts


def connect_without_certificate(fleet: Fleet, port: int) -> bytes:
    """Return what a peer port sends to a client that has no certificate."""
    context = fleet.client_context()
    assert isinstance(context, ssl.SSLContext)
    with socket.create_connection(("127.0.0.1", port), timeout=10) as raw:
        try:
            with context.wrap_socket(raw, server_hostname="127.0.0.1") as stream:
                return stream.recv(1024)
        except (ssl.SSLError, ConnectionResetError):
            # Closing with unread bytes of a slow handshake resets the connection.
            return b""


@pytest.mark.process
class TestTlsFleet:
    def test_calls_and_changes_go_over_tls(self, tmp_path: Path):
        """Guards against ports that fail over TLS or accept unauthenticated peers."""
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
            entry_node, other_node = fleet.nodes
            # The other node has the only target of bookings, so calls are forwarded.
            for _ in range(20):
                response = demo.call(entry_node, "GET", "/bookings/slots")
                assert response.status_code == 200, response.text
            cli_status = subprocess.run(
                [sys.executable, "-m", "endivebeam_cli", "status"],
                env=os.environ
                | {
                    "PYTHONPATH": os.pathsep.join(sys.path),
                    "ENDIVEBEAM_URL": entry_node.admin_url,
                    "ENDIVEBEAM_TOKEN": fleet.operator_token,
                    "SSL_CERT_FILE": str(tmp_path / f"{entry_node.name}-authority.pem"),
                },
                capture_output=True,
                text=True,
                timeout=30,
            )
            assert cli_status.returncode == 0, cli_status.stderr
            assert connect_without_certificate(fleet, other_node.ports.peer) == b""
            log = tmp_path / f"{other_node.name}-node.log"
            wait_for(
                lambda: "refused a stream: TLS handshake" in log.read_text(),
                "log line for the rejected peer",
            )
            assert "not authenticated" not in log.read_text()
