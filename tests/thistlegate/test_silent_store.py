"""Changes of the configuration while the store is silent to the nodes that read it."""

import anyio
import pytest

from thistlegate_standin import (
    Deployment,
    RouteConfig,
    find_violations,
    make_soak_plan,
    request_everywhere,
    run_deployment,
)

SEED = 1
CHANGES = 12
CHANGE_PERIOD_S = 0.35
# Time in which a node that reads the store for the others calls it several times.
OBSERVED_S = 3.0


async def find_readers(deployment: Deployment) -> set[str]:
    """Return the machines whose nodes watch the store for the others."""
    for access in deployment.store_access.values():
        access.paths.clear()
    await anyio.sleep(OBSERVED_S)
    return {
        name
        for name, access in deployment.store_access.items()
        if access.paths.count("/rows-feed") > 1
    }


async def add_route(deployment: Deployment, number: int) -> None:
    """Add a route and send a request on it to each node once it must be in force."""
    route = RouteConfig(name=f"added-{number}", service="catalogue", max_attempts=1)
    deployment.operator.publish(routes=(*deployment.operator.routes, route))
    await request_everywhere(deployment, route)


@pytest.mark.anyio
@pytest.mark.process
class TestSilentStore:
    async def test_change_is_in_force_after_all_readers_lost_the_store(self):
        """Guards against routes that are denied while others reach the store."""
        async with run_deployment(make_soak_plan(), seed=SEED) as deployment:
            readers = await find_readers(deployment)
            assert 0 < len(readers) < len(deployment.machines)
            for name in readers:
                deployment.store_access[name].silent = True
            async with anyio.create_task_group() as tasks:
                for number in range(CHANGES):
                    tasks.start_soon(add_route, deployment, number)
                    await anyio.sleep(CHANGE_PERIOD_S)
            attempts = deployment.records.attempts
            assert len(attempts) >= CHANGES * len(deployment.machines)
            assert find_violations(deployment.make_evidence()) == []
