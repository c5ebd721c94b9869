"""Planned stops of a node and of a target interrupt no request.

This is invariant I9 of docs/design.md.
"""

import itertools
import signal
import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Self

import httpx
import pytest

from endivebeam_standins import Fleet, FleetNode, run_fleet, wait_for
from endivebeam_standins.demo import DOMAINS, Demo, put_contract, write_contracts

CALLERS_PER_NODE = 3
SERVICE_TIME_MS = 20.0
CALL_TIMEOUT_S = 15.0


class CallerThread:
    """A thread that sends calls with a key until it is told to stop."""

    def __init__(self, demo: Demo) -> None:
        self._headers = {"authorization": f"Bearer {next(iter(demo.keys.values()))}"}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        raise NotImplementedError


class Caller(CallerThread):
    """Sends one call after the other over a persistent connection.

    Like a load balancer, it changes to another node when a response has
    ``Connection: close``, by which a node announces that it closes the connection.
    """

    def __init__(self, demo: Demo, nodes: list[FleetNode]) -> None:
        super().__init__(demo)
        self.outcomes: Counter[str] = Counter()
        self.kept_open_count = 0
        self._urls: Iterator[str] = itertools.cycle([n.caller_url for n in nodes])

    def _run(self) -> None:
        with httpx.Client(headers=self._headers, timeout=CALL_TIMEOUT_S) as client:
            url = next(self._urls)
            for number in itertools.count():
                if self._stop.is_set():
                    return
                outcome, announces_close = self._call(client, url, f"/items?n={number}")
                self.outcomes[outcome] += 1
                self.kept_open_count += not announces_close
                if announces_close:
                    url = next(self._urls)

    def _call(self, client: httpx.Client, url: str, path: str) -> tuple[str, bool]:
        try:
            response = client.get(f"{url}/bookings{path}")
        except httpx.HTTPError as error:
            return f"{type(error).__name__} at {url}", False
        announces_close = response.headers.get("connection", "").lower() == "close"
        if response.status_code != 200:
            reason = response.headers.get("endivebeam-reason")
            return f"{response.status_code} {reason}", announces_close
        if response.json()["path"] != path:
            return "response to another request", announces_close
        return "answered", announces_close


class LoyalCaller(CallerThread):
    """Sends one call after the other to one node, each on a new connection.

    ``answered`` has the paths of calls with a response, ``cut`` of those without.
    """

    _numbers = itertools.count()

    def __init__(self, demo: Demo, node: FleetNode) -> None:
        super().__init__(demo)
        self.answered: list[str] = []
        self.cut: list[str] = []
        self._url = node.caller_url

    def _run(self) -> None:
        while not self._stop.is_set():
            path = f"/late?n={next(self._numbers)}"
            try:
                url = f"{self._url}/bookings{path}"
                httpx.get(url, headers=self._headers, timeout=CALL_TIMEOUT_S)
            except httpx.ConnectError:
                # The node listens no longer.
                return
            except httpx.HTTPError:
                self.cut.append(path)
            else:
                self.answered.append(path)


def start_fleet(fleet: Fleet) -> Demo:
    demo = Demo(fleet=fleet)
    for domain in DOMAINS:
        fleet.start_node(
            service="bookings", domain=domain, service_time_ms=SERVICE_TIME_MS
        )
    for node in fleet.nodes:
        fleet.wait_for_members("bookings", len(DOMAINS), node)
    write_contracts(demo)
    demo.change(put_contract("northfit-rentals", rate=1e6))
    return demo


def wait_for_calls(callers: list[Caller], count: int) -> None:
    counts_before = [sum(caller.outcomes.values()) for caller in callers]
    wait_for(
        lambda: all(
            sum(caller.outcomes.values()) >= count_before + count
            for caller, count_before in zip(callers, counts_before, strict=True)
        ),
        f"{count} calls of each caller",
    )


def stop_with_signals(node: FleetNode, number: signal.Signals) -> int:
    """Stop a node, send it a signal until it has ended, and return its status."""
    node.node.terminate()

    def has_ended() -> bool:
        node.node.send_signal(number)
        return node.node.poll() is not None

    wait_for(has_ended, f"the end of {node.name}")
    return node.node.wait()


@pytest.mark.process
class TestPlannedStops:
    @pytest.mark.parametrize(
        "number", [signal.SIGHUP, signal.SIGTERM], ids=lambda number: number.name
    )
    def test_further_signals_interrupt_no_request(
        self, tmp_path: Path, number: signal.Signals
    ):
        """Guards against a node that a signal ends while it drains."""
        with run_fleet(tmp_path) as fleet:
            demo = start_fleet(fleet)
            stopping, other = fleet.nodes[:2]
            with ExitStack() as stack:
                callers = [
                    stack.enter_context(Caller(demo, [stopping, other]))
                    for _ in range(CALLERS_PER_NODE)
                ]
                wait_for_calls(callers, 20)
                status = stop_with_signals(stopping, number)
                wait_for_calls(callers, 20)
            outcomes = sum((c.outcomes for c in callers), Counter[str]())
            assert set(outcomes) == {"answered"}
            assert status == 0

    def test_stops_of_a_node_and_a_target_interrupt_no_request(self, tmp_path: Path):
        """Guards against requests that a planned stop interrupts or rejects."""
        with run_fleet(tmp_path) as fleet:
            demo = start_fleet(fleet)
            first, second, third = fleet.nodes
            orders = ([first, second], [second, first], [third, first, second])
            with ExitStack() as stack:
                callers = [
                    stack.enter_context(Caller(demo, order))
                    for order in orders
                    for _ in range(CALLERS_PER_NODE)
                ]
                wait_for_calls(callers, 20)
                third.node.terminate()
                assert third.node.wait(CALL_TIMEOUT_S * 2) == 0
                wait_for_calls(callers, 20)
                second.target.terminate()
                assert second.target.wait(CALL_TIMEOUT_S * 2) == 0
                wait_for_calls(callers, 20)
            outcomes = sum((c.outcomes for c in callers), Counter[str]())
            print(dict(outcomes))
            assert set(outcomes) == {"answered"}
            assert all(c.kept_open_count > 20 for c in callers)

    def test_requests_at_the_end_of_a_stop_run_only_if_they_are_answered(
        self, tmp_path: Path
    ):
        """Guards against requests on new connections that a node takes as it ends."""
        with run_fleet(tmp_path) as fleet:
            demo = start_fleet(fleet)
            stopping = fleet.nodes[0]
            with ExitStack() as stack:
                callers = [
                    stack.enter_context(LoyalCaller(demo, stopping))
                    for _ in range(2 * CALLERS_PER_NODE)
                ]
                wait_for(lambda: all(c.answered for c in callers), "a call of each")
                stopping.node.terminate()
                assert stopping.node.wait(CALL_TIMEOUT_S * 2) == 0
            ran = set[str]()
            for node in fleet.nodes:
                ran.update(httpx.get(f"{node.target_url}/record").json()["paths"])
            assert not ran & {path for caller in callers for path in caller.cut}
