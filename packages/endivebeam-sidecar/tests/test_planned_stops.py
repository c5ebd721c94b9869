"""Planned stops of a node: what it finishes, what it rejects and what it logs."""

import asyncio
import contextlib
import itertools
import socket
from typing import Any

import anyio
import pytest
from loguru import logger

from endivebeam_fleet import AccountUse
from endivebeam_http import Request, Response
from endivebeam_model import NodeId
from endivebeam_sidecar import Bounds, Sidecar, read_clock
from endivebeam_sidecar._links import Links
from endivebeam_sidecar._target import LocalTarget
from endivebeam_wire import HeartbeatEcho, SyncRequest

from ._configs import ACCOUNT, make_config
from ._fleet import WAIT_S, Node, encode_call, run_fleet, wait_until
from ._steps import pause_after_awaits
from ._store import FakeStore

pytestmark = pytest.mark.anyio
# Awaits of a node from the request to stop until it has ended.
STOP_AWAITS = 12
# Short enough for a node to take the request as its stop ends.
DEADLINE_MS = "200"


async def stop_and_outwait_an_idle_node(node: Node) -> None:
    """Stop a node and wait until it would have ended without anything to do.

    Its bound for a planned stop is 3 s.
    """
    node.stop.set()
    late_at = read_clock() + 1.2
    await wait_until(lambda: read_clock() > late_at)


class LateCaller:
    """A caller that connects, and sends a request without waiting when told to."""

    def __init__(self, port: int) -> None:
        self._socket = socket.create_connection(("127.0.0.1", port))
        self._socket.setblocking(False)

    def send(self) -> str:
        """Send a request that must not run twice; return its id."""
        call_id, data = encode_call(
            "/charge/x", method="POST", x_deadline_ms=DEADLINE_MS
        )
        # Fails if the node has closed the connection.
        with contextlib.suppress(OSError):
            self._socket.send(data)
        return call_id

    async def receive_status(self) -> int:
        """Return the status of the response, or 0 if the connection ended without."""
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(WAIT_S):
                data = await loop.sock_recv(self._socket, 4096)
        except OSError:
            data = b""
        self._socket.close()
        return int(data[9:12]) if data else 0


class TestPlannedStops:
    async def test_stopping_node_finishes_a_call_in_flight(self):
        async with run_fleet(("stock", "vans")) as fleet:
            started, release = anyio.Event(), anyio.Event()

            async def answer(request: Request) -> Response:
                started.set()
                await release.wait()
                return fleet.nodes[1].target.make_response(request)

            fleet.nodes[1].target.behavior = answer
            async with fleet.nodes[0].connect() as connection:
                await connection.send("/vans/x")
                await started.wait()
                fleet.nodes[1].stop.set()
                await wait_until(lambda: not fleet.nodes[1].sidecar.is_ready)
                release.set()
                assert (await connection.receive()).status == 200

    async def test_other_nodes_send_nothing_to_the_target_of_a_stopping_node(self):
        async with run_fleet() as fleet:
            stopping, other = fleet.nodes
            stopping.stop.set()
            await wait_until(lambda: not stopping.sidecar.is_ready)
            for _ in range(5):
                assert (await other.call("/look/x")).status == 200
            assert stopping.target.received == []

    async def test_stopping_node_still_serves_its_callers(self):
        async with run_fleet() as fleet:
            node = fleet.nodes[0]
            node.stop.set()
            await wait_until(lambda: not node.sidecar.is_ready)
            response = await node.call("/look/x")
            assert response.status == 200
            assert response.get(b"connection") == b"close"

    @pytest.mark.parametrize("path", ["/charge/x", "/look/x", "/open/x"])
    @pytest.mark.parametrize("account_use", AccountUse)
    async def test_request_late_in_a_stop_is_rejected_and_not_cut_off(
        self, path: str, account_use: AccountUse
    ):
        """Guards against a request that is passed on and gets no answer."""
        store = FakeStore()
        accounts = (ACCOUNT,) if account_use is AccountUse.REQUIRED else ()
        store.config = make_config(accounts=accounts, account_use=account_use)
        # 1.2 s are left then: more than the objective, less than the timeout.
        bounds = Bounds(stop_s=3.4)
        async with run_fleet(("vans", "stock"), store=store, bounds=bounds) as fleet:
            stopping, other = fleet.nodes
            release = anyio.Event()

            async def answer(request: Request) -> Response:
                await release.wait()
                return other.target.make_response(request)

            other.target.behavior = answer
            async with stopping.connect() as first, stopping.connect() as second:
                await first.send("/look/x")
                await wait_until(lambda: len(other.target.received) == 1)
                stopping.stop.set()
                await wait_until(lambda: not stopping.sidecar.is_ready)
                drained_at = read_clock() + 1.2
                await wait_until(lambda: read_clock() > drained_at)
                await second.send(path)
                rejected = await second.receive()
                release.set()
                assert (await first.receive()).status == 200
            assert rejected.status == 503
            assert len(other.target.received) == 1

    async def test_wrong_reply_to_the_departure_cuts_no_request(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against an unexpected error that ends the process before its stop."""
        async with run_fleet(("stock", "vans")) as fleet:
            stopping, other = fleet.nodes
            release = anyio.Event()

            async def answer(request: Request) -> Response:
                await release.wait()
                return other.target.make_response(request)

            def reply(node_id: NodeId, request: SyncRequest) -> HeartbeatEcho:
                departures.append(node_id)
                return HeartbeatEcho(request_id=request.request_id)

            departures: list[NodeId] = []
            other.target.behavior = answer
            async with stopping.connect() as connection:
                await connection.send("/vans/x")
                await wait_until(lambda: len(other.target.received) == 1)
                monkeypatch.setattr(other.sidecar._control, "handle_sync", reply)
                stopping.stop.set()
                await wait_until(lambda: not stopping.sidecar.is_ready)
                await wait_until(lambda: bool(departures))
                await anyio.wait_all_tasks_blocked()
                release.set()
                assert (await connection.receive()).status == 200

    @pytest.mark.parametrize("answers", [True, False])
    async def test_end_of_a_stop_tells_whether_requests_are_cut(self, answers: bool):
        """Guards against cut requests that no log of the node tells of."""
        bounds = Bounds(stop_s=1.6)
        async with run_fleet(("stock",), bounds=bounds) as fleet:
            node = fleet.nodes[0]
            release = anyio.Event()

            async def answer(request: Request) -> Response:
                await release.wait()
                return node.target.make_response(request)

            node.target.behavior = answer
            records: list[tuple[str, int]] = []
            sink = logger.add(
                lambda message: records.append(
                    (
                        message.record["level"].name,
                        message.record["extra"].get("in_flight", 0),
                    )
                ),
                filter=lambda record: "planned stop" in record["message"],
            )
            async with node.connect() as connection:
                await connection.send("/look/x")
                await wait_until(lambda: len(node.target.received) == 1)
                if answers:
                    release.set()
                    await connection.receive()
                node.stop.set()
                await wait_until(lambda: len(records) == 2)
            logger.remove(sink)
        begin = ("INFO", 0 if answers else 1)
        assert records == [begin, ("INFO", 0) if answers else ("WARNING", 1)]


class TestEndOfAPlannedStop:
    @pytest.mark.parametrize("chosen", range(STOP_AWAITS))
    async def test_request_between_two_steps_of_the_end_runs_only_if_answered(
        self, chosen: int, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against requests that ran and were cut as a planned stop ended."""
        run = Sidecar.run
        callers: dict[str, LateCaller] = {}
        begun, release = anyio.Event(), anyio.Event()
        awaits = itertools.count()

        def step() -> bool:
            """Send requests after the chosen await; they end after the next one."""
            if not begun.is_set():
                return False
            number = next(awaits)
            if number == chosen:
                callers[kept.send()] = kept
                with contextlib.suppress(ConnectionRefusedError):
                    late = LateCaller(stopping.sidecar.settings.callers.port)
                    callers[late.send()] = late
            elif number > chosen:
                release.set()
            return True

        async def run_in_steps(sidecar: Sidecar, **handlers: Any) -> None:
            work = run(sidecar, **handlers)
            if sidecar.settings.service == "vans":
                await pause_after_awaits(work, step)
                release.set()
            else:
                await work

        async def answer(request: Request) -> Response:
            await release.wait()
            return other.target.make_response(request)

        async def remove_never(self: FakeStore, *args: Any, **terms: Any) -> None:
            await anyio.sleep_forever()

        monkeypatch.setattr(Sidecar, "run", run_in_steps)
        # The node is still announcing its departure when nothing else is left to do.
        monkeypatch.setattr(FakeStore, "remove_member", remove_never)
        bounds = Bounds(stop_s=1.6)
        async with run_fleet(("vans", "stock"), bounds=bounds) as fleet:
            stopping, other = fleet.nodes
            # Opens the stream between the nodes and a connection to the target.
            assert (await stopping.call("/charge/x", method="POST")).status == 200
            other.target.received.clear()
            other.target.behavior = answer
            kept = LateCaller(stopping.sidecar.settings.callers.port)
            begun.set()
            stopping.stop.set()
            await release.wait()
            answered = {i for i, c in callers.items() if await c.receive_status()}
            ran = {r.get(b"x-request-id") for r in other.target.received}
            assert ran <= {call_id.encode() for call_id in answered}

    async def test_reply_to_another_node_is_sent_before_the_end(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against a reply that is lost between its target and its stream."""
        async with run_fleet(("vans", "stock"), bounds=Bounds(stop_s=3.0)) as fleet:
            entry, stopping = fleet.nodes
            release = anyio.Event()

            async def answer(request: Request) -> Response:
                await release.wait()
                return stopping.target.make_response(request)

            stopping.target.behavior = answer
            async with entry.connect() as connection:
                await connection.send("/charge/x", method="POST")
                await wait_until(lambda: len(stopping.target.received) == 1)
                # As if the target had answered and the reply were on its way.
                monkeypatch.setattr(LocalTarget, "in_flight", 0)
                await stop_and_outwait_an_idle_node(stopping)
                assert not stopping.ended.is_set()
                monkeypatch.undo()
                release.set()
                assert (await connection.receive()).status == 200
            await wait_until(stopping.ended.is_set)

    async def test_bytes_that_wait_on_a_stream_are_sent_before_the_end(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against the end of a reply to another node that is cut off."""
        async with run_fleet(("stock",), bounds=Bounds(stop_s=3.0)) as fleet:
            stopping = fleet.nodes[0]
            monkeypatch.setattr(Links, "unsent_bytes", 1)
            await stop_and_outwait_an_idle_node(stopping)
            assert not stopping.ended.is_set()
            monkeypatch.undo()
            await wait_until(stopping.ended.is_set)
