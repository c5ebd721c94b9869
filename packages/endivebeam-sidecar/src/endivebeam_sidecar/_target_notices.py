"""What a target says about itself in its answers: a rate limit, or that it leaves."""

import re
from http import HTTPStatus

from endivebeam_fleet import AdmissionQueue, TargetRecord
from endivebeam_http import Response

from ._settings import HeaderNames
from ._target_lifetime import TargetLifetime

_LEAVING = b"1"
_DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")


class TargetNotices:
    """Applies the notices in the answers of the target's present lifetime."""

    def __init__(
        self, *, names: HeaderNames, queue: AdmissionQueue, record: TargetRecord
    ) -> None:
        self._names = names
        self._queue = queue
        self._record = record
        self._lifetime: TargetLifetime | None = None

    def start_lifetime(self, lifetime: TargetLifetime, *, confirmed: bool) -> None:
        """Forget the notices of the target's earlier lifetime.

        ``confirmed`` tells that the target can't have named a limit yet.
        """
        self._lifetime = lifetime
        self._queue.start_lifetime(confirmed=confirmed)

    def process(
        self,
        response: Response,
        lifetime: TargetLifetime,
        *,
        sent_at: float,
        now: float,
    ) -> bool:
        """Process the answer to a request; return whether the target now leaves.

        Answers of another lifetime and those of another target say nothing.
        """
        misdirected = response.status == HTTPStatus.MISDIRECTED_REQUEST
        if lifetime is not self._lifetime or misdirected:
            return False
        self._queue.confirm()
        self._process_limit(response, sent_at=sent_at, now=now)
        if response.get(self._names.leaving) != _LEAVING:
            return False
        return self._record.process_leaving(lifetime.instance)

    def _process_limit(self, response: Response, *, sent_at: float, now: float) -> None:
        limit = self._queue.rate_limit
        if response.get(self._names.rate_limit) is None:
            limit.lift(sent_at=sent_at)
            return
        rates = read_rates(response, self._names.rate_limit)
        if rates:
            limit.name(min(rates), now=now)


def read_rates(response: Response, name: bytes) -> list[float]:
    """Return the rates that an answer names; values that are no rate are left out."""
    values = b",".join(value for field, value in response.fields if field == name)
    parts = [part.strip() for part in values.split(b",")]
    return [float(part) for part in parts if _DECIMAL.fullmatch(part)]
