"""State of one share at its holder: lease, buckets and granting."""

from collections.abc import Iterator, Mapping, Sequence

import msgspec

from endivebeam_model import AccountId, Contract, GrantStatus

from ._bucket import Bucket, BucketState
from ._grants import TokenReport
from ._leases import HolderLease, Reachability
from ._placement import ShareId

# Maximum number of buckets of removed contracts that a share keeps.
MAX_REMOVED_BUCKETS = 4096


class GrantResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a request for tokens; ``level`` is what remains in the bucket."""

    status: GrantStatus
    grant_id: int = 0
    tokens: float = 0.0
    level: float = 0.0


class HeldShare:
    """Lease of one share and the buckets of its accounts.

    Since the time ``since``, all tokens of this share's accounts are known to
    have been granted by these buckets; it is None if no tokens were granted
    before. A new bucket starts full if ``since`` is None, and empty otherwise.
    ``version`` is that of the share's row in the store. ``epoch`` increases with
    each change of the holder.
    """

    def __init__(
        self,
        *,
        share: ShareId,
        slots: int,
        epoch: int,
        version: int,
        lease: HolderLease,
        since: float | None,
    ) -> None:
        self.share = share
        self.epoch = epoch
        self.version = version
        self.lease = lease
        self.since = since
        self._slots = slots
        self._buckets: dict[AccountId, Bucket] = {}

    def grant(
        self,
        contract: Contract,
        *,
        need: float,
        want: float,
        reports: Sequence[TokenReport],
        grant_ids: Iterator[int],
        reachability: Reachability,
        now: float,
    ) -> GrantResult:
        """Process reports, then grant ``need`` to ``want`` tokens or decline."""
        bucket = self._get_bucket(contract, now)
        for report in reports:
            bucket.settle(
                report.grant_id, spent=report.spent, returned=report.returned, now=now
            )
        if not self.lease.may_grant(now, reachability):
            return GrantResult(status=GrantStatus.STOPPED)
        grant_id = next(grant_ids)
        tokens = bucket.grant(grant_id, need=need, want=want, now=now)
        status = GrantStatus.GRANTED if tokens > 0 else GrantStatus.DECLINED
        return GrantResult(
            status=status, grant_id=grant_id, tokens=tokens, level=bucket.level
        )

    def update_contracts(
        self, contracts: Mapping[AccountId, Contract], now: float
    ) -> None:
        """Apply the contracts in force of this share's group.

        Unless ``since`` is None, this creates the buckets of all accounts, so that
        each refills at the rates that were in force. Buckets of removed contracts
        are kept, so that removing a contract and writing it again does not refill
        its burst.
        """
        removed = [a for a in self._buckets if a not in contracts]
        for account in removed[: max(0, len(removed) - MAX_REMOVED_BUCKETS)]:
            del self._buckets[account]
        for account, contract in contracts.items():
            if self.since is not None or account in self._buckets:
                self._get_bucket(contract, now)

    def export(self, now: float) -> dict[AccountId, BucketState]:
        """Return the states of the buckets for a planned handover."""
        return {account: b.export(now) for account, b in self._buckets.items()}

    def load(
        self,
        states: Mapping[AccountId, BucketState],
        contracts: Mapping[AccountId, Contract],
        grant_ids: Iterator[int],
        now: float,
    ) -> None:
        """Load the buckets of the previous holder after a handover.

        Its grants count as outstanding for a full grant lifetime. An account
        whose contract is unknown to this node does not refill, and its burst is
        the sum of its level and its outstanding tokens.
        """
        for account, state in states.items():
            contract = contracts.get(account)
            total = state.level + state.outstanding
            bucket = Bucket(rate=0.0, burst=total, level=state.level, now=now)
            if contract is not None:
                bucket.rate = contract.rate_per_s / self._slots
                bucket.burst = contract.burst / self._slots
                bucket.level = min(state.level, bucket.burst)
            if state.outstanding > 0:
                bucket.add_outstanding(next(grant_ids), state.outstanding, now)
            self._buckets[account] = bucket

    def _get_bucket(self, contract: Contract, now: float) -> Bucket:
        rate = contract.rate_per_s / self._slots
        burst = contract.burst / self._slots
        bucket = self._buckets.get(contract.account)
        if bucket is None:
            level = burst if self.since is None else 0.0
            bucket = Bucket(rate=rate, burst=burst, level=level, now=now)
            self._buckets[contract.account] = bucket
        bucket.reconfigure(rate=rate, burst=burst, now=now)
        return bucket
