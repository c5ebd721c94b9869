"""Service-level burn per client account and service.

Burn is the share of requests that missed the objective over the share that
the objective allows: 1 spends the error budget exactly.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from endivebeam_model import (
    AccountCounts,
    AccountId,
    Contract,
    Counts,
    ServiceName,
    add_counts,
)

from ._windows import Window

SECONDS_PER_MINUTE = 60

Key = tuple[AccountId, ServiceName]


class Minute(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of one minute over all failure domains.

    ``missing`` names the domains that have no counts for the minute.
    """

    minute: int
    counts: tuple[AccountCounts, ...] = ()
    missing: tuple[str, ...] = ()


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Burn of one client account at one service in one window.

    ``below_rate`` is at most how many of the refusals over the rate fell in
    minutes in which the account stayed below its rate. The burns are None for
    accounts without a contract and without requests.
    """

    account: AccountId
    service: ServiceName
    window: str
    complete: int
    slow: int
    failed: int
    refused_within_rate: int
    refused_over_rate: int
    below_rate: int
    availability: float | None
    burn: float | None
    slow_burn: float | None


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Rows of all windows that end with the same minute.

    ``missing`` counts for each failure domain the minutes without counts.
    """

    last_minute: int
    rows: list[Row]
    missing: dict[str, int]


def build_report(
    minutes: Sequence[Minute],
    contracts: Mapping[AccountId, Contract],
    windows: Iterable[Window],
    last_minute: int,
) -> Report:
    """Return the burn over windows that end with a minute, that one included."""
    longest = 0
    rows: list[Row] = []
    for window in windows:
        first = last_minute - window.minutes + 1
        longest = max(longest, window.minutes)
        chosen = [m for m in minutes if first <= m.minute <= last_minute]
        rows += _build_rows(chosen, contracts, window)
    missing: dict[str, int] = {}
    for minute in minutes:
        if last_minute - longest < minute.minute <= last_minute:
            for domain in minute.missing:
                missing[domain] = missing.get(domain, 0) + 1
    rows.sort(key=lambda row: (row.account, row.service))
    return Report(last_minute=last_minute, rows=rows, missing=missing)


def _build_rows(
    minutes: Sequence[Minute], contracts: Mapping[AccountId, Contract], window: Window
) -> list[Row]:
    sums: dict[Key, Counts] = {}
    below: dict[Key, float] = {}
    for minute in minutes:
        for account, service, counts in minute.counts:
            key = (account, service)
            sums[key] = add_counts(sums.get(key, Counts()), counts)
        for key, number in count_below_rate(minute.counts, contracts).items():
            below[key] = below.get(key, 0.0) + number
    return [
        _build_row(key, counts, below.get(key, 0.0), contracts.get(key[0]), window)
        for key, counts in sums.items()
    ]


def count_below_rate(
    counts: Sequence[AccountCounts], contracts: Mapping[AccountId, Contract]
) -> dict[Key, float]:
    """Return how many refusals over the rate came below the rate, at most.

    In a minute an account may send its rate times 60. What it had admitted
    less than that bounds the refusals that cannot be explained by the rate.
    They are spread over its services as its refusals are.
    """
    admitted: dict[AccountId, int] = {}
    refused: dict[AccountId, int] = {}
    for account, _, number in counts:
        admitted[account] = admitted.get(account, 0) + number.admitted
        refused[account] = refused.get(account, 0) + number.refused_over_rate
    found: dict[Key, float] = {}
    for account, service, number in counts:
        contract = contracts.get(account)
        if contract is None or not number.refused_over_rate:
            continue
        room = contract.rate_per_s * SECONDS_PER_MINUTE - admitted[account]
        bound = max(0.0, min(room, refused[account]))
        share = number.refused_over_rate / refused[account]
        key = (account, service)
        found[key] = found.get(key, 0.0) + bound * share
    return found


def _build_row(
    key: Key, counts: Counts, below: float, contract: Contract | None, window: Window
) -> Row:
    availability = burn = slow_burn = None
    if counts.admitted:
        availability = 1 - counts.bad / counts.admitted
    if contract is not None:
        objectives = contract.objectives
        burn = _divide(counts.bad, counts.admitted, 1 - objectives.availability)
        slow_burn = _divide(
            counts.slow, counts.complete, 1 - objectives.latency_quantile
        )
    return Row(
        account=key[0],
        service=key[1],
        window=window.name,
        **counts._asdict(),
        below_rate=round(below),
        availability=availability,
        burn=burn,
        slow_burn=slow_burn,
    )


def _divide(bad: int, total: int, allowed: float) -> float | None:
    return bad / total / allowed if total else None
