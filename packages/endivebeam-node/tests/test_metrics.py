"""Tests of the metrics of requests."""

import json
import re
from collections import Counter
from pathlib import Path

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families

from endivebeam_model import (
    AccountId,
    Objectives,
    Refusal,
    RefusalReason,
    RunStatus,
    ServiceName,
)
from endivebeam_node._metrics import (
    MAX_LABEL_VALUES,
    Metrics,
    RequestOutcome,
    RequestStats,
    classify_refusal,
)

OPS = Path(__file__).parents[3] / "ops"
GAUGES = Path(__file__).parents[1] / "src" / "endivebeam_node" / "_gauges.py"


def read_samples(metrics: Metrics) -> dict[tuple[str, ...], float]:
    text = metrics.render().decode()
    return {
        (sample.name, *sample.labels.values()): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if not sample.name.endswith(("_created", "_bucket"))
    }


refusals = st.builds(
    lambda reason, run: Refusal(reason=reason, message="", run=run),
    st.sampled_from(RefusalReason),
    st.sampled_from(RunStatus),
)
request_stats = st.builds(
    RequestStats,
    service=st.just(ServiceName("s")),
    account=st.sampled_from(["", "a", "b"]),
    objectives=st.just(Objectives(latency_ms=100.0)),
    status=st.sampled_from([None, 200, 404, 500]),
    refusal=st.none() | refusals,
    latency_s=st.sampled_from([0.05, 0.2]),
)


class TestRecord:
    @given(st.lists(request_stats, max_size=12))
    def test_counts_equal_a_reference_count(self, all_stats: list[RequestStats]):
        """Guards against requests that are counted twice or never."""
        metrics = Metrics()
        reference: Counter[tuple[str, ...]] = Counter()
        for stats in all_stats:
            metrics.record(stats)
            account = stats.account or "open"
            outcome = stats.outcome.value
            reference["endivebeam_account_outcomes_total", account, outcome] += 1
            if stats.refusal is None and stats.status in (200, 404):
                reference["endivebeam_requests_complete_total", "s"] += 1
                if stats.latency_s > 0.1:
                    reference["endivebeam_account_slow_total", account] += 1
        samples = read_samples(metrics)
        refused = sum(v for k, v in samples.items() if "refusals" in k[0])
        assert refused == sum(m.refusal is not None for m in all_stats)
        found = {k: v for k, v in samples.items() if v and "account" in k[0]}
        assert found == {k: v for k, v in reference.items() if "account" in k[0]}
        complete = ("endivebeam_requests_complete_total", "s")
        assert samples.get(complete, 0) == reference[complete]

    def test_label_values_are_bounded(self):
        """Guards against metrics that grow with the number of accounts."""
        metrics = Metrics()
        for number in range(MAX_LABEL_VALUES + 50):
            account = AccountId(f"a{number}")
            metrics.record(RequestStats(account=account, status=200))
        samples = read_samples(metrics)
        name = "endivebeam_account_outcomes_total"
        assert samples[name, "other", "complete"] == 50
        assert sum(key[0] == name for key in samples) == MAX_LABEL_VALUES + 1


class TestOperatorFiles:
    def test_rules_and_panels_read_existing_metrics(self):
        """Guards against an alert that never fires because of a renamed metric."""
        rules = yaml.safe_load((OPS / "alerts.yaml").read_text())
        listed = [rule for group in rules["groups"] for rule in group["rules"]]
        recorded = {rule["record"] for rule in listed if "record" in rule}
        panels = json.loads((OPS / "dashboard.json").read_text())["panels"]
        expressions = [rule["expr"] for rule in listed]
        expressions += [t["expr"] for panel in panels for t in panel["targets"]]
        metrics = Metrics()
        metrics.record(RequestStats(status=200))
        text = metrics.render().decode() + GAUGES.read_text()
        for expression in expressions:
            for name in re.findall(r"\bendivebeam[:_][\w:]+", expression):
                known = name in recorded or name in text
                gauge = f'"{name.removeprefix("endivebeam_")}"'
                assert known or gauge in text, name
        assert all("action" in r["annotations"] for r in listed if "alert" in r)


class TestClassify:
    @pytest.mark.parametrize(
        ("reason", "run", "outcome"),
        [
            ("rate_exceeded", "not-run", RequestOutcome.REFUSED_OVER_RATE),
            ("overloaded", "not-run", RequestOutcome.REFUSED_WITHIN_RATE),
            ("store_unavailable", "not-run", RequestOutcome.REFUSED_WITHIN_RATE),
            ("deadline_exceeded", "not-run", RequestOutcome.REFUSED_WITHIN_RATE),
            ("deadline_exceeded", "unknown", RequestOutcome.FAILED),
            ("target_failed", "unknown", RequestOutcome.FAILED),
            ("key_withdrawn", "not-run", RequestOutcome.REJECTED),
        ],
    )
    def test_refusals_are_classified(
        self, reason: str, run: str, outcome: RequestOutcome
    ):
        """Guards against refusals within the rate that are counted as over the rate.

        A surge over the rate would then hide them.
        """
        refusal = Refusal(reason=RefusalReason(reason), message="", run=RunStatus(run))
        assert classify_refusal(refusal) is outcome
