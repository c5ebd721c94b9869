"""Construction of refusals and load observations from the outcomes of calls."""

from endivebeam_model import Refusal, RefusalReason, RunStatus
from endivebeam_wire import CallAnswer, CallRefused, LoadReport

from ._ports import Observation, Outcome

RETRY_AFTER_S = 1.0

NO_LOAD = LoadReport(in_use=0, limit=0)

_DEPARTING = frozenset({RefusalReason.DRAINING, RefusalReason.NO_TARGET})
_FAILED = frozenset(
    {
        RefusalReason.OVERLOADED,
        RefusalReason.TARGET_FAILED,
        RefusalReason.DEADLINE_EXCEEDED,
    }
)


def refuse(
    reason: RefusalReason,
    message: str,
    *,
    run: RunStatus = RunStatus.NOT_RUN,
    retry_after_s: float | None = None,
    credits: int = 0,
    load: LoadReport = NO_LOAD,
) -> CallRefused:
    """Return a refusal; ``credits`` are the retry credits that were not spent."""
    refusal = Refusal(
        reason=reason, message=message, run=run, retry_after_s=retry_after_s
    )
    return CallRefused(request_id=0, refusal=refusal, retry_credits=credits, load=load)


def observe_outcome(outcome: Outcome, latency_s: float) -> Observation:
    """Return the observation about a target that follows from an outcome.

    A target that fails or rejects calls immediately looks idle and would attract
    all calls. Such outcomes therefore count as failed.
    """
    if isinstance(outcome, CallAnswer):
        failed = outcome.status >= 500
        return Observation(latency_s=latency_s, load=outcome.load, failed=failed)
    reason = outcome.refusal.reason
    load = None if outcome.load == NO_LOAD else outcome.load
    return Observation(
        load=load, failed=reason in _FAILED, departing=reason in _DEPARTING
    )
