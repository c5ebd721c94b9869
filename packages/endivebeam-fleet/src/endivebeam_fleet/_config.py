"""The fleet configuration and the lookups that a call needs."""

from enum import Enum
from hashlib import sha256

import msgspec

from endivebeam_model import (
    AccountId,
    ConfigVersion,
    KeyDigest,
    Semantics,
    ServiceName,
)


class Destination(msgspec.Struct, frozen=True, array_like=True):
    """A service that receives a fraction of a route's requests."""

    service: ServiceName
    weight: float = 1.0


class RouteRule(msgspec.Struct, frozen=True, kw_only=True):
    """Rules for all requests whose host and path prefix match.

    ``timeout_s`` limits the total time until the final response, ``objective_s``
    is the latency objective. ``max_attempts`` limits how many targets a request is
    sent to. ``rank`` 0 is the most urgent. ``open_to_all`` routes require no key.
    """

    name: str
    host: str
    prefix: str
    destinations: tuple[Destination, ...]
    semantics: Semantics
    timeout_s: float
    objective_s: float
    max_attempts: int = 1
    rank: int = 0
    open_to_all: bool = False


class AccountTerms(msgspec.Struct, frozen=True, kw_only=True):
    """A client account with the digests of its keys, its rank, rate and burst.

    ``rank`` overrides the rank of the route if it is set. A rate of 0 means that
    the account is not limited.
    """

    account: AccountId
    key_digests: tuple[KeyDigest, ...]
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size and duration of caller requests; times in seconds."""

    max_header_bytes: int = 32 << 10
    max_body_bytes: int = 1 << 20
    header_timeout_s: float = 20.0
    idle_timeout_s: float = 120.0


class AccountUse(Enum):
    """Whether requests on routes that aren't open to all need a client account.

    ``REQUIRED`` holds for an empty set of accounts too: no request is admitted then.
    """

    REQUIRED = "required"
    NOT_REQUIRED = "not_required"


class FleetConfig(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration, as operators defined it.

    There are no ``accounts`` if they are not required.
    """

    version: ConfigVersion
    routes: tuple[RouteRule, ...] = ()
    account_use: AccountUse = AccountUse.REQUIRED
    accounts: tuple[AccountTerms, ...] = ()
    limits: RequestLimits = RequestLimits()


def digest_key(key: str) -> KeyDigest:
    """Return the digest by which a client key is stored."""
    return KeyDigest(sha256(key.encode()).hexdigest())


class ConfigIndex:
    """Lookup tables of one configuration.

    >>> rule = RouteRule(name="r", host="shop.example", prefix="/a/",
    ...     destinations=(Destination(ServiceName("stock")),),
    ...     semantics=Semantics.IDEMPOTENT, timeout_s=1.0, objective_s=1.0)
    >>> index = ConfigIndex(FleetConfig(version=ConfigVersion(1), routes=(rule,)))
    >>> index.find_route("Shop.example:80", "/a/b?c=1").name
    'r'
    """

    def __init__(self, config: FleetConfig) -> None:
        self.config = config
        self._routes = {(r.host.lower(), r.prefix): r for r in config.routes}
        self._accounts = {
            digest: terms for terms in config.accounts for digest in terms.key_digests
        }
        ranks = sorted({route.rank for route in config.routes})
        # If all routes have the same rank, all have shed order 1.
        steps = max(1, len(ranks) - 1)
        self._shed_orders = {
            rank: 1.0 - (len(ranks) - 1 - position) / steps
            for position, rank in enumerate(ranks)
        }
        self.accounts = {terms.account: terms for terms in config.accounts}

    def find_route(self, host: str, target: str) -> RouteRule | None:
        """Return the route of a host with the longest matching prefix."""
        host = host.lower().partition(":")[0]
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            rule = self._routes.get((host, path[: end + 1]))
            if rule is not None:
                return rule
            end = path.rfind("/", 0, end)
        return None

    def shed_order(self, route: RouteRule) -> float:
        """Return when requests of a route are shed, from 0 (last) to 1 (first)."""
        return self._shed_orders[route.rank]

    def find_account(self, key: str) -> AccountTerms | None:
        """Return the account that a key belongs to."""
        return self._accounts.get(digest_key(key))
