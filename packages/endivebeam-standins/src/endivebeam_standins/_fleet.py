"""Starts a small fleet as separate processes and stops it."""

import hashlib
import os
import secrets
import signal
import ssl
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import httpx
import msgspec
import trustme
import yaml

from ._ports import Port

DOMAINS = ("domain-a", "domain-b", "domain-c")
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
POLL_PERIOD_S = 0.02

T = TypeVar("T")


class NodePorts(msgspec.Struct, frozen=True, kw_only=True):
    """Ports that a node writes to its ports file."""

    caller: int
    local: int
    peer: int
    admin: int


@dataclass(slots=True, kw_only=True)
class FleetNode:
    """A node process and the target process beside it."""

    name: str
    service: str
    domain: str
    node: subprocess.Popen[bytes]
    target: subprocess.Popen[bytes]
    ports: NodePorts
    target_port: int
    scheme: str = "http"

    @property
    def caller_url(self) -> str:
        """Base URL of the caller port."""
        return f"{self.scheme}://127.0.0.1:{self.ports.caller}"

    @property
    def admin_url(self) -> str:
        """Base URL of the administration API."""
        return f"{self.scheme}://127.0.0.1:{self.ports.admin}"

    @property
    def target_url(self) -> str:
        """Base URL of the target, for requests of tests that bypass the node."""
        return f"http://127.0.0.1:{self.target_port}"


def wait_for(condition: Callable[[], T | None], description: str) -> T:
    """Return the first result of a condition that is neither None nor False.

    Raises ``TimeoutError`` with the description after ``START_TIMEOUT_S``.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        result = condition()
        if result is not None and result is not False:
            return result
        time.sleep(POLL_PERIOD_S)
    raise TimeoutError(f"{description}: timed out after {START_TIMEOUT_S} s")


class Fleet:
    """The platform stand-in, nodes and targets of one test or demo.

    With ``tls``, the peer, caller and admin ports of all nodes use TLS with
    certificates that ``authority`` issues.
    """

    def __init__(
        self, *, directory: Path, log_level: str = "INFO", tls: bool = False
    ) -> None:
        self.directory = directory
        self.operator_token = secrets.token_hex(16)
        self.nodes: list[FleetNode] = []
        self.authority = trustme.CA() if tls else None
        self._log_level = log_level
        self._platform_port = 0
        self._processes: list[subprocess.Popen[bytes]] = []
        self._started_count = 0

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://127.0.0.1:{self._platform_port}"

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        path = self.directory / "platform.json"
        self._spawn("platform", ["endivebeam_standins.platform", str(path)])
        self._platform_port = self._read_port(path).port

    def start_node(
        self,
        *,
        service: str,
        domain: str,
        region: str = "scot-central",
        slots: int = 50,
        connections: int = 400,
        service_time_ms: float = 0.0,
        cold_start_s: float = 0.0,
    ) -> FleetNode:
        """Start a node and the target beside it."""
        self._started_count += 1
        name = f"{service}-{self._started_count}"
        ports_file = self.directory / f"{name}-node.json"
        settings = self._write_settings(name, domain, region, ports_file)
        node = self._spawn(f"{name}-node", ["endivebeam_node", str(settings)])
        ports = msgspec.json.decode(self._wait_for_file(ports_file), type=NodePorts)
        target_file = self.directory / f"{name}-target.json"
        arguments = [
            "endivebeam_standins.target",
            str(target_file),
            f"--name={name}",
            f"--service={service}",
            f"--node-port={ports.local}",
            f"--slots={slots}",
            f"--connections={connections}",
            f"--service-time-ms={service_time_ms}",
            f"--cold-start-s={cold_start_s}",
        ]
        target = self._spawn(f"{name}-target", arguments)
        fleet_node = FleetNode(
            name=name,
            service=service,
            domain=domain,
            node=node,
            target=target,
            ports=ports,
            target_port=self._read_port(target_file).port,
            scheme="http" if self.authority is None else "https",
        )
        self.nodes.append(fleet_node)
        return fleet_node

    def set_faults(self, mode: str, delay_ms: int = 0, **selection: object) -> None:
        """Inject a fault into the operations of the platform.

        The keyword arguments ``kinds``, ``prefix`` and ``count`` select the
        operations; the default is all of them.
        """
        body = {"mode": mode, "delay_ms": delay_ms, **selection}
        httpx.put(f"{self.platform_url}/v1/faults", json=body).raise_for_status()

    def admin(self, node: FleetNode) -> httpx.Client:
        """Return a client of a node's administration API."""
        return httpx.Client(
            base_url=node.admin_url,
            headers={"authorization": f"Bearer {self.operator_token}"},
            timeout=10.0,
            verify=self.client_context(),
        )

    def client_context(self) -> ssl.SSLContext | bool:
        """Return the ``verify`` argument for clients of the caller and admin ports."""
        if self.authority is None:
            return True
        context = ssl.create_default_context()
        self.authority.configure_trust(context)
        return context

    def issue_certificate(self, name: str) -> dict[str, str]:
        """Write a certificate, its key and its authority's certificate to files.

        Returns their paths as ``certificate``, ``key`` and ``authority``.
        """
        assert self.authority is not None
        leaf = self.authority.issue_cert("127.0.0.1")
        paths = {
            part: self.directory / f"{name}-{part}.pem"
            for part in ("certificate", "key", "authority")
        }
        paths["certificate"].write_bytes(
            b"".join(pem.bytes() for pem in leaf.cert_chain_pems)
        )
        paths["key"].write_bytes(leaf.private_key_pem.bytes())
        paths["authority"].write_bytes(self.authority.cert_pem.bytes())
        return {part: str(path) for part, path in paths.items()}

    def wait_for_members(self, service: str, count: int, node: FleetNode) -> None:
        """Wait until a node knows a number of serving targets of a service."""
        with self.admin(node) as client:

            def is_known() -> bool:
                members = client.get("/v1/status").json()["members"]
                # Member records are arrays; 6 is the service and 8 the state.
                serving = [m for m in members if m[6] == service and m[8] == "serving"]
                return len(serving) >= count

            wait_for(is_known, f"{count} targets of {service} at {node.name}")

    def stop(self) -> None:
        """Stop every process with SIGTERM, and with SIGKILL after a timeout.

        Paused processes are continued first, so that they can handle SIGTERM.
        """
        for process in reversed(self._processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self._processes:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _write_settings(
        self, name: str, domain: str, region: str, ports_file: Path
    ) -> Path:
        digest = hashlib.sha256(self.operator_token.encode()).hexdigest()
        settings: dict[str, object] = {
            "node_id": name,
            "region": region,
            "domain": domain,
            "domains": list(DOMAINS),
            "platform_url": self.platform_url,
            "operators": [{"name": "demo", "token_sha256": digest}],
            "ports_file": str(ports_file),
            "log_level": self._log_level,
        }
        if self.authority is not None:
            peer = self.issue_certificate(name)
            port = {part: peer[part] for part in ("certificate", "key")}
            # PyYAML writes a shared value as an alias, which the settings reject.
            settings["tls"] = {"peer": peer, "caller": port, "admin": dict(port)}
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return path

    def _spawn(self, name: str, arguments: list[str]) -> subprocess.Popen[bytes]:
        log = (self.directory / f"{name}.log").open("ab")
        with log:
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            )
        self._processes.append(process)
        return process

    def _read_port(self, path: Path) -> Port:
        return msgspec.json.decode(self._wait_for_file(path), type=Port)

    def _wait_for_file(self, path: Path) -> bytes:
        return wait_for(lambda: path.read_bytes() if path.exists() else None, path.name)


@contextmanager
def run_fleet(
    directory: Path, log_level: str = "INFO", tls: bool = False
) -> Iterator[Fleet]:
    """Yield a fleet whose platform stand-in runs; stop all processes on exit."""
    fleet = Fleet(directory=directory, log_level=log_level, tls=tls)
    try:
        fleet.start_platform()
        yield fleet
    finally:
        fleet.stop()
