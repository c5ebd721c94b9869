"""Small helpers around the outcomes of calls."""

from endivebeam_model import Refusal, RefusalReason, RunStatus
from endivebeam_wire import CallRefused, LoadReport

RETRY_AFTER_S = 1.0

NO_LOAD = LoadReport(in_use=0, limit=0)


def refuse(
    reason: RefusalReason,
    message: str,
    *,
    run: RunStatus = RunStatus.NOT_RUN,
    retry_after_s: float | None = None,
    credits: int = 0,
    load: LoadReport = NO_LOAD,
) -> CallRefused:
    """Return a refused call with the credits that were not spent."""
    refusal = Refusal(
        reason=reason, message=message, run=run, retry_after_s=retry_after_s
    )
    return CallRefused(request_id=0, refusal=refusal, retry_credits=credits, load=load)
