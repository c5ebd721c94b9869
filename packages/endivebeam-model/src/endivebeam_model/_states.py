"""Enumerations of states, reasons and route properties."""

from enum import Enum


class Semantics(Enum):
    """Whether a route may run more than once for one request."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


class Criticality(Enum):
    """Order of shedding: sheddable calls go first, critical calls last."""

    CRITICAL = "critical"
    NORMAL = "normal"
    SHEDDABLE = "sheddable"


class RunStatus(Enum):
    """Whether a refused request is known not to have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(Enum):
    """Machine-readable reason of a refusal."""

    BAD_REQUEST = "bad_request"
    CONTEXT_MISSING = "context_missing"
    CHAIN_TOO_DEEP = "chain_too_deep"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    SERVICE_NOT_ALLOWED = "service_not_allowed"
    NO_ROUTE = "no_route"
    REQUEST_TIMEOUT = "request_timeout"
    CALL_IN_PROGRESS = "call_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    KEY_REUSED = "key_reused"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    RATE_EXCEEDED = "rate_exceeded"
    TARGET_FAILED = "target_failed"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    STORE_UNAVAILABLE = "store_unavailable"
    ISOLATED = "isolated"
    DRAINING = "draining"
    DEADLINE_EXCEEDED = "deadline_exceeded"


class MemberState(Enum):
    """Life cycle of a node in the member table."""

    JOINING = "joining"
    SERVING = "serving"
    DRAINING = "draining"
    LEFT = "left"
    DEAD = "dead"


class GrantStatus(Enum):
    """Result of a request for tokens, sent by the holder of a share.

    The values are integers because every reply sends one over the network.
    """

    GRANTED = 0
    DECLINED = 1
    STOPPED = 2
    NOT_HOLDER = 3
