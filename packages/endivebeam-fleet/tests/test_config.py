"""Tests of configuration lookups, its encoding and weighted route selection."""

import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from endivebeam_fleet import (
    AccountTerms,
    AccountUse,
    ConfigIndex,
    Destination,
    FleetConfig,
    RequestLimits,
    RouteRule,
    UnreadableConfigError,
    WeightedSelector,
    decode_config,
    digest_key,
    encode_config,
)
from endivebeam_model import AccountId, ConfigVersion, Semantics, ServiceName

SEGMENTS = st.sampled_from(["a", "b", "ab", "c1"])
PREFIXES = st.lists(SEGMENTS, max_size=3).map(
    lambda s: "/" + "".join(f"{p}/" for p in s)
)
PATHS = st.tuples(PREFIXES, st.sampled_from(["", "x", "x?y=/a/b/", "a"])).map("".join)


def make_route(prefix: str, host: str = "shop.example") -> RouteRule:
    return RouteRule(
        name=f"{host}{prefix}",
        host=host,
        prefix=prefix,
        destinations=(Destination(ServiceName("stock")),),
        semantics=Semantics.IDEMPOTENT,
        timeout_s=1.0,
        objective_s=1.0,
    )


def make_index(*routes: RouteRule) -> ConfigIndex:
    return ConfigIndex(FleetConfig(version=ConfigVersion(1), routes=routes))


class TestRouteLookup:
    @given(st.sets(PREFIXES, max_size=6), PATHS)
    def test_finds_the_same_route_as_a_scan_for_the_longest_prefix(
        self, prefixes: set[str], path: str
    ):
        routes = [make_route(prefix) for prefix in prefixes]
        path_only = path.partition("?")[0]
        matching = [r for r in routes if path_only.startswith(r.prefix)]
        expected = max(matching, key=lambda r: len(r.prefix), default=None)
        assert make_index(*routes).find_route("shop.example", path) == expected

    def test_ignores_case_and_port_of_the_host(self):
        index = make_index(make_route("/a/"))
        assert index.find_route("SHOP.example:8080", "/a/b") is not None

    def test_separates_hosts(self):
        index = make_index(make_route("/a/", host="one.example"))
        assert index.find_route("two.example", "/a/b") is None


class TestAccounts:
    def test_finds_an_account_by_any_of_its_keys_and_by_no_other(self):
        terms = AccountTerms(
            account=AccountId("fit"), key_digests=(digest_key("k1"), digest_key("k2"))
        )
        index = ConfigIndex(FleetConfig(version=ConfigVersion(1), accounts=(terms,)))
        assert index.find_account("k1") is terms
        assert index.find_account("k2") is terms
        assert index.find_account("k3") is None


class EarlierConfig(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration as nodes of an earlier version send and receive it."""

    version: int
    routes: tuple[RouteRule, ...] = ()
    accounts: tuple[AccountTerms, ...] = ()
    limits: RequestLimits = RequestLimits()


FIT = AccountTerms(account=AccountId("fit"), key_digests=(digest_key("k1"),))
NOT_REQUIRED = FleetConfig(
    version=ConfigVersion(7), account_use=AccountUse.NOT_REQUIRED
)
EMPTY_SET = FleetConfig(version=ConfigVersion(7))
ONE_ACCOUNT = FleetConfig(version=ConfigVersion(7), accounts=(FIT,))


class TestTransfer:
    @pytest.mark.parametrize("config", [NOT_REQUIRED, EMPTY_SET, ONE_ACCOUNT])
    def test_decodes_what_another_node_encoded(self, config: FleetConfig):
        with_route = msgspec.structs.replace(config, routes=(make_route("/a/"),))
        assert decode_config(encode_config(with_route)) == with_route

    @pytest.mark.parametrize(
        ("config", "is_open"),
        [(NOT_REQUIRED, True), (EMPTY_SET, False), (ONE_ACCOUNT, False)],
    )
    def test_earlier_node_opens_routes_only_if_no_account_is_required(
        self, config: FleetConfig, is_open: bool
    ):
        """Guards against nodes that open all routes for an empty set of accounts."""
        plain = zlib.decompress(encode_config(config))
        received = msgspec.msgpack.decode(plain, type=EarlierConfig)
        assert (not received.accounts) is is_open

    def test_earlier_node_must_list_accounts_to_be_understood(self):
        """Guards against an empty set that an earlier node passes on as no set."""

        def encode(config: EarlierConfig) -> bytes:
            return zlib.compress(msgspec.msgpack.encode(config))

        received = decode_config(encode(EarlierConfig(version=7, accounts=(FIT,))))
        assert received == ONE_ACCOUNT
        with pytest.raises(UnreadableConfigError):
            decode_config(encode(EarlierConfig(version=7)))


class TestWeightedSelector:
    @given(
        st.lists(st.integers(1, 20), min_size=1, max_size=4),
        st.floats(0, 1),
        st.integers(100, 400),
    )
    def test_counts_stay_within_a_few_requests_of_the_weights(
        self, weights: list[int], start: float, count: int
    ):
        destinations = [
            Destination(ServiceName(f"s{i}"), float(w)) for i, w in enumerate(weights)
        ]
        selector = WeightedSelector(start=start)
        chosen = [selector.next_service(destinations) for _ in range(count)]
        for destination in destinations:
            expected = count * destination.weight / sum(weights)
            assert abs(chosen.count(destination.service) - expected) <= 5

    def test_first_requests_of_many_nodes_follow_the_weights_too(self):
        # Guards against nodes that all send their first request to the same service,
        # as they would with equal start positions.
        destinations = [
            Destination(ServiceName("new"), 1.0),
            Destination(ServiceName("old"), 9.0),
        ]
        first = [
            WeightedSelector(start=i / 100).next_service(destinations)
            for i in range(100)
        ]
        assert 8 <= first.count(ServiceName("new")) <= 12
