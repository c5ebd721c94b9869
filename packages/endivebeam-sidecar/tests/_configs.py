"""Configurations for tests: an account, its key and a few routes."""

from typing import Any

from endivebeam_fleet import (
    AccountTerms,
    Destination,
    FleetConfig,
    RouteRule,
    digest_key,
)
from endivebeam_model import AccountId, ConfigVersion, Semantics, ServiceName

KEY = "key-of-fit"
ACCOUNT = AccountTerms(
    account=AccountId("fit"), key_digests=(digest_key(KEY),), rate_per_s=0.0
)


def make_route(
    name: str,
    *,
    service: str = "stock",
    semantics: Semantics = Semantics.IDEMPOTENT,
    timeout_s: float = 2.0,
    max_attempts: int = 2,
    open_to_all: bool = False,
) -> RouteRule:
    return RouteRule(
        name=name,
        host="shop.example",
        prefix=f"/{name}/",
        destinations=(Destination(ServiceName(service)),),
        semantics=semantics,
        timeout_s=timeout_s,
        objective_s=1.0,
        max_attempts=max_attempts,
        open_to_all=open_to_all,
    )


def make_config(
    version: int = 1,
    accounts: tuple[AccountTerms, ...] = (ACCOUNT,),
    **terms: Any,
) -> FleetConfig:
    return FleetConfig(
        version=ConfigVersion(version),
        routes=(
            make_route("look"),
            make_route("charge", semantics=Semantics.AT_MOST_ONCE),
            make_route("open", open_to_all=True),
            make_route("quick", timeout_s=1.0),
            make_route("vans", service="vans"),
        ),
        accounts=accounts,
        **terms,
    )
