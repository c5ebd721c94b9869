"""Wrongful refusals of small accounts whose requests arrive at many nodes.

    python -m benchmarks.small_accounts --seed 1 --repetitions 3

Virtual time, one account, its requests spread evenly over the nodes. Each node renews
its lease every ``RENEWAL_PERIOD_S`` and, when a request finds no token, after
``RENEWAL_GAP_S``. The reference is one counter for the whole fleet that admits a
request while the window has room for it. Prints the admitted part of what the reference
admits, and the renewals of a node, for demand as a multiple of the account's rate.
"""

import random
from collections import deque
from typing import Annotated

import typer

from endivebeam_fleet import (
    AccountTerms,
    AllowanceHolder,
    AllowanceRequester,
    Tolerance,
)
from endivebeam_model import AccountId, NodeId

STEP_S = 0.005
RENEWAL_PERIOD_S = 0.3
RENEWAL_GAP_S = 0.025
TOKEN_WAIT_S = 0.15
WARM_UP_S = 10.0
MEASURED_S = 20.0
WINDOW_S = 5.0
TOLERANCE = Tolerance(over=0.1, slack=20.0, window_s=WINDOW_S)
FLEET_SIZES = (15, 89, 195)
RATES_PER_S = (5.0, 25.0, 140.0)
DEMANDS = (0.7, 1.0, 1.5, 4.0)


class Node:
    """A node, and its requests that wait for a token since ``waiting`` times."""

    def __init__(self, *, requester: AllowanceRequester, next_renewal: float) -> None:
        self.requester = requester
        self.next_renewal = next_renewal
        self.renewed_at = -1.0
        self.waiting: list[float] = []
        self.renewals = 0


class Window:
    """The reference: a counter for the whole fleet over a sliding window."""

    def __init__(self, terms: AccountTerms) -> None:
        allowance = terms.rate_per_s * WINDOW_S + terms.burst
        self._limit = allowance * (1 + TOLERANCE.over / 2) + TOLERANCE.slack / 2
        self._spent: deque[float] = deque()

    def spend(self, now: float) -> bool:
        """Admit a request if the window has room for it."""
        while self._spent and self._spent[0] <= now - WINDOW_S:
            self._spent.popleft()
        if len(self._spent) >= self._limit:
            return False
        self._spent.append(now)
        return True


def simulate(
    *, nodes: int, rate: float, demand: float, rng: random.Random
) -> tuple[float, float]:
    """Return the admitted part of the reference's, and renewals a second and node."""
    terms = AccountTerms(
        account=AccountId("a"), key_digests=(), rate_per_s=rate, burst=rate
    )
    fleet = [
        Node(
            requester=AllowanceRequester(
                node_id=NodeId(f"n{number}"), window_s=WINDOW_S, started_at=0.0
            ),
            next_renewal=rng.uniform(0, RENEWAL_PERIOD_S),
        )
        for number in range(nodes)
    ]
    holder = AllowanceHolder(tolerance=TOLERANCE)
    reference = Window(terms)
    admitted = allowed = 0
    next_request = rng.expovariate(rate * demand)
    for step in range(int((WARM_UP_S + MEASURED_S) / STEP_S)):
        now = step * STEP_S
        measured = now >= WARM_UP_S
        while next_request <= now:
            next_request += rng.expovariate(rate * demand)
            allowed += reference.spend(now) and measured
            admitted += admit(rng.choice(fleet), terms, now) and measured
        for node in fleet:
            if now >= node.next_renewal:
                admitted += renew(node, holder, terms, nodes, now) * measured
    renewals = sum(node.renewals for node in fleet) / nodes
    return admitted / allowed, renewals / (WARM_UP_S + MEASURED_S)


def admit(node: Node, terms: AccountTerms, now: float) -> bool:
    """Spend a token, or let the request wait for the next renewal."""
    if node.requester.spend(terms, now):
        return True
    if node.requester.await_token(terms, now):
        node.waiting.append(now)
        earliest = node.renewed_at + RENEWAL_GAP_S
        node.next_renewal = min(node.next_renewal, max(now + STEP_S, earliest))
    return False


def renew(
    node: Node, holder: AllowanceHolder, terms: AccountTerms, size: int, now: float
) -> int:
    """Renew the lease; return how many waiting requests got a token."""
    node.requester.choose_holder(NodeId("holder"), now)
    renewal = node.requester.make_renewal(fleet_size=size, now=now)
    grant = holder.renew_lease(renewal, terms={terms.account: terms}, now=now)
    node.requester.add_tokens(grant, now)
    node.renewals += 1
    node.renewed_at = now
    node.next_renewal = now + RENEWAL_PERIOD_S
    waiting, node.waiting = node.waiting, []
    return sum(
        now - since <= TOKEN_WAIT_S and node.requester.spend_after_wait(terms, now)
        for since in waiting
    )


def main(
    seed: Annotated[int, typer.Option(help="seed of the arrivals")] = 1,
    repetitions: Annotated[int, typer.Option(help="runs of each cell")] = 3,
) -> None:
    """Print the worst of the repetitions for each fleet, rate and demand."""
    print("nodes  rate/s  demand  admitted/reference  renewals/s of a node")
    for nodes in FLEET_SIZES:
        for rate in RATES_PER_S:
            for demand in DEMANDS:
                rng = random.Random(f"{seed}/{nodes}/{rate}/{demand}")
                runs = [
                    simulate(nodes=nodes, rate=rate, demand=demand, rng=rng)
                    for _ in range(repetitions)
                ]
                part = min(run[0] for run in runs)
                renewals = max(run[1] for run in runs)
                print(
                    f"{nodes:5} {rate:7.0f} {demand:7.1f} {part:19.3f} {renewals:21.1f}"
                )


if __name__ == "__main__":
    typer.run(main)
