"""Fixture with a configuration document as operators write it."""

import pytest


@pytest.fixture
def document() -> dict[str, object]:
    """Return a document with two routes and one account."""
    return {
        "version": "0000000c",
        "services": [{"name": "stock", "protocol": "h1"}],
        "limits": {"maxBodyBytes": 4096, "headerTimeoutS": 3, "idleTimeoutS": 15},
        "tenants": [
            {"name": "fit", "apiKeys": ["k1"], "priority": 1, "ratePerS": 7, "burst": 9}
        ],
        "virtualHosts": [
            {
                "host": "shop.example",
                "paths": [
                    {
                        "name": "r1",
                        "prefix": "/a/",
                        "kind": "non_idempotent",
                        "timeoutS": 1.5,
                        "targetLatencyS": 0.5,
                        "priority": 0,
                        "maxAttempts": 2,
                        "weightedServices": [
                            {"service": "stock", "weight": 90},
                            {"service": "vans", "weight": 10},
                        ],
                    },
                    {
                        "name": "r2",
                        "prefix": "/b/",
                        "kind": "idempotent",
                        "timeoutS": 1,
                        "targetLatencyS": 1,
                        "service": "stock",
                        "isPublic": True,
                    },
                ],
            }
        ],
    }
