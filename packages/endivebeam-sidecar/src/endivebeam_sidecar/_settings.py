"""Settings of a sidecar node, validated when they are read."""

import msgspec

from endivebeam_model import Address, DomainName, NodeId, RegionName, ServiceName

from ._resources import Resources


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the HTTP header fields that callers, nodes and targets exchange.

    All names are in lower case.
    """

    call_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-deadline-ms"
    proof: bytes = b"x-target-proof"
    account: bytes = b"x-account"
    expected_instance: bytes = b"x-expected-instance"
    not_executed: bytes = b"x-not-executed"
    caller_service: bytes = b"x-caller-service"
    rate_limit: bytes = b"x-rate-limit"
    leaving: bytes = b"x-leaving"


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds that the operators of a deployment guarantee; times in seconds.

    A new configuration must be in force within ``propagation_s`` and a withdrawn key
    must stop working within ``key_withdrawal_s``. A planned stop
    takes at most ``stop_s``. All nodes together send at most ``retry_ratio`` of the
    requests to a service plus ``retry_slack`` as retries in a window of
    ``retry_window_s``. An account may exceed its allowance by the ratio
    ``rate_over`` and by ``rate_slack`` requests in a window of ``rate_window_s``.
    """

    propagation_s: float = 2.0
    key_withdrawal_s: float = 5.0
    stop_s: float = 6.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    rate_over: float = 0.0
    rate_slack: float = 0.0
    rate_window_s: float = 5.0


class SidecarSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that a node reads at its start.

    ``first_incarnation`` is 1 when the whole fleet starts for the first time and
    higher for a node that joins or restarts. Such a node ranks behind the others for
    roles that keep state.
    """

    node_id: NodeId
    domain: DomainName
    region: RegionName
    service: ServiceName
    target: Address
    callers: Address
    peers: Address
    announcements: Address
    readiness: Address
    metrics: Address
    first_incarnation: int = 1
    headers: HeaderNames = HeaderNames()
    bounds: Bounds = Bounds()
    resources: Resources = Resources()
    log_level: str = "INFO"
