"""Reads the request counts of all failure domains for a report."""

from collections.abc import Iterable

import anyio
import msgspec
from returns.result import Failure, Result, Success

from endivebeam_model import (
    AccountCounts,
    DomainName,
    MinuteCounts,
    minute_object_name,
    sum_counts,
)
from endivebeam_store import Unavailable

from ._burn_sync import ReadObject

MAX_RANGE_MINUTES = 60
MAX_CONCURRENT_READS = 16


class MinuteSum(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of one minute over all failure domains.

    ``missing`` names the domains that have no counts for the minute.
    """

    minute: int
    counts: tuple[AccountCounts, ...]
    missing: tuple[DomainName, ...]


class BurnReply(msgspec.Struct, frozen=True, kw_only=True):
    """Counts minute by minute."""

    minutes: list[MinuteSum]


async def read_burn(
    read: ReadObject, domains: Iterable[DomainName], minutes: range
) -> Result[BurnReply, Unavailable]:
    """Return the counts of a range of minutes, or why they cannot be read."""
    names = sorted(set(domains))
    found: dict[tuple[int, DomainName], bytes | None] = {}
    failures: list[Unavailable] = []
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_READS)

    async def fetch(minute: int, domain: DomainName) -> None:
        async with limiter:
            if failures:
                return
            result = await read(minute_object_name(domain, minute))
        match result:
            case Success(content):
                found[minute, domain] = content
            case Failure(unavailable):
                failures.append(unavailable)

    async with anyio.create_task_group() as tasks:
        for minute in minutes:
            for domain in names:
                tasks.start_soon(fetch, minute, domain)
    if failures:
        return Failure(failures[0])
    return Success(
        BurnReply(
            minutes=[_sum_minute(m, {d: found[m, d] for d in names}) for m in minutes]
        )
    )


def _sum_minute(minute: int, found: dict[DomainName, bytes | None]) -> MinuteSum:
    parts: list[AccountCounts] = []
    missing = []
    for domain, content in found.items():
        if content is None:
            missing.append(domain)
            continue
        parts += msgspec.json.decode(content, type=MinuteCounts).counts
    return MinuteSum(minute=minute, counts=sum_counts(parts), missing=tuple(missing))
