"""Commits operators' changes: preconditions, operation ids and conflicts."""

import datetime
from collections.abc import Awaitable, Callable

import msgspec
from loguru import logger
from returns.result import Failure, Success

from endivebeam_documents import check_change
from endivebeam_model import (
    Change,
    ConfigVersion,
    Contract,
    Key,
    KeyDigest,
    LogEntry,
    OperationId,
    Service,
    WithdrawKey,
    find_object,
    make_tag,
)
from endivebeam_store import ConfigLog, Conflict, Unavailable

from ._config import ConfigCopy, redact_entry

MAX_ATTEMPTS = 8
MAX_CATCH_UP = 1000
EMERGENCY_OPERATOR = "emergency"

OnCommitted = Callable[[LogEntry], None]
OnWithdrawn = Callable[[WithdrawKey], Awaitable[None]]


class CommitRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A change with its preconditions.

    ``expected_version`` is the version that the configuration must have,
    ``tag`` the entity tag that the changed object must have.
    """

    op_id: OperationId
    operator: str
    change: Change
    expected_version: ConfigVersion | None = None
    tag: str | None = None


class Accepted(msgspec.Struct, frozen=True):
    """The change is committed to the log."""

    entry: LogEntry


class EmergencyWithdrawal(msgspec.Struct, frozen=True):
    """A withdrawal while the store is down; durable if the log already has it."""

    version: ConfigVersion
    durable: bool = False


class PreconditionFailed(msgspec.Struct, frozen=True, kw_only=True):
    """A precondition does not hold; ``current`` is the object in force."""

    version: ConfigVersion
    current: Contract | Service | Key | None


class ChangeRejected(msgspec.Struct, frozen=True):
    """The change is invalid, or its operation id belongs to another change."""

    reasons: list[str]


class StoreDown(msgspec.Struct, frozen=True):
    """The change could not be confirmed by the store."""

    message: str


CommitOutcome = (
    Accepted | EmergencyWithdrawal | PreconditionFailed | ChangeRejected | StoreDown
)


class Committer:
    """Commits changes from this node to the configuration log."""

    def __init__(
        self,
        *,
        config: ConfigCopy,
        log: ConfigLog,
        on_committed: OnCommitted,
        on_withdrawn: OnWithdrawn,
    ) -> None:
        self._config = config
        self._log = log
        self._on_committed = on_committed
        self._on_withdrawn = on_withdrawn
        self._pending: dict[KeyDigest, CommitRequest] = {}

    async def commit(self, request: CommitRequest) -> CommitOutcome:
        """Commit a change at most once per operation id.

        A later request with the same operation id returns the first result.
        When other objects changed, the version has risen but a precondition
        on one object may still hold, so the commit is retried on the new version.
        """
        for _ in range(MAX_ATTEMPTS):
            failure = await self._catch_up()
            if failure is not None:
                return await self._handle_store_down(request, failure)
            early_outcome = await self._check(request)
            if early_outcome is not None:
                return early_outcome
            outcome = await self._append(request)
            if isinstance(outcome, StoreDown):
                return await self._handle_store_down(request, outcome.message)
            if outcome is not None:
                return outcome
        return StoreDown("other changes came first each time; send the change again")

    def accepted_here(self, digest: KeyDigest) -> bool:
        """Return whether this node accepted a withdrawal without the store."""
        return digest in self._pending

    async def write_pending(self, digest: KeyDigest) -> bool:
        """Write a withdrawal in force to the log; return whether the log has it.

        Another node may write it as well, because withdrawals are idempotent.
        """
        request = self._pending.get(digest)
        if request is None:
            request = CommitRequest(
                op_id=OperationId(f"withdraw-{digest[:32]}"),
                operator=EMERGENCY_OPERATOR,
                change=WithdrawKey(digest=digest),
            )
        if await self._catch_up() is not None:
            return False
        if digest in self._config.pending():
            outcome = await self._check(request) or await self._append(request)
            if not isinstance(outcome, Accepted):
                return False
        self._pending.pop(digest, None)
        return True

    async def _append(self, request: CommitRequest) -> CommitOutcome | None:
        result = await self._log.append(
            change=request.change,
            expected=self._config.version,
            op_id=request.op_id,
            operator=request.operator,
            at=_now(),
        )
        match result:
            case Success(entry):
                self._on_committed(entry)
                logger.info(
                    "config: {} committed version {}: {}",
                    entry.operator,
                    entry.version,
                    redact_entry(entry),
                )
                return Accepted(entry)
            case Failure(Unavailable(message=message)):
                return StoreDown(message)
            case Failure(Conflict()):
                return None
        raise AssertionError("a result is a success or a failure")

    async def _check(self, request: CommitRequest) -> CommitOutcome | None:
        first = self._config.find_operation(request.op_id)
        if first is not None:
            return _first_result(first, request)
        snapshot = self._config.snapshot
        expected = request.expected_version
        current = find_object(snapshot, request.change)
        if expected is not None and expected != snapshot.version:
            first = await self._find_committed(expected, request.op_id)
            if first is not None:
                return _first_result(first, request)
            return PreconditionFailed(version=snapshot.version, current=current)
        if request.tag is not None and request.tag != make_tag(current):
            return PreconditionFailed(version=snapshot.version, current=current)
        reasons = check_change(request.change, snapshot)
        return ChangeRejected(reasons) if reasons else None

    async def _find_committed(
        self, expected: ConfigVersion, op_id: OperationId
    ) -> LogEntry | None:
        match await self._log.read_entry(ConfigVersion(expected + 1)):
            case Success(LogEntry() as entry) if entry.op_id == op_id:
                return entry
        return None

    async def _catch_up(self) -> str | None:
        """Apply the committed entries; return why this failed, or None on success."""
        result = await self._log.read_head()
        match result:
            case Failure(Unavailable(message=message)):
                return str(message)
        head = result.unwrap()
        for _ in range(MAX_CATCH_UP):
            if self._config.version >= head:
                return None
            next_version = ConfigVersion(self._config.version + 1)
            match await self._log.read_entry(next_version):
                case Success(LogEntry() as entry):
                    self._config.apply([entry])
                case _:
                    return f"version {next_version} could not be read from the table"
        return "this node is still reading the configuration"

    async def _handle_store_down(
        self, request: CommitRequest, message: str
    ) -> CommitOutcome:
        if not isinstance(request.change, WithdrawKey):
            return StoreDown(message)
        reasons = check_change(request.change, self._config.snapshot)
        if reasons:
            return ChangeRejected(reasons)
        digest = request.change.digest
        known = self._config.snapshot.keys.get(digest)
        if known is not None and known.withdrawn:
            return EmergencyWithdrawal(self._config.version, durable=True)
        if digest not in self._config.withdrawn:
            await self._on_withdrawn(request.change)
        if digest not in self._config.withdrawn:
            return StoreDown(f"{message}, and too many withdrawals wait for it")
        self._pending.setdefault(digest, request)
        logger.warning(
            "config: {} withdrew key {} while the store is down ({})",
            request.operator,
            request.change.digest[:8],
            message,
        )
        return EmergencyWithdrawal(self._config.version)


def _first_result(first: LogEntry, request: CommitRequest) -> CommitOutcome:
    if first.change == request.change:
        return Accepted(first)
    return ChangeRejected(
        ["this operation id was used for another change; use a new one"]
    )


def _now() -> str:
    return datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
