"""HTTP/1.1 connections on ``httptools`` and ``anyio``.

``httptools`` parses messages; this package adds what a low-level parser leaves to
its user: framing checks, limits, timeouts and connection pools.
"""

from ._client import ClientPool, NotSentError, encode_request
from ._exchanges import Exchange, ExchangeHandler
from ._limits import ServerLimits
from ._listeners import MAX_CONNECTIONS, HttpServer, SocketListener
from ._loss_detection import LossDetection
from ._memory import (
    REQUEST_OVERHEAD_BYTES,
    HeldBytes,
    MemoryBudget,
    Purpose,
    get_request_purpose,
)
from ._messages import (
    HOP_BY_HOP,
    MAX_BODY_BYTES,
    ConnectionLostError,
    Field,
    HttpError,
    Request,
    Response,
    encode_end_to_end,
    get_field,
    strip_hop_by_hop,
)
from ._parsers import RequestParser
from ._pipeline import PipelinedServer
from ._process_signals import receive_signals
from ._responses import ResponseQueue
from ._server import Handler, ServerConnection, encode_response, plain_error_response
from ._target_client import (
    Connect,
    MismatchedResponseError,
    TargetConnection,
    TargetPool,
)
from ._tasks import TaskSet
from ._transport import TcpListener, TcpStream, connect_stream, listen_tcp

__all__ = [
    "HOP_BY_HOP",
    "MAX_BODY_BYTES",
    "MAX_CONNECTIONS",
    "REQUEST_OVERHEAD_BYTES",
    "ClientPool",
    "Connect",
    "ConnectionLostError",
    "Exchange",
    "ExchangeHandler",
    "Field",
    "Handler",
    "HeldBytes",
    "HttpError",
    "HttpServer",
    "LossDetection",
    "MemoryBudget",
    "MismatchedResponseError",
    "NotSentError",
    "PipelinedServer",
    "Purpose",
    "Request",
    "RequestParser",
    "Response",
    "ResponseQueue",
    "ServerConnection",
    "ServerLimits",
    "SocketListener",
    "TargetConnection",
    "TargetPool",
    "TaskSet",
    "TcpListener",
    "TcpStream",
    "connect_stream",
    "encode_end_to_end",
    "encode_request",
    "encode_response",
    "get_field",
    "get_request_purpose",
    "listen_tcp",
    "plain_error_response",
    "receive_signals",
    "strip_hop_by_hop",
]
