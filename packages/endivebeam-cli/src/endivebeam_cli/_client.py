"""Client of the administration API that tries several nodes in order."""

from collections.abc import Mapping, Sequence
from typing import TypeVar

import httpx
import msgspec

from endivebeam_model import (
    Change,
    ConfigVersion,
    Member,
    Snapshot,
    WithdrawKey,
    find_object,
    make_tag,
)

from ._exits import Exit, ToolError

CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 15.0

T = TypeVar("T")


class ChangeReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a change."""

    version: ConfigVersion
    durable: bool


class DomainVersions(msgspec.Struct, frozen=True, kw_only=True):
    """How far a version has come in one failure domain."""

    domain: str
    nodes: int
    heard: int
    in_force: int
    lagging: list[str] = []

    @property
    def complete(self) -> bool:
        """Whether every node that was heard has the version, and one was."""
        return self.heard > 0 and self.in_force == self.heard


class Versions(msgspec.Struct, frozen=True, kw_only=True):
    """How far a version has come."""

    version: ConfigVersion
    domains: list[DomainVersions]


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """What one node knows about itself and the fleet."""

    node_id: str
    config_version: ConfigVersion
    members: list[Member]
    domain: str
    draining: bool
    emergency_withdrawals: int
    versions: list[DomainVersions]


class Ready(msgspec.Struct, frozen=True, kw_only=True):
    """Readiness of a node."""

    ready: bool
    reasons: list[str]


class ErrorReply(msgspec.Struct, frozen=True, kw_only=True):
    """Error answer of the API."""

    reason: str
    message: str
    version: int | None = None
    current: object = None


_CODES = {
    401: Exit.UNAUTHORIZED,
    403: Exit.UNAUTHORIZED,
    412: Exit.CONFLICT,
    503: Exit.STORE_DOWN,
}


class FleetClient:
    """Sends requests to the first node of a list that answers."""

    def __init__(
        self,
        *,
        urls: Sequence[str],
        token: str,
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        self.urls = [url.rstrip("/") for url in urls]
        timeout = httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        headers = {"authorization": f"Bearer {token}"}
        self._http = httpx.Client(timeout=timeout, headers=headers, transport=transport)

    def get(self, path: str, kind: type[T]) -> T:
        """Return a decoded answer of the first node that answers."""
        return _decode(self._ask_any("GET", path), kind)

    def get_from(self, url: str, path: str, kind: type[T]) -> T:
        """Return a decoded answer of one node."""
        answer = self._ask(url, "GET", path)
        if isinstance(answer, str):
            raise ToolError(Exit.UNREACHABLE, _explain([f"{url}: {answer}"]))
        return _decode(_check(answer), kind)

    def read_ready(self, url: str) -> list[str]:
        """Return why a node takes no calls; empty when it does."""
        answer = self._ask(url, "GET", "/readyz")
        if isinstance(answer, str):
            return [answer]
        return _decode(answer, Ready).reasons

    def get_bytes(self, path: str) -> bytes:
        """Return the body of an answer of the first node that answers."""
        return self._ask_any("GET", path).content

    def post_to(self, url: str, path: str, body: object) -> httpx.Response:
        """Send a body to one node."""
        answer = self._ask(url, "POST", path, body=body)
        if isinstance(answer, str):
            raise ToolError(Exit.UNREACHABLE, _explain([f"{url}: {answer}"]))
        return _check(answer)

    def read_config(self) -> Snapshot:
        """Return the configuration in force at a node."""
        return self.get("/v1/config", Snapshot)

    def commit(self, change: Change, snapshot: Snapshot, op_id: str) -> ChangeReply:
        """Commit a change of the object as it is in a snapshot.

        The operation id makes it safe to ask the next node when the answer of
        one was lost.
        """
        tag = make_tag(find_object(snapshot, change))
        body = {"op_id": op_id, "change": change}
        headers = {"if-match": f'"{tag}"'}
        answer = self._ask_any("POST", "/v1/changes", body=body, headers=headers)
        return _decode(answer, ChangeReply)

    def withdraw(self, change: WithdrawKey, op_id: str) -> ChangeReply:
        """Withdraw a key, without a condition and whatever its state.

        Asks further nodes while the withdrawal is not durable, because one of
        them may still reach the store.
        """
        body = {"op_id": op_id, "change": change}
        failures = []
        reply = None
        for url in self.urls:
            answer = self._ask(url, "POST", "/v1/changes", body=body)
            if isinstance(answer, str):
                failures.append(f"{url}: {answer}")
                continue
            reply = _decode(_check(answer), ChangeReply)
            if reply.durable:
                break
        if reply is None:
            raise ToolError(Exit.UNREACHABLE, _explain(failures))
        return reply

    def _ask_any(
        self,
        method: str,
        path: str,
        *,
        body: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> httpx.Response:
        failures = []
        unavailable = None
        for url in self.urls:
            answer = self._ask(url, method, path, body=body, headers=headers)
            if isinstance(answer, str):
                failures.append(f"{url}: {answer}")
            elif answer.status_code == 503:
                # Another node may still reach the store.
                unavailable = answer
            else:
                return _check(answer)
        if unavailable is not None:
            return _check(unavailable)
        raise ToolError(Exit.UNREACHABLE, _explain(failures))

    def _ask(
        self,
        url: str,
        method: str,
        path: str,
        *,
        body: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> httpx.Response | str:
        content = None if body is None else msgspec.json.encode(body)
        try:
            return self._http.request(
                method, url + path, content=content, headers=headers
            )
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            return str(error) or type(error).__name__


def _explain(failures: Sequence[str]) -> str:
    listed = "".join(f"\n  {failure}" for failure in failures)
    if not failures:
        return "no node is named; give --url or set ENDIVEBEAM_URL"
    return (
        f"no node answered:{listed}\ncheck the addresses and admin ports, or name "
        "other nodes with --url"
    )


def _check(answer: httpx.Response) -> httpx.Response:
    if answer.is_success:
        return answer
    try:
        error = msgspec.json.decode(answer.content, type=ErrorReply)
    except msgspec.DecodeError:
        message = f"{answer.url}: status {answer.status_code}; is this a node's "
        raise ToolError(Exit.REFUSED, message + "admin port?") from None
    message = error.message
    if error.current is not None:
        current = msgspec.json.encode(error.current).decode()
        message = f"{message}\nin force at version {error.version}: {current}"
    code = _CODES.get(answer.status_code, Exit.REFUSED)
    if code is Exit.STORE_DOWN:
        message += "\nrun the command again; endivebeam doctor shows the cause"
    raise ToolError(code, message)


def _decode(answer: httpx.Response, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(answer.content, type=kind)
    except msgspec.DecodeError as error:
        message = f"{answer.url}: unexpected answer ({error}); use the tool of "
        raise ToolError(Exit.REFUSED, message + "the node's version") from error
