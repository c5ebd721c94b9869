"""Client of the administration API; tries several nodes in order."""

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

from ._exits import ExitCode, ToolError

CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 15.0

T = TypeVar("T")


class ChangeReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a change."""

    version: ConfigVersion
    durable: bool


class DomainVersions(msgspec.Struct, frozen=True, kw_only=True):
    """Nodes of one failure domain that have a configuration version.

    ``heard`` counts the live nodes that the replying node had contact with in
    the last seconds, ``in_force`` those of them that have the version.
    """

    domain: str
    nodes: int
    heard: int
    in_force: int
    lagging: list[str] = []

    @property
    def complete(self) -> bool:
        """Whether ``heard`` is above 0 and all of these nodes have the version."""
        return self.heard > 0 and self.in_force == self.heard


class VersionsReply(msgspec.Struct, frozen=True, kw_only=True):
    """Nodes that have a configuration version, per failure domain."""

    version: ConfigVersion
    domains: list[DomainVersions]


class StatusReply(msgspec.Struct, frozen=True, kw_only=True):
    """State of one node and its view of the fleet."""

    node_id: str
    config_version: ConfigVersion
    members: list[Member]
    domain: str
    draining: bool
    emergency_withdrawals: int
    versions: list[DomainVersions]


class ReadyReply(msgspec.Struct, frozen=True, kw_only=True):
    """Readiness of a node, with reasons when it is not ready."""

    ready: bool
    reasons: list[str]


class AdminError(msgspec.Struct, frozen=True, kw_only=True):
    """Error response of the API.

    ``current`` is the object in force when a condition did not hold.
    """

    reason: str
    message: str
    version: int | None = None
    current: object = None


_CODE_BY_STATUS = {
    401: ExitCode.UNAUTHORIZED,
    403: ExitCode.UNAUTHORIZED,
    412: ExitCode.CONFLICT,
    503: ExitCode.STORE_DOWN,
}


class FleetClient:
    """Sends requests to the first node of a list that responds."""

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

    def get(self, path: str, reply_type: type[T]) -> T:
        """Return the decoded response of the first node that responds."""
        return _decode(self._request_any("GET", path), reply_type)

    def get_from(self, url: str, path: str, reply_type: type[T]) -> T:
        """Return the decoded response of one node."""
        response = self._request(url, "GET", path)
        if isinstance(response, str):
            raise ToolError(
                ExitCode.UNREACHABLE, _describe_failures([f"{url}: {response}"])
            )
        return _decode(_check_response(response), reply_type)

    def read_ready(self, url: str) -> list[str]:
        """Return why a node is not ready for calls; empty when it is ready."""
        response = self._request(url, "GET", "/readyz")
        if isinstance(response, str):
            return [response]
        return _decode(response, ReadyReply).reasons

    def get_bytes(self, path: str) -> bytes:
        """Return the response body of the first node that responds."""
        return self._request_any("GET", path).content

    def post_to(self, url: str, path: str, body: object) -> httpx.Response:
        """Send a body to one node and return its response."""
        response = self._request(url, "POST", path, body=body)
        if isinstance(response, str):
            raise ToolError(
                ExitCode.UNREACHABLE, _describe_failures([f"{url}: {response}"])
            )
        return _check_response(response)

    def read_config(self) -> Snapshot:
        """Return the configuration in force at a node."""
        return self.get("/v1/config", Snapshot)

    def commit(self, change: Change, snapshot: Snapshot, op_id: str) -> ChangeReply:
        """Commit a change if its object is still as in the snapshot.

        The operation id makes it safe to resend the change to the next node
        when a response is lost.
        """
        tag = make_tag(find_object(snapshot, change))
        body = {"op_id": op_id, "change": change}
        headers = {"if-match": f'"{tag}"'}
        response = self._request_any("POST", "/v1/changes", body=body, headers=headers)
        return _decode(response, ChangeReply)

    def withdraw(self, change: WithdrawKey, op_id: str) -> ChangeReply:
        """Withdraw a key unconditionally, whatever its state.

        Tries further nodes until the withdrawal is durable, because one of
        them may still reach the store.
        """
        body = {"op_id": op_id, "change": change}
        failures = []
        reply = None
        for url in self.urls:
            response = self._request(url, "POST", "/v1/changes", body=body)
            if isinstance(response, str):
                failures.append(f"{url}: {response}")
                continue
            reply = _decode(_check_response(response), ChangeReply)
            if reply.durable:
                break
        if reply is None:
            raise ToolError(ExitCode.UNREACHABLE, _describe_failures(failures))
        return reply

    def _request_any(
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
            response = self._request(url, method, path, body=body, headers=headers)
            if isinstance(response, str):
                failures.append(f"{url}: {response}")
            elif response.status_code == 503:
                # Another node may still reach the store.
                unavailable = response
            else:
                return _check_response(response)
        if unavailable is not None:
            return _check_response(unavailable)
        raise ToolError(ExitCode.UNREACHABLE, _describe_failures(failures))

    def _request(
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


def _describe_failures(failures: Sequence[str]) -> str:
    listed = "".join(f"\n  {failure}" for failure in failures)
    if not failures:
        return "no node is named; give --url or set ENDIVEBEAM_URL"
    return (
        f"no node answered:{listed}\ncheck the addresses and admin ports, or name "
        "other nodes with --url"
    )


def _check_response(response: httpx.Response) -> httpx.Response:
    if response.is_success:
        return response
    try:
        error = msgspec.json.decode(response.content, type=AdminError)
    except msgspec.DecodeError:
        message = f"{response.url}: status {response.status_code}; is this a node's "
        raise ToolError(ExitCode.REFUSED, message + "admin port?") from None
    message = error.message
    if error.current is not None:
        current = msgspec.json.encode(error.current).decode()
        message = f"{message}\nin force at version {error.version}: {current}"
    code = _CODE_BY_STATUS.get(response.status_code, ExitCode.REFUSED)
    if code is ExitCode.STORE_DOWN:
        message += "\nrun the command again; endivebeam doctor shows the cause"
    raise ToolError(code, message)


def _decode(response: httpx.Response, reply_type: type[T]) -> T:
    try:
        return msgspec.json.decode(response.content, type=reply_type)
    except msgspec.DecodeError as error:
        message = f"{response.url}: unexpected response ({error}); use a tool of "
        raise ToolError(ExitCode.REFUSED, message + "the node's version") from error
