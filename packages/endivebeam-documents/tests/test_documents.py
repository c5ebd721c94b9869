"""Tests of contract documents: findings, conversion, diffs and the schema."""

from pathlib import Path

import jsonschema
import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from endivebeam_documents import (
    ContractDocument,
    build_schema,
    diff_document,
    dump_document,
    dump_schema,
    from_snapshot,
    load_document,
)
from endivebeam_model import ConfigVersion, LogEntry, OperationId, Snapshot, apply_entry

SCHEMA_FILE = Path(__file__).parents[3] / "docs" / "contract.schema.json"

VALID = """\
accounts:
  - account: northfit-rentals
    rate_per_s: 120
    burst: 240
    services: [bookings]
services:
  - service: bookings
    routes:
      - {method: POST, path: /deposits, semantics: at_most_once, criticality: critical}
      - {method: "*", path: /}
"""

FAULTY = """\
accounts:
  - account: Northfit
    rate_per_s: -1
    bursts: 240
  - account: glen
    rate_per_s: 1
    burst: 1
    burst: 2
services:
  - service: bookings
    routes:
      - {path: /, timeout_ms: 30001}
"""

names = st.sampled_from(["a", "b", "c"])
entries = st.fixed_dictionaries(
    {"account": names, "rate_per_s": st.integers(1, 3), "burst": st.just(5)},
    optional={"services": st.just(["s"])},
)
routes = st.fixed_dictionaries({"path": st.sampled_from(["/", "/x"])})
services = st.fixed_dictionaries(
    {"service": st.sampled_from(["s", "t"]), "routes": st.tuples(routes).map(list)}
)
documents = st.builds(
    lambda accounts, extra: ContractDocument.model_validate(
        {"accounts": accounts, "services": extra}
    ),
    st.lists(entries, max_size=3, unique_by=lambda e: e["account"]),
    st.lists(services, max_size=2, unique_by=lambda e: e["service"]),
)


def apply_changes(snapshot: Snapshot, changes: list) -> Snapshot:
    for change in changes:
        entry = LogEntry(
            version=ConfigVersion(snapshot.version + 1),
            op_id=OperationId("op"),
            operator="test",
            at="",
            change=change,
        )
        snapshot = apply_entry(snapshot, entry).unwrap()
    return snapshot


class TestFindings:
    def test_all_findings_are_reported_with_positions(self):
        """Guards against a check that stops at the first error of a document."""
        found = load_document(FAULTY, "contracts.yaml")
        assert found.value is None
        positions = [(f.line, f.column, f.path) for f in found.findings]
        assert positions == [
            (2, 5, "accounts[0].account"),
            (2, 5, "accounts[0].burst"),
            (3, 5, "accounts[0].rate_per_s"),
            (4, 5, "accounts[0].bursts"),
            (8, 5, "accounts[1].burst"),
            (12, 19, "services[0].routes[0].timeout_ms"),
        ]
        assert "did you mean burst?" in str(found.findings[3])

    @pytest.mark.parametrize(
        ("old", "new", "message"),
        [
            ("services: [bookings]", "services: [booking]", "did you mean bookings?"),
            ("critical}", "normal}", "set criticality: critical"),
            ('"*", path: /}', "POST, path: /deposits/}", "listed twice"),
            ("services:\n", "  - {account: northfit-rentals, rate_per_s: 1, burst: 1}"
             "\nservices:\n", "already defined in line 2"),
            ("criticality: critical}", "criticality: critical, open: true}",
             "error: services[0].routes[0].open: callers of an open route"),
            ("burst: 240", 'burst: "240"', "valid number"),
            ("burst: 240", "burst: .inf", "finite"),
            ("burst: 240", "burst: [", "not valid YAML"),
            ("burst: 240", "burst: 2026-99-99", "put it in quotes"),
        ],
    )  # fmt: skip
    def test_single_fault_is_reported(self, old: str, new: str, message: str):
        """Guards against a fault that is accepted, or reported without advice."""
        found = load_document(VALID.replace(old, new, 1), "contracts.yaml")
        assert any(message in str(finding) for finding in found.findings)

    def test_nested_aliases_are_rejected(self):
        """Guards against a short document whose aliases expand exponentially."""
        lines = ["a0: &a0 [x, x]"]
        lines += [f"a{n}: &a{n} [*a{n - 1}, *a{n - 1}]" for n in range(1, 40)]
        found = load_document("\n".join(lines), "f")
        assert any("aliases" in finding.message for finding in found.findings)

    def test_deep_nesting_is_rejected(self):
        """Guards against a ``RecursionError`` that leaves the loader."""
        found = load_document("[" * 100_000, "f")
        assert found.value is None

    @given(st.text(alphabet="ab:-[]{}&*!|>'\"\n #0.", max_size=60))
    def test_any_text_gives_a_document_or_an_error(self, text: str):
        """Guards against texts that raise instead of returning a finding."""
        found = load_document(text, "f")
        assert (found.value is None) == any(
            f.severity.value == "error" for f in found.findings
        )


class TestDiff:
    @given(documents, documents)
    def test_changes_turn_one_document_into_another(
        self, old: ContractDocument, new: ContractDocument
    ):
        """Guards against a change that is missed, reverted or repeated."""
        before = apply_changes(Snapshot(), diff_document(old, Snapshot()))
        after = apply_changes(before, diff_document(new, before, prune=True))
        assert dump_document(from_snapshot(after)) == dump_document(
            ContractDocument(
                accounts=sorted(new.accounts, key=lambda a: a.account),
                services=sorted(new.services, key=lambda s: s.service),
            )
        )
        assert diff_document(new, after, prune=True) == []

    @given(documents, documents)
    def test_nothing_is_removed_without_prune(
        self, old: ContractDocument, new: ContractDocument
    ):
        """Guards against a partial document that removes other contracts."""
        before = apply_changes(Snapshot(), diff_document(old, Snapshot()))
        after = apply_changes(before, diff_document(new, before))
        assert before.contracts.keys() <= after.contracts.keys()
        assert before.services.keys() <= after.services.keys()

    @given(documents)
    def test_dumped_document_loads_again(self, document: ContractDocument):
        """Guards against output of ``contract show`` that cannot be applied."""
        text = dump_document(document)
        known = frozenset({"s"})
        assert load_document(text, "f", known_services=known).value == document


class TestSchema:
    def test_committed_schema_is_up_to_date(self):
        """Guards against a published schema that differs from the code.

        Regenerate it with ``endivebeam validate --schema``.
        """
        assert SCHEMA_FILE.read_text() == dump_schema()

    def test_schema_agrees_with_the_loader(self):
        """Guards against a schema that accepts documents that the tool rejects."""
        jsonschema.Draft202012Validator.check_schema(build_schema())
        validator = jsonschema.Draft202012Validator(build_schema())
        assert validator.is_valid(yaml.safe_load(VALID))
        assert not validator.is_valid(yaml.safe_load(FAULTY))
