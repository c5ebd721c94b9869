"""Commits changes of operators: conditions, operation ids and conflicts."""

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


class Asked(msgspec.Struct, frozen=True, kw_only=True):
    """A change with its conditions.

    ``expected_version`` is the version that the whole configuration must
    have, ``tag`` the entity tag that the changed object must have.
    """

    op_id: OperationId
    operator: str
    change: Change
    expected_version: ConfigVersion | None = None
    tag: str | None = None


class Accepted(msgspec.Struct, frozen=True):
    """The change is committed in the log."""

    entry: LogEntry


class Emergency(msgspec.Struct, frozen=True):
    """A withdrawal without the store; durable if it was in the log before."""

    version: ConfigVersion
    durable: bool = False


class Changed(msgspec.Struct, frozen=True, kw_only=True):
    """A condition does not hold; ``current`` is the object in force."""

    version: ConfigVersion
    current: Contract | Service | Key | None


class Refused(msgspec.Struct, frozen=True):
    """The change breaks a rule, or its operation id names another change."""

    reasons: list[str]


class StoreDown(msgspec.Struct, frozen=True):
    """The change is not confirmed."""

    message: str


CommitOutcome = Accepted | Emergency | Changed | Refused | StoreDown


class Committer:
    """Commits changes to the configuration log through this node."""

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
        self._pending: dict[KeyDigest, Asked] = {}

    async def commit(self, asked: Asked) -> CommitOutcome:
        """Commit a change once; the same operation id returns the first result.

        A condition on one object survives changes of other objects, which
        only move the version: the change is tried again on the new version.
        """
        for _ in range(MAX_ATTEMPTS):
            missing = await self._catch_up()
            if missing is not None:
                return await self._without_store(asked, missing)
            ended = await self._check(asked)
            if ended is not None:
                return ended
            outcome = await self._append(asked)
            if isinstance(outcome, StoreDown):
                return await self._without_store(asked, outcome.message)
            if outcome is not None:
                return outcome
        return StoreDown("other changes came first each time; send the change again")

    def accepted_here(self, digest: KeyDigest) -> bool:
        """Return whether this node accepted a withdrawal without the store."""
        return digest in self._pending

    async def write_pending(self, digest: KeyDigest) -> bool:
        """Write a withdrawal that is in force to the log; return whether it is.

        Another node may write it too: a withdrawal that is repeated changes
        nothing.
        """
        asked = self._pending.get(digest)
        if asked is None:
            asked = Asked(
                op_id=OperationId(f"withdraw-{digest[:32]}"),
                operator=EMERGENCY_OPERATOR,
                change=WithdrawKey(digest=digest),
            )
        if await self._catch_up() is not None:
            return False
        if digest in self._config.pending():
            outcome = await self._check(asked) or await self._append(asked)
            if not isinstance(outcome, Accepted):
                return False
        self._pending.pop(digest, None)
        return True

    async def _append(self, asked: Asked) -> CommitOutcome | None:
        answer = await self._log.append(
            change=asked.change,
            expected=self._config.version,
            op_id=asked.op_id,
            operator=asked.operator,
            at=_now(),
        )
        match answer:
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

    async def _check(self, asked: Asked) -> CommitOutcome | None:
        first = self._config.find_operation(asked.op_id)
        if first is not None:
            return _first_result(first, asked)
        snapshot = self._config.snapshot
        expected = asked.expected_version
        current = find_object(snapshot, asked.change)
        if expected is not None and expected != snapshot.version:
            first = await self._read_own(expected, asked.op_id)
            if first is not None:
                return _first_result(first, asked)
            return Changed(version=snapshot.version, current=current)
        if asked.tag is not None and asked.tag != make_tag(current):
            return Changed(version=snapshot.version, current=current)
        reasons = check_change(asked.change, snapshot)
        return Refused(reasons) if reasons else None

    async def _read_own(
        self, expected: ConfigVersion, op_id: OperationId
    ) -> LogEntry | None:
        match await self._log.read_entry(ConfigVersion(expected + 1)):
            case Success(LogEntry() as entry) if entry.op_id == op_id:
                return entry
        return None

    async def _catch_up(self) -> str | None:
        """Apply the committed entries; return why that failed, or None."""
        answer = await self._log.read_head()
        match answer:
            case Failure(Unavailable(message=message)):
                return str(message)
        head = answer.unwrap()
        for _ in range(MAX_CATCH_UP):
            if self._config.version >= head:
                return None
            following = ConfigVersion(self._config.version + 1)
            match await self._log.read_entry(following):
                case Success(LogEntry() as entry):
                    self._config.apply([entry])
                case _:
                    return f"version {following} could not be read from the table"
        return "this node is still reading the configuration"

    async def _without_store(self, asked: Asked, message: str) -> CommitOutcome:
        if not isinstance(asked.change, WithdrawKey):
            return StoreDown(message)
        reasons = check_change(asked.change, self._config.snapshot)
        if reasons:
            return Refused(reasons)
        digest = asked.change.digest
        known = self._config.snapshot.keys.get(digest)
        if known is not None and known.withdrawn:
            return Emergency(self._config.version, durable=True)
        if digest not in self._config.withdrawn:
            await self._on_withdrawn(asked.change)
        if digest not in self._config.withdrawn:
            return StoreDown(f"{message}, and too many withdrawals wait for it")
        self._pending.setdefault(digest, asked)
        logger.warning(
            "config: {} withdrew key {} while the store is down ({})",
            asked.operator,
            asked.change.digest[:8],
            message,
        )
        return Emergency(self._config.version)


def _first_result(first: LogEntry, asked: Asked) -> CommitOutcome:
    if first.change == asked.change:
        return Accepted(first)
    return Refused(["this operation id was used for another change; use a new one"])


def _now() -> str:
    return datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
