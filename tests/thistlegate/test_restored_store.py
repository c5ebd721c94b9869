"""The store comes back from a copy that is some seconds old.

What was written there since is gone. The operator writes its configuration again, at
once or later; nobody but the nodes writes what the nodes had written.
"""

import anyio
import pytest

from thistlegate_standin import (
    AccountConfig,
    Deployment,
    Outcome,
    Plan,
    RouteConfig,
    TargetConfig,
    Workload,
    find_violations,
    request_everywhere,
    run_deployment,
)
from thistlegate_standin._tables import RowName

SEED = 1
KEY = "key-of-fit"
OTHER_KEY = "key-of-other"
LOOK = RouteConfig(name="look", service="catalogue")
# Time in which rows that lapsed are back after the store is, by the platform's pages.
ROWS_BACK_S = 2.0
# Bounds of a change and of a withdrawn key, with a margin for the request itself.
IN_FORCE_S = 2.2
WITHDRAWN_S = 5.2
RESTARTED_S = 20.0
# Longer than a watch, so that all readers have read up to the newest version.
READ_S = 1.0
POLL_S = 0.05
ATTEMPT_S = 2.0
MEMBER_TABLE = "endivebeam-members"
UNRELATED_ROW = RowName("servers", "", "another")


def make_plan() -> Plan:
    return Plan(
        services={"catalogue": 3, "bookings": 1},
        target_configs={
            name: TargetConfig(slots=8, work_s=0.01)
            for name in ("catalogue", "bookings")
        },
        routes=(LOOK,),
        accounts=(
            AccountConfig(name="fit", keys=(KEY,)),
            AccountConfig(name="other", keys=(OTHER_KEY,)),
        ),
    )


def find_rows(deployment: Deployment) -> set[str]:
    """Return the nodes that have a row in the store."""
    rows, _ = deployment.store.tables.scan(MEMBER_TABLE, "", "", None, 500)
    return {row.key for row in rows}


async def send_with_key(deployment: Deployment, name: str, key: str) -> Outcome:
    """Send a request to a node with a key and return its outcome."""
    machine = next(m for m in deployment.machines if m.name == name)
    workload = Workload(route=LOOK, account="other", key=key, rate_per_s=0.0)
    attempt, _ = await deployment.load.send_attempt(workload, machine, ATTEMPT_S)
    return attempt.outcome


@pytest.mark.anyio
@pytest.mark.process
class TestRestoredStore:
    async def test_rows_of_living_nodes_are_back(self):
        """Guards against nodes that a new one can't find although they serve."""
        async with run_deployment(make_plan(), seed=SEED) as deployment:
            empty = deployment.store.tables.copy()._replace(rows={})
            assert find_rows(deployment) == set(deployment.nodes)
            deployment.store.restore(empty)
            deployment.operator.write_again()
            await anyio.sleep(ROWS_BACK_S)
            assert find_rows(deployment) == set(deployment.nodes)

    async def test_change_is_in_force_in_time_after_it(self):
        """Guards against a change under a version that was given out before."""
        async with run_deployment(make_plan(), seed=SEED) as deployment:
            copy = deployment.store.tables.copy()
            for number in range(3):
                route = RouteConfig(name=f"before-{number}", service="catalogue")
                deployment.operator.publish(routes=(LOOK, route))
                await anyio.sleep(0.2)
            deployment.store.restore(copy)
            deployment.operator.write_again()
            route = RouteConfig(name="after", service="catalogue", max_attempts=1)
            deployment.operator.publish(routes=(LOOK, route))
            await anyio.sleep(IN_FORCE_S)
            await request_everywhere(deployment, route)
            assert find_violations(deployment.make_evidence()) == []

    async def test_key_withdrawn_as_it_returns_stops_working_in_time(self):
        """Guards against evidence that rests on a position of an earlier era.

        The withdrawal has the version up to which the nodes had read before.
        """
        async with run_deployment(make_plan(), seed=SEED) as deployment:
            tables = deployment.store.tables
            copy = tables.copy()
            tables.put(UNRELATED_ROW, "")
            await anyio.sleep(READ_S)
            read_version = tables.version
            deployment.store.restore(copy)
            deployment.operator.withdraw_key("other", OTHER_KEY)
            assert tables.version == read_version
            await anyio.sleep(WITHDRAWN_S)
            outcomes = [
                await send_with_key(deployment, name, OTHER_KEY)
                for name in sorted(deployment.nodes)
            ]
            assert Outcome.ANSWERED not in outcomes

    async def test_restarted_node_does_not_use_a_key_that_the_copy_still_has(self):
        """Guards against a withdrawn key of a configuration that came back."""
        async with run_deployment(make_plan(), seed=SEED) as deployment:
            copy = deployment.store.tables.copy()
            deployment.operator.withdraw_key("other", OTHER_KEY)
            await anyio.sleep(WITHDRAWN_S)
            deployment.store.restore(copy)
            node = deployment.nodes["bookings-0"]
            node.kill()
            outcomes: list[Outcome] = []

            async def send() -> None:
                starts = node.starts
                outcome = await send_with_key(deployment, "bookings-0", OTHER_KEY)
                if starts == 2:
                    outcomes.append(outcome)

            with anyio.fail_after(RESTARTED_S):
                async with anyio.create_task_group() as tasks:
                    while len(outcomes) < 40:
                        tasks.start_soon(send)
                        await anyio.sleep(POLL_S)
            assert Outcome.ANSWERED not in outcomes
