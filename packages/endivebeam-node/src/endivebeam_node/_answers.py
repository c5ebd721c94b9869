"""Bounded cache of the answers of recent at-most-once calls."""

from collections import OrderedDict

import msgspec

from endivebeam_model import OperationId
from endivebeam_store import Claim, StoredAnswer

MAX_ANSWERS = 4096
MAX_ANSWER_BYTES = 8 << 20


class RecentAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An answer and the claim of the call that produced it."""

    row_key: str
    op_id: OperationId
    request_digest: str
    answer: StoredAnswer

    @property
    def size(self) -> int:
        """Bytes of the body and headers, which count against the bound."""
        return len(self.answer.body) + sum(len(n) + len(v) for n, v in self.headers)

    @property
    def headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Header fields of the answer."""
        return self.answer.headers


class RecentAnswers:
    """Answers by row key and by claim; the oldest are evicted first."""

    def __init__(
        self, *, max_answers: int = MAX_ANSWERS, max_bytes: int = MAX_ANSWER_BYTES
    ) -> None:
        self._max_answers = max_answers
        self._max_bytes = max_bytes
        self._bytes = 0
        self._by_key: OrderedDict[str, RecentAnswer] = OrderedDict()
        self._by_op: dict[OperationId, RecentAnswer] = {}

    def add(self, claim: Claim, answer: StoredAnswer) -> None:
        """Add an answer that is stored in the table."""
        recent = RecentAnswer(
            row_key=claim.row_key,
            op_id=claim.op_id,
            request_digest=claim.request_digest,
            answer=answer,
        )
        self._by_key[recent.row_key] = recent
        self._by_op[recent.op_id] = recent
        self._bytes += recent.size
        while len(self._by_key) > self._max_answers or self._bytes > self._max_bytes:
            _, oldest = self._by_key.popitem(last=False)
            del self._by_op[oldest.op_id]
            self._bytes -= oldest.size

    def find(self, row_key: str) -> RecentAnswer | None:
        """Return the answer to a call, or None."""
        return self._by_key.get(row_key)

    def find_by_claim(self, op_id: OperationId) -> RecentAnswer | None:
        """Return the answer of the call of a claim, or None."""
        return self._by_op.get(op_id)
