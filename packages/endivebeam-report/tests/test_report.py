"""Tests of service-level burn reports."""

import re

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from endivebeam_model import (
    AccountCounts,
    AccountId,
    Contract,
    Counts,
    Objectives,
    ServiceName,
)
from endivebeam_report import (
    Minute,
    Window,
    build_report,
    count_below_rate,
    parse_window,
    render_page,
)

A = AccountId("northfit")
S = ServiceName("bookings")
OBJECTIVES = Objectives(availability=0.99, latency_quantile=0.9)
CONTRACTS = {A: Contract(account=A, rate_per_s=1.0, burst=2.0, objectives=OBJECTIVES)}


def make_minute(minute: int, service: str = S, **counts: int) -> Minute:
    entry = AccountCounts(A, ServiceName(service), Counts(**counts))
    return Minute(minute=minute, counts=(entry,))


counts = st.builds(Counts, *[st.integers(0, 50)] * 5)
entries = st.lists(
    st.builds(AccountCounts, st.sampled_from([A, AccountId("b")]),
              st.sampled_from([S, ServiceName("t")]), counts), max_size=5,
)  # fmt: skip


class TestBurn:
    def test_burn_is_the_bad_fraction_over_the_allowed_fraction(self):
        """Guards against rejections over the rate that spend the error budget."""
        minute = make_minute(
            9, complete=95, slow=19, failed=3, refused_within_rate=2,
            refused_over_rate=1000,
        )  # fmt: skip
        (row,) = build_report([minute], CONTRACTS, [Window("5m", 5)], 9).rows
        assert row.availability == pytest.approx(0.95)
        assert row.burn == pytest.approx(5.0)
        assert row.slow_burn == pytest.approx(2.0)

    def test_windows_end_with_the_last_minute(self):
        """Guards against windows that are one minute short or long."""
        minutes = [make_minute(m, complete=1) for m in range(100, 111)]
        windows = [Window("5m", 5), Window("1h", 60)]
        rows = build_report(minutes, CONTRACTS, windows, 109).rows
        assert [row.complete for row in rows] == [5, 10]

    def test_missing_minutes_are_counted_in_the_longest_window(self):
        """Guards against a report that hides lost counters."""
        minutes = [Minute(minute=m, missing=("domain-a",)) for m in range(10)]
        report = build_report(minutes, {}, [Window("5m", 5)], 9)
        assert report.missing == {"domain-a": 5}

    @given(entries)
    def test_rejections_below_the_rate_are_bounded(
        self, account_counts: list[AccountCounts]
    ):
        """Guards against rejections within the rate that are counted as over it."""
        below = count_below_rate(account_counts, CONTRACTS)
        refused = sum(c.refused_over_rate for a, _, c in account_counts if a == A)
        admitted = sum(c.admitted for a, _, c in account_counts if a == A)
        naive = max(0, min(60 - admitted, refused))
        assert sum(below.values()) == pytest.approx(naive)


class TestWindows:
    @pytest.mark.parametrize("text", ["", "5", "0m", "2d", "h", "1w", "99999999m"])
    def test_error_of_an_invalid_window_shows_valid_ones(self, text: str):
        """Guards against an invalid window that is parsed as another one."""
        assert isinstance(parse_window(text), Failure)
        assert re.search("1d", parse_window(text).failure())


class TestPage:
    def test_page_is_self_contained_and_escaped(self):
        """Guards against external resources and against script in account names."""
        account = AccountId("<script>")
        entry = AccountCounts(account, S, Counts(complete=3, failed=1))
        minutes = [Minute(minute=m, counts=(entry,)) for m in range(10)]
        contracts = {account: Contract(account=account, rate_per_s=1, burst=1)}
        report = build_report(minutes, contracts, [Window("5m", 5)], 9)
        page = render_page(report, minutes, contracts)
        assert "<script" not in page
        assert not re.search(r"(?:src|href)=.?https?:", page)
        assert page.count("data:image/png;base64,") == 2
