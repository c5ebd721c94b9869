"""Object store operations of burn counters, relative to one write per node.

    python benchmarks/burn_writes.py --seed 1

The nodes of one failure domain count requests for some minutes of virtual time.
In one case the writer loses its collector twice a minute and a random node becomes
the writer; in another the store is down for 18 s of each minute. The reference is
one write per node and minute. The worst repetition is the one with most writes.
"""

import argparse
import asyncio
import random
from collections import Counter

import msgspec
from loguru import logger
from returns.result import Failure, Result, Success

from endivebeam_model import AccountId, Address, DomainName, MinuteCounts
from endivebeam_node._burn import BurnCollector, CountBatch, MinuteCounter
from endivebeam_node._burn_sync import BurnReporter
from endivebeam_node._metrics import RequestStats
from endivebeam_store import Unavailable

DOMAIN = DomainName("domain-a")
NODES = 60
MINUTES = 15
SETTLE_MINUTES = 5
REPETITIONS = 3
REQUESTS = 5

# Seconds of each minute: one while batches are collected, one between the write and
# its confirmation.
LOSS_SECONDS = (8, 16)
OUTAGE_SECONDS = range(6, 24)


class Domain:
    """The nodes of one failure domain and an object store in memory."""

    def __init__(self, rng: random.Random) -> None:
        self.objects: dict[str, bytes] = {}
        self.reads = 0
        self.writes = 0
        self.down = False
        self.writer = 0
        self.now = 0.0
        self.counters = [MinuteCounter(node_id=f"n{n}") for n in range(NODES)]
        self.reporters = [self._make_reporter(n, rng) for n in range(NODES)]

    def _make_reporter(self, port: int, rng: random.Random) -> BurnReporter:
        return BurnReporter(
            counter=self.counters[port],
            domain=DOMAIN,
            find_writer=lambda: None if port == self.writer else self._writer_address(),
            send=self._send,
            read=self._read,
            write=self._write,
            rng=rng,
        )

    def _writer_address(self) -> Address:
        return Address("127.0.0.1", self.writer)

    async def _send(self, address: Address, batch: CountBatch) -> bool:
        return self.reporters[address.port].collector.receive(batch, self.now)

    async def _read(self, name: str) -> Result[bytes | None, Unavailable]:
        self.reads += 1
        if self.down:
            return Failure(Unavailable(message="down"))
        return Success(self.objects.get(name))

    async def _write(self, name: str, content: bytes) -> Result[None, Unavailable]:
        self.writes += 1
        if self.down:
            return Failure(Unavailable(message="down"))
        self.objects[name] = content
        return Success(None)

    def count_stored(self) -> int:
        """Return the number of requests that the stored objects count."""
        stored = [
            msgspec.json.decode(c, type=MinuteCounts) for c in self.objects.values()
        ]
        return sum(e.counts.complete for m in stored for e in m.counts)


async def run(rng: random.Random, *, lose_writer: bool, outage: bool) -> Counter[str]:
    """Return writes, reads and requests of one repetition."""
    domain = Domain(rng)
    stats = RequestStats(account=AccountId("a"), status=200)
    for minute in range(MINUTES + SETTLE_MINUTES):
        for second in range(60):
            if lose_writer and minute < MINUTES and second in LOSS_SECONDS:
                # The collected batches are lost; their senders still have them.
                former_writer = domain.reporters[domain.writer]
                former_writer.collector = BurnCollector(domain=DOMAIN)
                domain.writer = rng.randrange(NODES)
            domain.down = outage and minute < MINUTES and second in OUTAGE_SECONDS
            domain.now += 1.0
            for number, reporter in enumerate(domain.reporters):
                await reporter.step(domain.now, minute)
                if second == 1 and minute < MINUTES:
                    for _ in range(REQUESTS):
                        domain.counters[number].record(stats)
    return Counter(
        writes=domain.writes, reads=domain.reads, stored=domain.count_stored()
    )


def main() -> None:
    """Print the table of operations for each case."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    rng = random.Random(parser.parse_args().seed)
    reference = NODES * (MINUTES + SETTLE_MINUTES)
    counted = NODES * MINUTES * REQUESTS
    logger.remove()
    print(f"{'case':24}{'writes/ref':>12}{'worst':>8}{'reads/ref':>11}{'stored':>8}")
    cases = (("steady", False, False), ("writer lost twice/min", True, False),
             ("store down 30%", False, True))  # fmt: skip
    for name, lose_writer, outage in cases:
        results = [
            asyncio.run(run(rng, lose_writer=lose_writer, outage=outage))
            for _ in range(REPETITIONS)
        ]
        writes = sorted(f["writes"] / reference for f in results)
        reads = sorted(f["reads"] / reference for f in results)
        stored = min(f["stored"] / counted for f in results)
        print(
            f"{name:24}{writes[len(writes) // 2]:12.4f}{writes[-1]:8.4f}"
            f"{reads[len(reads) // 2]:11.4f}{stored:8.3f}"
        )


if __name__ == "__main__":
    main()
