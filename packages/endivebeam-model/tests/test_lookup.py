"""Tests of routes, keys and changes."""

import msgspec
from returns.result import Failure, Success

from endivebeam_model import (
    AccountId,
    ConfigVersion,
    Contract,
    IssueKey,
    Key,
    LogEntry,
    OperationId,
    PutContract,
    RefusalReason,
    Route,
    Service,
    ServiceName,
    Snapshot,
    VersionGap,
    WithdrawKey,
    apply_entry,
    authenticate,
    digest_key,
    find_route,
)

ACCOUNT = AccountId("northfit")
SERVICE = Service(
    service=ServiceName("bookings"),
    routes=(
        Route(path="/"),
        Route(path="/deposits", method="POST"),
        Route(path="/deposits"),
    ),
)


def make_entry(version: int, change: object) -> LogEntry:
    return LogEntry(
        version=ConfigVersion(version),
        op_id=OperationId("op"),
        operator="test",
        at="",
        change=change,
    )


def apply_all(*changes: object) -> Snapshot:
    snapshot = Snapshot()
    for version, change in enumerate(changes, start=1):
        snapshot = apply_entry(snapshot, make_entry(version, change)).unwrap()
    return snapshot


class TestFindRoute:
    def test_longest_path_and_specific_method_take_precedence(self):
        """Guards against a deposit that is handled by the service's default route."""
        assert find_route(SERVICE, "POST", "/deposits/7") is SERVICE.routes[1]
        assert find_route(SERVICE, "GET", "/deposits") is SERVICE.routes[2]
        assert find_route(SERVICE, "GET", "/depositsx") is SERVICE.routes[0]


class TestApplyEntry:
    def test_only_the_next_version_applies(self):
        """Guards against a stale or replayed entry that reverts a later one."""
        contract = Contract(account=ACCOUNT, rate_per_s=1.0, burst=1.0)
        snapshot = apply_all(PutContract(contract=contract))
        for version in (0, 1, 3):
            entry = make_entry(version, PutContract(contract=contract))
            assert apply_entry(snapshot, entry) == Failure(VersionGap(1, version))

    def test_withdrawn_key_cannot_be_issued_again(self):
        """Guards against a concurrent operator who reissues a withdrawn key."""
        key = Key(digest=digest_key("secret"), account=ACCOUNT)
        contract = Contract(account=ACCOUNT, rate_per_s=1.0, burst=1.0)
        snapshot = apply_all(
            PutContract(contract=contract),
            WithdrawKey(digest=key.digest),
            IssueKey(key=key),
        )
        assert authenticate(snapshot, "secret") == Failure(RefusalReason.KEY_WITHDRAWN)

    def test_snapshot_is_equal_after_json_encoding(self):
        """Guards against a snapshot that a peer or the store cannot decode."""
        key = Key(digest=digest_key("secret"), account=ACCOUNT)
        contract = Contract(account=ACCOUNT, rate_per_s=1.0, burst=1.0)
        snapshot = apply_all(PutContract(contract=contract), IssueKey(key=key))
        encoded = msgspec.json.encode(snapshot)
        decoded = msgspec.json.decode(encoded, type=Snapshot)
        assert decoded == snapshot
        assert authenticate(decoded, "secret") == Success(contract)
