"""Interfaces between the call path and the policies that it consults."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager

from returns.result import Result

from endivebeam_model import Contract, Member, NodeId, Refusal, ServiceName
from endivebeam_wire import CallAnswer, CallRefused, CallRequest, LoadReport

from ._inflight import Context

Outcome = CallAnswer | CallRefused

SpendToken = Callable[[Contract], Awaitable[Refusal | None]]
"""Spends one rate token of a client account; returns a refusal if there is none."""

ChooseTarget = Callable[[ServiceName, frozenset[NodeId]], Member | None]
"""Chooses a node whose target serves a service, except for the excluded nodes.

The choice counts as a call in progress until ``Observe`` receives the observation
that ends it, so each choice requires exactly one such observation.
"""

Observe = Callable[[NodeId, "Observation"], None]
"""Reports to the routing policy how a call to a node ended."""

Admit = Callable[[CallRequest], AbstractAsyncContextManager[Result[None, Refusal]]]
"""Waits for a slot of the local target; the slot is released on exit."""

ReportLoad = Callable[[], LoadReport]
"""Returns the load of the local target."""

Measure = Callable[[Context, float, Outcome | None], None]
"""Reports to admission control the start time and outcome of a call.

The outcome is None if the call was cancelled.
"""

Forward = Callable[[CallRequest], Awaitable[Outcome]]
"""Sends a call to the local target and returns its outcome."""

RunOnce = Callable[[CallRequest, Admit, Forward], Awaitable[Outcome]]
"""Admits, claims and dispatches an at-most-once call, or replays its first outcome.

The claim is written after admission, immediately before the dispatch.
"""


class Observation:
    """How a call to a node ended.

    ``latency_s`` is None if no response arrived. ``failed`` means that the
    target did not do the work, ``departing`` that its node accepts no calls.
    ``unreachable`` means that no connection could be opened or that the stream
    was lost; it is reported immediately and does not end the call.
    """

    __slots__ = ("departing", "failed", "latency_s", "load", "unreachable")

    def __init__(
        self,
        *,
        latency_s: float | None = None,
        load: LoadReport | None = None,
        unreachable: bool = False,
        failed: bool = False,
        departing: bool = False,
    ) -> None:
        self.latency_s = latency_s
        self.load = load
        self.unreachable = unreachable
        self.failed = failed
        self.departing = departing
