"""Request counts per minute, from which error budget burn is reported.

Minutes are numbered from 1970 by the wall clock of the counting node. The number is
only a label: clock skew assigns counts to a neighboring minute.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ._ids import AccountId, DomainName, ServiceName


class Counts(NamedTuple):
    """Requests of one client account and service by how they ended.

    ``slow`` are those of ``complete`` that missed the latency objective.
    """

    complete: int = 0
    slow: int = 0
    failed: int = 0
    refused_within_rate: int = 0
    refused_over_rate: int = 0

    @property
    def admitted(self) -> int:
        """Requests that were within the rate."""
        return self.complete + self.failed + self.refused_within_rate

    @property
    def bad(self) -> int:
        """Requests that spend the error budget."""
        return self.failed + self.refused_within_rate


class AccountCounts(NamedTuple):
    """Counts with the account and service they belong to."""

    account: AccountId
    service: ServiceName
    counts: Counts


class MinuteCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of one failure domain in one minute.

    ``senders`` identifies the nodes whose counts are included. An identifier has a
    part that differs between two runs of the node's process. Counts of a listed
    sender are never added again.
    """

    domain: DomainName
    minute: int
    senders: tuple[str, ...] = ()
    counts: tuple[AccountCounts, ...] = ()


def add_counts(first: Counts, second: Counts) -> Counts:
    """Return the field-by-field sum of two counts.

    >>> add_counts(Counts(complete=1), Counts(complete=2, failed=1))
    Counts(complete=3, slow=0, failed=1, refused_within_rate=0, refused_over_rate=0)
    """
    return Counts(*(a + b for a, b in zip(first, second, strict=True)))


def sum_counts(counts: Iterable[AccountCounts]) -> tuple[AccountCounts, ...]:
    """Return one entry per account and service, sorted by both."""
    sums: dict[tuple[AccountId, ServiceName], Counts] = {}
    for account, service, added in counts:
        key = (account, service)
        sums[key] = add_counts(sums.get(key, Counts()), added)
    return tuple(AccountCounts(*key, sums[key]) for key in sorted(sums))


def minute_object_name(domain: DomainName, minute: int) -> str:
    """Return the name of the stored object with a domain's counts of one minute.

    >>> minute_object_name(DomainName("domain-a"), 29000000)
    'burn/domain-a/0029000000'
    """
    return f"burn/{domain}/{minute:010d}"
