"""Calls that wait in the admission queue until they start or are rejected."""

import asyncio

from endivebeam_fleet import AdmissionQueue, Ticket, TicketState

from ._clock import read_clock


class WaitingCallers:
    """Wakes the tasks of waiting calls when the admission queue has decided."""

    def __init__(self, *, queue: AdmissionQueue) -> None:
        self._queue = queue
        self._admissions: dict[Ticket, asyncio.Future[None]] = {}
        self._start_timer: asyncio.TimerHandle | None = None

    async def admit(self, ticket: Ticket) -> None:
        """Admit a call, or wait until it is admitted or rejected."""
        now = read_clock()
        self._queue.arrive(ticket, now)
        if ticket.state is not TicketState.WAITING:
            return
        loop = asyncio.get_running_loop()
        admission = self._admissions[ticket] = loop.create_future()
        self._schedule_start(now)
        timer = loop.call_later(max(0.0, ticket.latest_start - now), _wake, admission)
        try:
            await admission
        finally:
            timer.cancel()
            del self._admissions[ticket]
        if ticket.state is TicketState.WAITING:
            self._queue.reject(ticket)

    def start_waiting(self) -> None:
        """Start the waiting calls for which there is room now."""
        now = read_clock()
        self._wake(self._queue.next_changes(now))
        self._schedule_start(now)

    def reject_all(self) -> None:
        """Reject the waiting calls, because the target accepts no more work."""
        self._wake(self._queue.reject_all())

    def _schedule_start(self, now: float) -> None:
        """Start waiting calls when the target's rate limit allows it."""
        delay_s = self._queue.next_start_s(now)
        if delay_s is None or self._start_timer is not None:
            return

        def start() -> None:
            self._start_timer = None
            self.start_waiting()

        loop = asyncio.get_running_loop()
        self._start_timer = loop.call_later(delay_s, start)

    def _wake(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            admission = self._admissions.get(ticket)
            if admission is not None:
                _wake(admission)


def _wake(admission: "asyncio.Future[None]") -> None:
    if not admission.done():
        admission.set_result(None)
