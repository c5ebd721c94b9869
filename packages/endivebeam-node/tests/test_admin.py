"""Tests of the administration API over an in-memory table."""

import hashlib
import re
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import anyio
import httpx
import msgspec
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Failure, Success

from endivebeam_model import (
    AccountId,
    Address,
    Change,
    ConfigVersion,
    Contract,
    DomainName,
    KeyDigest,
    Member,
    MemberState,
    NodeId,
    OperationId,
    PutContract,
    RegionName,
    ServiceName,
    WithdrawKey,
    make_tag,
)
from endivebeam_node._admin import build_admin_app
from endivebeam_node._commits import (
    Accepted,
    CommitRequest,
    Committer,
    PreconditionFailed,
    StoreDown,
)
from endivebeam_node._config import ConfigCopy
from endivebeam_node._emergency import EmergencyWriter
from endivebeam_node._endpoints import ENDPOINTS
from endivebeam_node._members import Members
from endivebeam_node._openapi import Endpoint, dump_openapi
from endivebeam_node._settings import Operator
from endivebeam_node._versions import ReportedVersions
from endivebeam_store import (
    Committed,
    ConfigLog,
    Conflict,
    Row,
    Transaction,
    Unavailable,
)

OPENAPI_FILE = Path(__file__).parents[3] / "docs" / "openapi.json"
TOKENS = {"admin": "token-of-ann", "read": "token-of-ben"}


class MemoryTable:
    """In-memory table that can be unavailable or lose the responses of commits."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.down = False
        self.lose_responses = False

    async def read(self, key: str):
        if self.down:
            return Failure(Unavailable(message="the table is unavailable"))
        return Success(self.rows.get(key))

    async def commit(self, transaction: Transaction):
        if self.down:
            return Failure(Unavailable(message="the table is unavailable"))
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (0 if row is None else row.version) != condition.version:
                return Failure(Conflict())
        for put in transaction.puts:
            old = self.rows.get(put.key)
            version = 1 if old is None else old.version + 1
            self.rows[put.key] = Row(
                key=put.key,
                value=put.value,
                version=version,
                op_id=transaction.op_id,
            )
        if self.lose_responses:
            return Failure(Unavailable(message="response lost", maybe_applied=True))
        return Success(Committed(op_id=transaction.op_id))


class AdminNode:
    """Administration API of one node over a shared table."""

    def __init__(self, table: MemoryTable) -> None:
        self.config = ConfigCopy()
        self.versions = ReportedVersions()
        self.drain_count = 0
        self.is_domain_writer = False
        self.members = Members(
            local=make_member("node-1", "domain-a"),
            config=self.config,
            clock=lambda: 0.0,
        )
        self.log = ConfigLog(table=table)

        async def withdraw(change: WithdrawKey) -> None:
            self.config.withdraw(change.digest)

        def count_drain() -> None:
            self.drain_count += 1

        self.committer = Committer(
            config=self.config,
            log=self.log,
            on_committed=lambda entry: self.config.apply([entry]),
            on_withdrawn=withdraw,
        )
        self.emergency = EmergencyWriter(
            config=self.config,
            committer=self.committer,
            is_writer=lambda: self.is_domain_writer,
        )
        self.app = build_admin_app(
            operators=[
                Operator(
                    name=role,
                    token_sha256=hashlib.sha256(token.encode()).hexdigest(),
                    role=role,
                )
                for role, token in TOKENS.items()
            ],
            config=self.config,
            members=self.members,
            log=self.log,
            committer=self.committer,
            versions=self.versions,
            on_drain=count_drain,
        )

    def send(self, method: str, path: str, *, role: str = "admin", **kwargs: Any):
        token = TOKENS.get(role, role)
        headers = {"authorization": f"Bearer {token}", **kwargs.pop("headers", {})}

        async def send_request() -> httpx.Response:
            transport = httpx.ASGITransport(app=self.app)
            async with httpx.AsyncClient(
                transport=transport, base_url="http://node"
            ) as client:
                return await client.request(method, path, headers=headers, **kwargs)

        return anyio.run(send_request)

    def change(
        self, change: dict, *, op_id: str = "op", headers: Any = None, **extra: Any
    ):
        body = {"op_id": op_id, "change": change, **extra}
        return self.send("POST", "/v1/changes", json=body, headers=headers or {})


def make_member(name: str, domain: str) -> Member:
    return Member(
        node_id=NodeId(name),
        incarnation=1,
        sequence=0,
        address=Address("127.0.0.1", 1),
        region=RegionName("r"),
        domain=DomainName(domain),
        service=ServiceName("s"),
        slots=1,
        state=MemberState.SERVING,
    )


def put_contract(account: str = "northfit", rate: float = 1.0, **extra: Any) -> dict:
    contract = {"account": account, "rate_per_s": rate, "burst": 5.0, **extra}
    return {"type": "put_contract", "contract": contract}


@pytest.fixture
def table() -> MemoryTable:
    return MemoryTable()


@pytest.fixture
def node(table: MemoryTable) -> AdminNode:
    return AdminNode(table)


class TestAccess:
    @pytest.mark.parametrize(
        "endpoint", [e for e in ENDPOINTS if e.access > 0], ids=lambda e: e.handler
    )
    def test_every_endpoint_rejects_insufficient_tokens(
        self, node: AdminNode, endpoint: Endpoint
    ):
        """Guards against an endpoint without authentication or role check."""
        path = re.sub(r"{\w+}", "x", endpoint.path)
        assert node.send(endpoint.method, path, role="eb_client").status_code == 401
        if endpoint.access > 1:
            assert node.send(endpoint.method, path, role="read").status_code == 403

    def test_large_body_is_rejected_before_it_is_read_completely(self, node: AdminNode):
        """Guards against a body that exhausts the memory of the node."""
        sent = []

        async def chunks() -> AsyncIterator[bytes]:
            for _ in range(1000):
                sent.append(1)
                yield b"x" * 65536

        response = node.send("POST", "/v1/changes", content=chunks())
        assert response.status_code == 413
        assert len(sent) < 20

    def test_committed_openapi_document_is_current(self):
        """Guards against documentation that differs from the API."""
        assert OPENAPI_FILE.read_text() == dump_openapi(ENDPOINTS)


class TestChanges:
    def test_precondition_is_required_and_applies_to_the_object(self, node: AdminNode):
        """Guards against an operator who overwrites another operator's change."""
        assert node.change(put_contract()).status_code == 428
        created = node.change(put_contract(), headers={"if-none-match": "*"})
        assert (created.status_code, created.json()["version"]) == (200, 1)
        tag = created.headers["etag"]
        assert node.change(
            put_contract("other"), op_id="2", expected_version=1
        ).is_success
        updated = node.change(
            put_contract(rate=2.0), op_id="3", headers={"if-match": tag}
        )
        assert updated.json()["version"] == 3
        late = node.change(put_contract(rate=9.0), op_id="4", headers={"if-match": tag})
        assert late.status_code == 412
        assert late.json()["current"]["rate_per_s"] == 2.0
        stale = node.change(put_contract(rate=9.0), op_id="5", expected_version=1)
        assert (stale.status_code, stale.json()["version"]) == (412, 3)

    def test_repeated_operation_returns_the_first_result(self, node: AdminNode):
        """Guards against a change that a retry applies twice."""
        first = node.change(put_contract(), expected_version=0)
        node.change(put_contract("other"), op_id="2", expected_version=1)
        again = node.change(put_contract(), expected_version=0)
        assert (again.status_code, again.json()) == (200, first.json())
        other = node.change(put_contract(rate=7.0), expected_version=0)
        assert other.status_code == 422

    def test_retry_at_another_node_returns_the_first_result(
        self, node: AdminNode, table: MemoryTable
    ):
        """Guards against a change committed twice after its response was lost."""
        table.lose_responses = True
        # The log reads its entry back and finds that it was committed.
        first = node.change(put_contract(), expected_version=0)
        assert (first.status_code, first.json()["version"]) == (200, 1)
        table.lose_responses = False
        other = AdminNode(table)
        again = other.change(put_contract(), expected_version=0)
        assert (again.status_code, again.json()["version"]) == (200, 1)

    def test_retry_of_an_old_operation_is_found_in_the_table(
        self, node: AdminNode, table: MemoryTable
    ):
        """Guards against a retry rejected by a node without the recent entries."""
        node.change(put_contract(), expected_version=0)
        node.change(put_contract("other"), op_id="2", expected_version=1)
        other = AdminNode(table)
        other.config.snapshot = node.config.snapshot
        again = other.change(put_contract(), expected_version=0)
        assert (again.status_code, again.json()["version"]) == (200, 1)

    @pytest.mark.parametrize(
        ("change", "message"),
        [
            (put_contract(rate=-1.0), "greater than 0"),
            (put_contract(account="No Name"), "pattern"),
            (put_contract(services=["nothing"]), "not defined"),
            ({"type": "withdraw_key", "digest": "ab"}, "SHA-256"),
            ({"type": "issue_key", "key": {"digest": "a" * 64, "account": "x"}},
             "no contract"),
            ({"type": "put_service", "service": {"service": "s", "routes": [
                {"path": "/", "timeout_s": 31.0}]}}, "30000"),
        ],
    )  # fmt: skip
    def test_api_applies_the_rules_of_the_document(
        self, node: AdminNode, change: dict, message: str
    ):
        """Guards against a value that the document rejects and the API accepts."""
        response = node.change(change, expected_version=0)
        assert response.status_code == 422
        assert message in response.json()["message"]

    def test_withdrawal_without_store_is_in_force_but_not_durable(
        self, node: AdminNode, table: MemoryTable
    ):
        """Guards against a leaked key that stays valid while the store is down."""
        table.down = True
        digest = "a" * 64
        response = node.change({"type": "withdraw_key", "digest": digest})
        assert (response.status_code, response.json()["durable"]) == (202, False)
        assert digest in node.config.withdrawn
        assert (
            node.change(put_contract(), op_id="2", expected_version=0).status_code
            == 503
        )

    def test_withdrawal_is_logged_when_the_store_is_available_again(
        self, node: AdminNode, table: MemoryTable
    ):
        """Guards against a withdrawal that is lost when all nodes restart."""
        table.down = True
        digest = "a" * 64
        node.change({"type": "withdraw_key", "digest": digest})
        anyio.run(node.emergency.write_pending)
        assert node.send("GET", "/v1/status").json()["emergency_withdrawals"] == 1
        table.down = False
        anyio.run(node.emergency.write_pending)
        assert node.send("GET", "/v1/status").json()["emergency_withdrawals"] == 0
        (item,) = node.send("GET", "/v1/audit").json()["items"]
        assert (item["operator"], item["op_id"]) == ("admin", "op")

    @pytest.mark.parametrize("writes", [True, False])
    def test_only_the_domain_writer_logs_withdrawals_of_a_lost_node(
        self, node: AdminNode, table: MemoryTable, writes: bool
    ):
        """Guards against a withdrawal lost with its node, and a write by every node."""
        node.is_domain_writer = writes
        node.config.withdraw(KeyDigest("a" * 64))
        anyio.run(node.emergency.write_pending)
        assert ("config/head" in table.rows) == writes

    def test_withdrawal_of_a_withdrawn_key_is_durable_without_the_store(
        self, node: AdminNode, table: MemoryTable
    ):
        """Guards against reporting a logged withdrawal as not durable."""
        change = {"type": "withdraw_key", "digest": "a" * 64}
        node.change(change)
        table.down = True
        again = node.change(change, op_id="2")
        assert (again.status_code, again.json()["durable"]) == (200, True)


class TestReading:
    def test_pages_list_every_contract_once(self, node: AdminNode):
        """Guards against a page that skips or repeats an entry."""
        for number in range(7):
            node.change(
                put_contract(f"a{number}"), op_id=str(number), expected_version=number
            )
        names, after = [], ""
        while after is not None:
            page = node.send("GET", f"/v1/contracts?limit=3&after={after}").json()
            names += [item["contract"]["account"] for item in page["items"]]
            after = page.get("next")
        assert names == [f"a{number}" for number in range(7)]

    def test_audit_lists_operators_and_changes(self, node: AdminNode):
        """Guards against a change without an operator or a gap in the record."""
        for number in range(3):
            node.change(
                put_contract(f"a{number}"), op_id=str(number), expected_version=number
            )
        first = node.send("GET", "/v1/audit?limit=2").json()
        rest = node.send("GET", f"/v1/audit?before={first['next']}").json()
        items = first["items"] + rest["items"]
        assert [item["version"] for item in items] == [3, 2, 1]
        assert {item["operator"] for item in items} == {"admin"}
        assert "a0" in items[2]["description"]

    def test_drain_requires_the_id_of_the_node(self, node: AdminNode):
        """Guards against draining another node by a wrong address."""
        wrong = node.send("POST", "/v1/drain", json={"node_id": "node-2"})
        assert (wrong.status_code, node.drain_count) == (409, 0)
        right = node.send("POST", "/v1/drain", json={"node_id": "node-1"})
        assert (right.status_code, node.drain_count) == (202, 1)
        ready = node.send("GET", "/readyz")
        assert ready.status_code == 503
        assert "draining" in ready.json()["reasons"][0]


class TestVersions:
    def test_lagging_and_silent_nodes_are_distinguished(self):
        """Guards against a wait that ends before a node has the version."""
        reported = ReportedVersions()
        members = [make_member(f"n{i}", f"domain-{'aab'[i]}") for i in range(3)]
        reported.record(NodeId("n0"), ConfigVersion(5), 10.0)
        reported.record(NodeId("n1"), ConfigVersion(4), 10.0)
        first, second = reported.summarize(members, ConfigVersion(5), 11.0)
        assert (first.nodes, first.heard, first.in_force) == (2, 2, 1)
        assert (first.lagging, first.complete) == (["n1"], False)
        assert (second.heard, second.complete) == (0, False)
        reported.record(NodeId("n1"), ConfigVersion(5), 12.0)
        first, _ = reported.summarize(members, ConfigVersion(5), 12.0)
        assert first.complete
        first, _ = reported.summarize(members, ConfigVersion(5), 90.0)
        assert first.heard == 0

    def test_dead_nodes_are_not_counted(self):
        """Guards against a wait that never ends because of a dead node."""
        reported = ReportedVersions()
        dead = msgspec.structs.replace(
            make_member("n1", "domain-a"), state=MemberState.DEAD
        )
        reported.record(NodeId("n0"), ConfigVersion(5), 10.0)
        reported.record(NodeId("n1"), ConfigVersion(4), 10.0)
        members = [make_member("n0", "domain-a"), dead]
        (only,) = reported.summarize(members, ConfigVersion(5), 10.0)
        assert (only.nodes, only.complete) == (1, True)


class CommitMachine(RuleBasedStateMachine):
    """Two nodes commit through one unreliable table, compared with a model.

    The model holds the version and the change of each accepted operation.
    """

    def __init__(self) -> None:
        super().__init__()
        self.table = MemoryTable()
        self.nodes = [self._make_committer(ConfigCopy()) for _ in range(2)]
        self.accepted: dict[OperationId, tuple[int, PutContract]] = {}
        self.requests: list[CommitRequest] = []

    def _make_committer(self, config: ConfigCopy) -> tuple[Committer, ConfigCopy]:
        async def ignore(change: Change) -> None:
            return None

        committer = Committer(
            config=config,
            log=ConfigLog(table=self.table),
            on_committed=lambda entry: config.apply([entry]),
            on_withdrawn=ignore,
        )
        return committer, config

    @rule(
        node=st.integers(0, 1),
        account=st.sampled_from("ab"),
        rate=st.integers(1, 3),
        by_tag=st.booleans(),
        lag=st.integers(0, 2),
    )
    def send(self, node: int, account: str, rate: int, by_tag: bool, lag: int) -> None:
        config = self.nodes[node][1]
        contract = Contract(account=AccountId(account), rate_per_s=rate, burst=5)
        seen = config.snapshot.contracts.get(AccountId(account))
        request = CommitRequest(
            op_id=OperationId(str(len(self.requests))),
            operator="o",
            change=PutContract(contract=contract),
            expected_version=None if by_tag else max(0, config.version - lag),
            tag=make_tag(seen) if by_tag else None,
        )
        self.requests.append(request)
        self._commit(node, request)

    @rule(node=st.integers(0, 1), back=st.integers(1, 6))
    def retry(self, node: int, back: int) -> None:
        if len(self.requests) >= back:
            self._commit(node, self.requests[-back])

    @rule(down=st.booleans(), lose=st.booleans())
    def set_faults(self, down: bool, lose: bool) -> None:
        self.table.down = down
        self.table.lose_responses = lose

    def _commit(self, node: int, request: CommitRequest) -> None:
        outcome = anyio.run(self.nodes[node][0].commit, request)
        known = self.accepted.get(request.op_id)
        if isinstance(outcome, Accepted):
            version = outcome.entry.version
            assert known is None or known[0] == version
            self.accepted[request.op_id] = (version, request.change)
        elif isinstance(outcome, PreconditionFailed):
            assert known is None
        else:
            assert isinstance(outcome, StoreDown)
            assert self.table.down or self.table.lose_responses

    @invariant()
    def log_holds_each_operation_once(self) -> None:
        rows = [r for key, r in self.table.rows.items() if "/log/" in key]
        entries = {row.key: msgspec.json.decode(row.value) for row in rows}
        ids = [entry["op_id"] for entry in entries.values()]
        assert len(ids) == len(set(ids))
        head = self.table.rows.get("config/head")
        versions = 0 if head is None else msgspec.json.decode(head.value)["version"]
        assert len(rows) == versions
        for op_id, (version, _) in self.accepted.items():
            assert entries[f"config/log/{version:012d}"]["op_id"] == op_id


TestCommits: Callable = CommitMachine.TestCase
