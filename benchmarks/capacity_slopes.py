"""Measure the slopes from which docs/CAPACITY.md is computed.

    python -m benchmarks.capacity_slopes --seed 1

writes benchmarks/results/capacity.json. The slopes of membership come from
``benchmarks.membership``. The figures of the daemon are measured in a small idle
fleet of separate processes, in which every node links to every other node.
"""

import random
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from endivebeam_model import (
    AccountId,
    Address,
    ConfigVersion,
    Contract,
    DomainName,
    GrantStatus,
    Key,
    KeyDigest,
    LogEntry,
    Member,
    MemberState,
    NodeId,
    OperationId,
    PutContract,
    RegionName,
    ServiceName,
    Snapshot,
    apply_entry,
    authenticate,
    digest_key,
)
from endivebeam_standins import Fleet, run_fleet
from endivebeam_wire import (
    GrantReply,
    GrantRequest,
    Heartbeat,
    HeartbeatEcho,
    Rumor,
    encode_frame,
)

from .processes import read_cpu_s, read_memory_mb

RESULTS = Path(__file__).parent / "results" / "capacity.json"
KEYS_PER_ACCOUNT = 2
SMALL_ACCOUNTS = 500
LARGE_ACCOUNTS = 5000
CALLS_PER_RUN = 200
IDLE_S = 20.0


class Slopes(msgspec.Struct, frozen=True, kw_only=True):
    """Measured slopes, with their units in the names."""

    member_rumor_bytes: float
    entry_rumor_bytes: float
    heartbeat_bytes: float
    echo_base_bytes: float
    echo_bytes_per_domain: float
    ask_bytes: float
    grant_bytes: float
    config_bytes_per_account: float
    apply_us_base: float
    apply_us_per_account: float
    authenticate_us: float
    daemon_idle_core_least: float
    daemon_idle_core_most: float
    daemon_memory_mb: float


def make_member(index: int) -> Member:
    """Return a member record with names of typical length."""
    return Member(
        node_id=NodeId(f"service-{index % 1900}-{index:05d}"),
        incarnation=3,
        sequence=7,
        address=Address("10.200.111.222", 7443),
        region=RegionName("scot-central"),
        domain=DomainName("scot-central-b"),
        service=ServiceName(f"service-{index % 1900}"),
        slots=50,
        state=MemberState.SERVING,
    )


def make_entry(version: int, account: str) -> LogEntry:
    """Return an entry of the change log that changes one contract."""
    contract = Contract(account=AccountId(account), rate_per_s=120.0, burst=240.0)
    return LogEntry(
        version=ConfigVersion(version),
        op_id=OperationId("0123456789abcdef"),
        operator="operator-1",
        at="2026-01-01T00:00:00+00:00",
        change=PutContract(contract=contract),
    )


def make_snapshot(accounts: int) -> Snapshot:
    """Return a configuration with a number of accounts and their keys."""
    contracts = {}
    keys = {}
    for index in range(accounts):
        account = AccountId(f"account-{index:06d}")
        contracts[account] = Contract(account=account, rate_per_s=120.0, burst=240.0)
        for number in range(KEYS_PER_ACCOUNT):
            digest = digest_key(f"{account}/{number}")
            keys[digest] = Key(digest=KeyDigest(digest), account=account)
    return Snapshot(contracts=contracts, keys=keys)


def measure_us(run: Callable[[], object]) -> float:
    """Return the mean CPU time of a call in microseconds, the least of five runs."""
    means = []
    for _ in range(5):
        started = time.process_time()
        for _ in range(CALLS_PER_RUN):
            run()
        means.append((time.process_time() - started) / CALLS_PER_RUN * 1e6)
    return min(means)


def measure_snapshot_bytes(accounts: int) -> int:
    """Return the memory of a decoded snapshot in bytes."""
    data = msgspec.msgpack.encode(make_snapshot(accounts))
    tracemalloc.start()
    decoded = msgspec.msgpack.decode(data, type=Snapshot)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(decoded.contracts) == accounts
    return size


def measure_apply_us(accounts: int) -> float:
    """Return the CPU time of applying one change to a snapshot, in microseconds."""
    snapshot = make_snapshot(accounts)
    entry = make_entry(1, "account-000001")
    return measure_us(lambda: apply_entry(snapshot, entry))


def measure_echo_bytes(domains: int) -> int:
    """Return the size in bytes of an echo with contact ages of some domains."""
    ages = {DomainName(f"region-{i // 2}-domain-{i}"): 700 for i in range(domains)}
    echo = HeartbeatEcho(
        request_id=100_000,
        config_version=ConfigVersion(100_000),
        member_digest=2**63,
        store_age_ms=700,
        domain_ages_ms=ages,
    )
    return len(encode_frame(echo))


def start_idle_fleet(fleet: Fleet) -> None:
    """Start seven nodes, so that each has six links as in a large fleet."""
    for index in range(7):
        domain = f"domain-{'abc'[index % 3]}"
        fleet.start_node(service="catalogue", domain=domain)
    for node in fleet.nodes:
        fleet.wait_for_members("catalogue", 7, node)


class IdleCost(msgspec.Struct, frozen=True, kw_only=True):
    """CPU use, as a fraction of a core, and memory of idle daemons.

    In a small fleet every node has several roles that only a few nodes of a large
    fleet have: it holds shares, polls the head of the change log and writes seed rows.
    """

    least_core: float
    most_core: float
    memory_mb: float


def measure_idle() -> IdleCost:
    """Measure the idle daemons of a small fleet."""
    with (
        tempfile.TemporaryDirectory() as directory,
        run_fleet(Path(directory), log_level="WARNING") as fleet,
    ):
        start_idle_fleet(fleet)
        before = [read_cpu_s(node) for node in fleet.nodes]
        time.sleep(IDLE_S)
        cores = [
            (read_cpu_s(node) - cpu_s) / IDLE_S
            for node, cpu_s in zip(fleet.nodes, before, strict=True)
        ]
        return IdleCost(
            least_core=min(cores),
            most_core=max(cores),
            memory_mb=max(read_memory_mb(node) for node in fleet.nodes),
        )


def measure() -> Slopes:
    """Measure all slopes."""
    member = make_member(1)
    member_rumor = Rumor(request_id=100_000, members=(member,))
    entry_rumor = Rumor(
        request_id=100_000, entries=(make_entry(100_000, "account-000001"),)
    )
    request = GrantRequest(
        request_id=100_000, account=AccountId("account-000001"), slot=3
    )
    reply = GrantReply(
        request_id=100_000,
        status=GrantStatus.GRANTED,
        grant_id=100_000,
        tokens=10,
        level=50,
    )
    heartbeat = Heartbeat(
        request_id=100_000,
        config_version=ConfigVersion(100_000),
        member_digest=2**63,
    )
    echo_small = measure_echo_bytes(2)
    echo_large = measure_echo_bytes(14)
    per_domain = (echo_large - echo_small) / 12
    small_us = measure_apply_us(SMALL_ACCOUNTS)
    large_us = measure_apply_us(LARGE_ACCOUNTS)
    per_account_us = (large_us - small_us) / (LARGE_ACCOUNTS - SMALL_ACCOUNTS)
    bytes_per_account = (
        measure_snapshot_bytes(LARGE_ACCOUNTS) - measure_snapshot_bytes(SMALL_ACCOUNTS)
    ) / (LARGE_ACCOUNTS - SMALL_ACCOUNTS)
    snapshot = make_snapshot(LARGE_ACCOUNTS)
    idle = measure_idle()
    return Slopes(
        member_rumor_bytes=len(encode_frame(member_rumor)),
        entry_rumor_bytes=len(encode_frame(entry_rumor)),
        heartbeat_bytes=len(encode_frame(heartbeat)),
        echo_base_bytes=echo_small - 2 * per_domain,
        echo_bytes_per_domain=per_domain,
        ask_bytes=len(encode_frame(request)),
        grant_bytes=len(encode_frame(reply)),
        config_bytes_per_account=bytes_per_account,
        apply_us_base=small_us - SMALL_ACCOUNTS * per_account_us,
        apply_us_per_account=per_account_us,
        authenticate_us=measure_us(lambda: authenticate(snapshot, "account-000001/0")),
        daemon_idle_core_least=idle.least_core,
        daemon_idle_core_most=idle.most_core,
        daemon_memory_mb=idle.memory_mb,
    )


def main(seed: Annotated[int, typer.Option()] = 1) -> None:
    """Measure, print and store the slopes."""
    random.seed(seed)
    slopes = measure()
    for name, value in msgspec.structs.asdict(slopes).items():
        print(f"{name:28} {value:12.4f}")
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(slopes), indent=1))


if __name__ == "__main__":
    typer.run(main)
