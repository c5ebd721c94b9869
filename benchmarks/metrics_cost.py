"""Cost of recording a request in the metrics, relative to authenticating its key.

    python benchmarks/metrics_cost.py --seed 1

Each repetition measures both, one after the other, in the same process. The table has
the ratio and the cost of the median and of the worst repetition.
"""

import argparse
import random
import statistics
import time
from collections.abc import Callable

from endivebeam_model import (
    AccountId,
    Contract,
    Key,
    Refusal,
    RefusalReason,
    ServiceName,
    Snapshot,
    authenticate,
    digest_key,
)
from endivebeam_node._metrics import Metrics, RequestStats

REPETITIONS = 15
CALLS = 20_000
ACCOUNTS = 8


def make_requests(rng: random.Random) -> list[RequestStats]:
    """Return the statistics of complete and rejected requests of several accounts."""
    refusal = Refusal(reason=RefusalReason.RATE_EXCEEDED, message="")
    return [
        RequestStats(
            account=AccountId(f"account-{rng.randrange(ACCOUNTS)}"),
            service=ServiceName(f"service-{rng.randrange(4)}"),
            status=200,
            refusal=refusal if rng.random() < 0.1 else None,
            latency_s=rng.expovariate(100),
        )
        for _ in range(CALLS)
    ]


def time_per_call(run: Callable[[int], object]) -> float:
    """Return the mean time of a call in seconds."""
    started = time.perf_counter()
    for number in range(CALLS):
        run(number)
    return (time.perf_counter() - started) / CALLS


def main() -> None:
    """Print the ratio and the cost in microseconds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    rng = random.Random(parser.parse_args().seed)
    requests = make_requests(rng)
    account = AccountId("account-0")
    key = Key(digest=digest_key("eb_key"), account=account)
    contract = Contract(account=account, rate_per_s=1, burst=1)
    snapshot = Snapshot(contracts={account: contract}, keys={key.digest: key})
    metrics = Metrics()
    ratios, costs = [], []
    for _ in range(REPETITIONS):
        reference = time_per_call(lambda n: authenticate(snapshot, "eb_key"))
        cost = time_per_call(lambda n: metrics.record(requests[n]))
        ratios.append(cost / reference)
        costs.append(cost)
    print(f"{'':22}{'median':>8}{'worst':>8}")
    micros = [cost * 1e6 for cost in costs]
    for name, values in (("record / authenticate", ratios), ("record, us", micros)):
        print(f"{name:22}{statistics.median(values):8.2f}{max(values):8.2f}")


if __name__ == "__main__":
    main()
