"""Copy of the configuration in force on this node."""

from collections import deque
from collections.abc import Callable, Sequence

from loguru import logger
from returns.result import Success

from endivebeam_documents import describe_change
from endivebeam_model import (
    ConfigVersion,
    KeyDigest,
    LogEntry,
    OperationId,
    PutContract,
    PutService,
    Snapshot,
    apply_entry,
)

RECENT_ENTRIES = 1024
MAX_WITHDRAWN = 4096


class ConfigCopy:
    """Snapshot in force on this node, whose version never decreases.

    ``withdrawn`` holds keys that were withdrawn while the store was down and
    whose withdrawal is not in the log yet.
    """

    def __init__(self) -> None:
        self.snapshot = Snapshot()
        self.withdrawn: frozenset[KeyDigest] = frozenset()
        self._recent: deque[LogEntry] = deque(maxlen=RECENT_ENTRIES)
        self._listeners: list[Callable[[Snapshot], None]] = []

    @property
    def version(self) -> ConfigVersion:
        """Version in force."""
        return self.snapshot.version

    def add_listener(self, listener: Callable[[Snapshot], None]) -> None:
        """Call a function with the snapshot after each change."""
        self._listeners.append(listener)

    def apply(self, entries: Sequence[LogEntry]) -> int:
        """Apply the entries that follow the snapshot; return how many were applied."""
        applied = 0
        for entry in entries:
            match apply_entry(self.snapshot, entry):
                case Success(snapshot):
                    self.snapshot = snapshot
                    self._recent.append(entry)
                    applied += 1
        if applied:
            self._drop_logged()
            logger.info("config: version {} in force", self.version)
            self._notify()
        return applied

    def install(self, snapshot: Snapshot) -> bool:
        """Replace the snapshot if the given one has a higher version.

        Returns whether it was replaced.
        """
        if snapshot.version <= self.version:
            return False
        self.snapshot = snapshot
        self._recent.clear()
        self._drop_logged()
        logger.info("config: version {} in force, loaded from a snapshot", self.version)
        self._notify()
        return True

    def entries_after(self, version: ConfigVersion) -> list[LogEntry]:
        """Return the entries after a version; empty if they are no longer stored."""
        found = [entry for entry in self._recent if entry.version > version]
        if found and found[0].version == version + 1:
            return found
        return []

    def find_operation(self, op_id: OperationId) -> LogEntry | None:
        """Return the entry of an operation; None if it is not among the recent ones."""
        for entry in reversed(self._recent):
            if entry.op_id == op_id:
                return entry
        return None

    def find_entry(self, version: ConfigVersion) -> LogEntry | None:
        """Return the entry of a version; None if it is not among the recent ones."""
        for entry in reversed(self._recent):
            if entry.version == version:
                return entry
        return None

    def withdraw(self, digest: KeyDigest) -> bool:
        """Withdraw a key that is not withdrawn in the log; return whether it is new."""
        if digest in self.withdrawn or self._is_logged(digest):
            return False
        if len(self.withdrawn) >= MAX_WITHDRAWN:
            logger.error(
                "config: rejected a withdrawal: {} already wait for the store",
                MAX_WITHDRAWN,
            )
            return False
        self.withdrawn = self.withdrawn | {digest}
        self._notify()
        return True

    def pending(self) -> list[KeyDigest]:
        """Return the withdrawn keys whose withdrawal is not in the log yet."""
        keys = self.snapshot.keys
        return [d for d in self.withdrawn if d not in keys or not keys[d].withdrawn]

    def count_pending(self) -> int:
        """Return the number of withdrawals that are not in the log yet."""
        return len(self.pending())

    def _is_logged(self, digest: KeyDigest) -> bool:
        key = self.snapshot.keys.get(digest)
        return key is not None and key.withdrawn

    def _drop_logged(self) -> None:
        # The snapshot never reverts, so a withdrawal in it needs no entry here.
        logged = {digest for digest in self.withdrawn if self._is_logged(digest)}
        if logged:
            self.withdrawn = self.withdrawn - logged

    def _notify(self) -> None:
        for listener in self._listeners:
            listener(self.snapshot)


def redact_entry(entry: LogEntry) -> str:
    """Describe a change for logs and the audit record, without any key."""
    match entry.change:
        case PutContract(contract=contract):
            services = ",".join(contract.services) or "all"
            return (
                f"put contract {contract.account}: rate_per_s={contract.rate_per_s:g} "
                f"burst={contract.burst:g} retry_credits={contract.retry_credits} "
                f"services={services}"
            )
        case PutService(service=service):
            routes = ", ".join(f"{r.method} {r.path}" for r in service.routes)
            return f"put service {service.service}: {routes}"
    return describe_change(entry.change, Snapshot())
