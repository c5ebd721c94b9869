"""A key that is withdrawn as the store returns from a drill works on.

The store is away for a second (its calls are cut) and comes back from a copy that is
three seconds old. What the nodes wrote since is gone, and versions are given out again.
An operator who could not withdraw a key meanwhile does so as the store returns.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_3.backend import Backend  # noqa: E402
from standins_3.deployment import (  # noqa: E402
    BOUNDS,
    Deployment,
    make_config,
    make_route,
    run_case,
)

KEY, OTHER_KEY = "key-of-fit", "key-of-other"
PATH = "/stock/x"
REQUESTS_PER_S = 10.0
CALM_S = 4.0
# From the copy to the loss of the store, and how long the store is away.
SINCE_COPY_S = 2.0
AWAY_S = 1.0
OPERATOR_RETRY_S = 0.02
# From the ack of the withdrawal to the end.
AFTER_ACK_S = 15.0


def make_document(version: int, keys: list[str]) -> dict[str, object]:
    """Return a config with the keys of the tenant ``fit``."""
    routes = [
        make_route("stock", "catalogue"),
        make_route("history", "accounts"),
    ]
    tenants = [
        {"name": "fit", "apiKeys": keys, "priority": 1},
        {"name": "other", "apiKeys": [OTHER_KEY], "priority": 1},
    ]
    return make_config(version, routes, tenants)


async def run(deployment: Deployment, disturb: bool) -> str | None:
    """Withdraw a key; look for runs of requests sent with it too late."""
    log, store = deployment.log, deployment.store
    await deployment.start_store(make_document(1, [KEY]))
    for name, service in (
        ("side-1", "catalogue"),
        ("side-2", "accounts"),
        ("side-3", "accounts"),
    ):
        deployment.add_node(name, service)
    options = {"slots": 27, "work_s": 0.05}
    catalogue = deployment.make_backend("side-1", "i-1", **options)
    await catalogue.start()
    await deployment.make_backend("side-2", "i-2", **options).start()
    await deployment.wait_until_ready()
    await asyncio.sleep(CALM_S)
    clients = [deployment.make_client(name) for name in deployment.machines]
    for key in (KEY, OTHER_KEY):
        for client in clients:
            task = client.send_steadily(PATH, per_s=REQUESTS_PER_S, key=key)
            deployment.tasks.append(asyncio.create_task(task))

    copy = store.copy()
    log("store-copy", ver=store.ver)
    # A backend is added; the node beside it writes that to the store.
    await deployment.make_backend("side-3", "i-3", **options).start()
    await asyncio.sleep(SINCE_COPY_S)
    log("store", ver=store.ver)
    if disturb:
        store.go_away()
        log("store-away")
        asyncio.get_running_loop().call_later(AWAY_S, store.come_back, copy)
    else:
        await asyncio.sleep(AWAY_S)
    acked_at = await withdraw(deployment)
    await asyncio.sleep(AFTER_ACK_S)
    return find_late_runs(clients, catalogue, acked_at)


async def withdraw(deployment: Deployment) -> float:
    """Withdraw the key, as soon as the store takes it; return the time of the ack."""
    while True:
        try:
            acked_at = deployment.store.write_config(make_document(2, []))
        except ConnectionError:
            await asyncio.sleep(OPERATOR_RETRY_S)
            continue
        deployment.log("withdrawn", key=KEY, ver=deployment.store.ver)
        return acked_at


def find_late_runs(clients: list, backend: Backend, acked_at: float) -> str | None:
    """Return what ran although its key was withdrawn before it was sent."""
    sent = {}
    for client in clients:
        sent |= {i: at for i, at in client.sent.items() if client.keys[i] == KEY}
    limit = acked_at + BOUNDS["revokeS"]
    late = [sent[i] - acked_at for _, i in backend.runs if sent.get(i, 0.0) > limit]
    if not late:
        return None
    return (
        f"{len(late)} requests ran whose key was withdrawn more than "
        f"{BOUNDS['revokeS']} s before they were sent, the last one {max(late):.1f} s"
    )


if __name__ == "__main__":
    run_case(FOLDER, run)
