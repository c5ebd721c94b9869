"""Costs of rate tokens: microseconds per token and bytes per grant and lease.

    python -m benchmarks.rate_costs --repetitions 5

The figures are also given relative to a dictionary look-up, so that runs on different
machines can be compared.
"""

import asyncio
import itertools
import time
from collections.abc import Callable
from typing import Annotated

import msgspec
import typer
from loguru import logger
from returns.result import Result, Success

from endivebeam_limits import (
    Bucket,
    GrantCache,
    HeldShare,
    HolderKey,
    HolderLease,
    LeaseTimes,
    Reachability,
    ShareId,
    TokenReport,
)
from endivebeam_model import (
    AccountId,
    Contract,
    DomainName,
    GrantStatus,
    NodeId,
    OperationId,
)
from endivebeam_standins.virtual_loop import VirtualLoop
from endivebeam_standins.virtual_rates import VirtualFleet
from endivebeam_store import (
    Committed,
    ShareRecord,
    ShareWrite,
    Transaction,
    write_shares,
)
from endivebeam_wire import GrantReply, GrantReport, GrantRequest, encode_frame

ROUNDS = 50_000
CONTRACT = Contract(account=AccountId("northfit-rentals"), rate_per_s=1e6, burst=1e9)
US_PER_S = 1e6


def measure(step: Callable[[], object], rounds: int = ROUNDS) -> float:
    """Return the mean microseconds per call of a function."""
    started = time.perf_counter()
    for _ in range(rounds):
        step()
    return (time.perf_counter() - started) / rounds * US_PER_S


def measure_reference() -> float:
    """Return the microseconds of a dictionary look-up through a closure."""
    table = {n: n for n in range(1000)}
    return measure(lambda: table.get(500))


def measure_cached() -> float:
    """Return the microseconds of spending a cached token, including the requester."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)

    async def run() -> float:
        fleet = VirtualFleet(
            loop=loop,
            domains=("a",),
            nodes_per_domain=1,
            times=LeaseTimes(),
            seed=1,
        )
        fleet.put_contract(CONTRACT)
        await asyncio.sleep(2.0)
        requester = next(iter(fleet.nodes.values())).token_requester
        assert requester is not None
        # Enough demand that the cache holds thousands of tokens.
        for _ in range(ROUNDS):
            await requester.spend_token(CONTRACT)
        await asyncio.sleep(0.01)
        started = time.perf_counter()
        for _ in range(ROUNDS // 10):
            await requester.spend_token(CONTRACT)
        cost = (time.perf_counter() - started) / (ROUNDS // 10) * US_PER_S
        await asyncio.sleep(0.1)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        return cost

    cost = loop.run_until_complete(run())
    loop.run_until_complete(asyncio.sleep(0.01))
    loop.close()
    return cost


def measure_cache_only() -> float:
    """Return the microseconds of the cache alone.

    It counts the demand, spends a token and computes how many to request ahead.
    """
    cache = GrantCache(now=0.0)
    cache.burst_share = 1e9
    cache.add(HolderKey(0, 1), grant_id=1, tokens=1e9, requested_at=1e9)
    clock = itertools.count()

    def step() -> None:
        now = next(clock) * 1e-3
        cache.count_demand(now)
        cache.spend(now)
        cache.prefetch_tokens(now)

    return measure(step)


def measure_holder() -> float:
    """Return the microseconds of a holder's reply to a request with one report."""
    share = HeldShare(
        share=ShareId(0, 0),
        slots=3,
        epoch=1,
        version=1,
        lease=HolderLease(times=LeaseTimes(), sent_at=0.0),
        since=None,
    )
    reachability = Reachability(
        own_domain=DomainName("a"),
        domains=(DomainName("a"),),
        contact_ages={},
        store_age_s=1.0,
    )
    ids = itertools.count(1)
    clock = itertools.count()

    def step() -> None:
        number = next(clock)
        share.grant(
            CONTRACT,
            need=1.0,
            want=5.0,
            reports=[TokenReport(number, 5.0, 0.0)],
            grant_ids=ids,
            reachability=reachability,
            now=number * 1e-4,
        )

    return measure(step)


def measure_codec() -> float:
    """Return the microseconds of encoding and decoding one request and one reply."""
    encoder = msgspec.msgpack.Encoder()
    request, reply = make_request(), make_reply()
    request_decoder = msgspec.msgpack.Decoder(GrantRequest)
    reply_decoder = msgspec.msgpack.Decoder(GrantReply)

    def step() -> None:
        request_decoder.decode(encoder.encode(request))
        reply_decoder.decode(encoder.encode(reply))

    return measure(step)


def measure_bucket() -> float:
    """Return the microseconds of a grant and a settlement in the bucket alone."""
    bucket = Bucket(rate=1e6, burst=1e9, level=1e9, now=0.0)
    clock = itertools.count()

    def step() -> None:
        number = next(clock)
        now = number * 1e-4
        bucket.grant(number, need=1.0, want=5.0, now=now)
        bucket.settle(number, spent=5.0, returned=0.0, now=now)

    return measure(step)


def make_request() -> GrantRequest:
    """Return a request with one report, which is typical of steady demand."""
    return GrantRequest(
        request_id=100_000,
        account=CONTRACT.account,
        slot=3,
        need=1,
        want=5,
        token=1 << 31,
        reports=[GrantReport(100_000, 5, 0)],
    )


def make_reply() -> GrantReply:
    """Return a typical reply that grants tokens."""
    return GrantReply(
        request_id=100_000,
        status=GrantStatus.GRANTED,
        grant_id=100_000,
        tokens=5,
        level=12.34,
        token=1 << 31,
    )


def count_lease_bytes(shares: int) -> int:
    """Return the size of a transaction that renews a number of share leases."""
    sizes = []

    async def commit(transaction: Transaction) -> Result[Committed, object]:
        sizes.append(len(msgspec.json.encode(transaction)))
        return Success(Committed(op_id=transaction.op_id))

    record = ShareRecord(
        holder=NodeId("bookings-12345"), incarnation=1, token=1 << 61, epoch=100
    )
    writes = [
        ShareWrite(group=n, slot=3, expected=10_000, record=record)
        for n in range(shares)
    ]
    asyncio.run(write_shares(commit, writes, OperationId("0" * 24)))  # type: ignore[arg-type]
    return sizes[0]


def main(
    repetitions: Annotated[int, typer.Option(help="Runs per figure.")] = 5,
    seed: Annotated[int, typer.Option(help="Not used; costs are fixed.")] = 1,
) -> None:
    """Print the times and sizes."""
    logger.remove()
    rows: list[tuple[str, Callable[[], float]]] = [
        ("reference: dictionary look-up", measure_reference),
        ("token from the cache, whole call", measure_cached),
        ("token from the cache, pure part", measure_cache_only),
        ("holder's answer to one ask", measure_holder),
        ("bucket alone", measure_bucket),
        ("codec of one ask and one grant", measure_codec),
    ]
    print(f"{'':34} {'median us':>10} {'worst us':>10} {'x reference':>12}")
    reference = 0.0
    for name, run in rows:
        figures = sorted(run() for _ in range(repetitions))
        median = figures[len(figures) // 2]
        reference = reference or median
        worst = figures[-1]
        print(f"{name:34} {median:10.2f} {worst:10.2f} {median / reference:12.1f}")
    request, reply = len(encode_frame(make_request())), len(encode_frame(make_reply()))
    print(f"ask {request} B, grant {reply} B")
    one, many = count_lease_bytes(1), count_lease_bytes(101)
    slope = (many - one) / 100
    print(f"renewal {one - slope:.0f} B + {slope:.0f} B per share")


if __name__ == "__main__":
    typer.run(main)
