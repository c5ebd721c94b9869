"""Cost of TLS on peer streams, compared with plain streams.

Opens streams from a ``Peers`` object to itself over the loopback interface. Each
repetition measures both kinds of streams in random order: the time to open a stream
including the exchange of hellos, and the time of a call with a small and with a large
body on an open stream. Ratios are relative to the plain stream of the same repetition.

    python -m benchmarks.tls --seed 1 --repetitions 7
"""

import random
import statistics
import tempfile
import time
from pathlib import Path
from typing import Annotated, cast

import anyio
import anyio.abc
import trustme
import typer

from endivebeam_model import (
    AccountId,
    Address,
    ChainId,
    Criticality,
    DomainName,
    NodeId,
    Semantics,
    ServiceName,
)
from endivebeam_node._listening import listen, port_of
from endivebeam_node._peers import Peers
from endivebeam_node._tls import PeerTls
from endivebeam_wire import (
    PROTOCOL_VERSION,
    CallAnswer,
    CallRequest,
    Heartbeat,
    HeartbeatEcho,
    Hello,
    LoadReport,
    PeerStream,
    Reply,
    Request,
    TlsFiles,
)

CONNECTS = 60
CALLS = 1500
KINDS = ("plain", "TLS")
SIZES = {"small": 0, "64 KiB": 64 << 10}


class Loopback:
    """Peer streams of a node to itself, and the address at which it listens."""

    def __init__(self, tasks: anyio.abc.TaskGroup, tls: PeerTls | None) -> None:
        self._tasks = tasks
        hello = Hello(
            protocol=PROTOCOL_VERSION,
            node_id=NodeId("node"),
            incarnation=1,
            domain=DomainName("domain-a"),
        )
        self.peers = Peers(
            tasks=tasks,
            handle_request=_handle_request,
            hello=lambda: hello,
            heartbeat=lambda request_id: Heartbeat(request_id=request_id),
            on_echo=lambda stream, echo, sent_at: None,
            tls=tls,
        )
        self.address = Address("127.0.0.1", 0)

    async def listen(self) -> "Loopback":
        """Start to accept streams on a free port."""
        listener = await listen("127.0.0.1", 0)
        self.address = Address("127.0.0.1", port_of(listener))
        self._tasks.start_soon(listener.serve, self.peers.accept)
        return self

    async def time_connects(self) -> float:
        """Return the median time to open a stream, in milliseconds."""
        times = []
        for _ in range(CONNECTS):
            started = time.perf_counter()
            if await self.peers.probe(self.address) is None:
                raise RuntimeError("the peer sent no hello")
            times.append((time.perf_counter() - started) * 1e3)
        return statistics.median(times)

    async def time_calls(self, size: int) -> tuple[float, float]:
        """Return the median and p99 time of a call, in milliseconds."""
        stream = await self.peers.connect(self.address)
        times = []
        for _ in range(CALLS):
            request = make_call(stream, size)
            started = time.perf_counter()
            reply = await stream.send_request(request)
            times.append((time.perf_counter() - started) * 1e3)
            if not isinstance(reply, CallAnswer) or len(reply.body) != size:
                raise RuntimeError(
                    "the reply has another type or body size than expected"
                )
        return statistics.median(times), statistics.quantiles(times, n=100)[98]


def make_call(stream: PeerStream, size: int) -> CallRequest:
    """Return a call with a body of some bytes."""
    return CallRequest(
        request_id=stream.next_id(),
        service=ServiceName("catalogue"),
        method="POST",
        path="/items",
        headers=[],
        body=bytes(size),
        account=AccountId("northfit-rentals"),
        chain_id=ChainId("chain"),
        depth=0,
        timeout_ms=1000,
        criticality=Criticality.NORMAL,
        semantics=Semantics.IDEMPOTENT,
        retry_credits=0,
    )


async def _handle_request(stream: PeerStream, request: Request) -> Reply:
    if isinstance(request, Heartbeat):
        return HeartbeatEcho(request_id=request.request_id)
    call = cast(CallRequest, request)
    return CallAnswer(
        request_id=call.request_id,
        status=200,
        headers=[],
        body=call.body,
        retry_credits=0,
        load=LoadReport(in_use=0, limit=1),
    )


def write_files(directory: Path) -> TlsFiles:
    """Write a certificate, its key and the certificate of its authority."""
    authority = trustme.CA()
    leaf = authority.issue_cert("127.0.0.1")
    files = TlsFiles(
        certificate=directory / "node.pem",
        key=directory / "node.key",
        authority=directory / "authority.pem",
    )
    leaf.private_key_and_cert_chain_pem.write_to_path(files.certificate)
    leaf.private_key_pem.write_to_path(files.key)
    authority.cert_pem.write_to_path(directory / "authority.pem")
    return files


async def measure_once(loopback: Loopback) -> dict[str, float]:
    """Return the times of one repetition in milliseconds."""
    figures = {"open, median": await loopback.time_connects()}
    for name, size in SIZES.items():
        median, p99 = await loopback.time_calls(size)
        figures[f"{name} call, median"] = median
        figures[f"{name} call, p99"] = p99
    return figures


async def measure(seed: int, repetitions: int) -> dict[str, list[dict[str, float]]]:
    """Return the times of each kind of stream and repetition."""
    rng = random.Random(seed)
    results: dict[str, list[dict[str, float]]] = {kind: [] for kind in KINDS}
    with tempfile.TemporaryDirectory() as directory:
        tls = PeerTls(files=write_files(Path(directory)))
        async with anyio.create_task_group() as tasks:
            loopbacks = {
                "plain": await Loopback(tasks, None).listen(),
                "TLS": await Loopback(tasks, tls).listen(),
            }
            for _ in range(repetitions):
                for kind in rng.sample(KINDS, len(KINDS)):
                    results[kind].append(await measure_once(loopbacks[kind]))
            tasks.cancel_scope.cancel()
    return results


def main(
    seed: Annotated[int, typer.Option()] = 1,
    repetitions: Annotated[int, typer.Option()] = 7,
) -> None:
    """Print the median times and the median and worst ratios."""
    results = anyio.run(
        measure, seed, repetitions, backend_options={"use_uvloop": True}
    )
    print(f"{'':24}{'plain ms':>10}{'TLS ms':>10}{'ratio':>8}{'worst ratio':>13}")
    for name in results["plain"][0]:
        plain = [figures[name] for figures in results["plain"]]
        tls = [figures[name] for figures in results["TLS"]]
        ratios = [b / a for a, b in zip(plain, tls, strict=True)]
        print(
            f"{name:24}{statistics.median(plain):10.3f}{statistics.median(tls):10.3f}"
            f"{statistics.median(ratios):8.2f}{max(ratios):13.2f}"
        )


if __name__ == "__main__":
    typer.run(main)
