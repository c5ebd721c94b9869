"""Service-level burn per client account and service.

Burn, also called burn rate, is the fraction of requests that missed the
objective, divided by the fraction that the objective allows: 1 spends the error
budget exactly.
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

CountsKey = tuple[AccountId, ServiceName]


class Minute(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of one minute over all failure domains.

    ``missing`` lists the domains without counts for the minute.
    """

    minute: int
    counts: tuple[AccountCounts, ...] = ()
    missing: tuple[str, ...] = ()


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Burn of one client account at one service in one window.

    ``below_rate`` is an upper bound for those of ``refused_over_rate`` that fell
    in minutes in which the account stayed below its rate. The burns are None for
    accounts without a contract or without requests.
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

    ``missing`` is the number of minutes without counts per failure domain.
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
    """Return the burn over windows of which ``last_minute`` is the last minute."""
    longest = 0
    rows: list[Row] = []
    for window in windows:
        first = last_minute - window.minutes + 1
        longest = max(longest, window.minutes)
        selected = [m for m in minutes if first <= m.minute <= last_minute]
        rows += _build_rows(selected, contracts, window)
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
    sums: dict[CountsKey, Counts] = {}
    below_rate: dict[CountsKey, float] = {}
    for minute in minutes:
        for account, service, counts in minute.counts:
            key = (account, service)
            sums[key] = add_counts(sums.get(key, Counts()), counts)
        for key, number in count_below_rate(minute.counts, contracts).items():
            below_rate[key] = below_rate.get(key, 0.0) + number
    return [
        _build_row(key, counts, below_rate.get(key, 0.0), contracts.get(key[0]), window)
        for key, counts in sums.items()
    ]


def count_below_rate(
    counts: Sequence[AccountCounts], contracts: Mapping[AccountId, Contract]
) -> dict[CountsKey, float]:
    """Return an upper bound for rejections of accounts below their rate.

    ``counts`` are those of one minute, in which an account may send 60 times its
    rate. The difference between that and its admitted requests bounds the
    rejections that the rate does not explain. The bound is divided among the
    services of the account in proportion to their rejections.
    """
    admitted: dict[AccountId, int] = {}
    refused: dict[AccountId, int] = {}
    for account, _, service_counts in counts:
        admitted[account] = admitted.get(account, 0) + service_counts.admitted
        refused[account] = refused.get(account, 0) + service_counts.refused_over_rate
    bounds: dict[CountsKey, float] = {}
    for account, service, service_counts in counts:
        contract = contracts.get(account)
        if contract is None or not service_counts.refused_over_rate:
            continue
        headroom = contract.rate_per_s * SECONDS_PER_MINUTE - admitted[account]
        bound = max(0.0, min(headroom, refused[account]))
        share = service_counts.refused_over_rate / refused[account]
        key = (account, service)
        bounds[key] = bounds.get(key, 0.0) + bound * share
    return bounds


def _build_row(
    key: CountsKey,
    counts: Counts,
    below_rate: float,
    contract: Contract | None,
    window: Window,
) -> Row:
    availability = burn = slow_burn = None
    if counts.admitted:
        availability = 1 - counts.bad / counts.admitted
    if contract is not None:
        objectives = contract.objectives
        burn = _compute_burn(counts.bad, counts.admitted, 1 - objectives.availability)
        slow_burn = _compute_burn(
            counts.slow, counts.complete, 1 - objectives.latency_quantile
        )
    return Row(
        account=key[0],
        service=key[1],
        window=window.name,
        **counts._asdict(),
        below_rate=round(below_rate),
        availability=availability,
        burn=burn,
        slow_burn=slow_burn,
    )


def _compute_burn(bad: int, total: int, allowed: float) -> float | None:
    return bad / total / allowed if total else None
