"""Writes of share rows that are relayed to the table through another node."""

import anyio
from returns.result import Failure, Result, Success

from endivebeam_model import Member
from endivebeam_store import (
    SHARE_PREFIX,
    CommitError,
    Committed,
    Condition,
    Conflict,
    Put,
    Row,
    Table,
    Transaction,
    Unavailable,
)
from endivebeam_wire import (
    RelayedRow,
    RelayOutcome,
    RelayReply,
    RelayRequest,
    StreamFullError,
    StreamLostError,
)

from ._fleet_view import SendRequest
from ._peers import UnreachableError

RELAY_TIMEOUT_S = 2.0


async def relay_commit(
    send_request: SendRequest, member: Member, transaction: Transaction
) -> Result[Committed, CommitError]:
    """Commit a transaction on share rows through a node that reaches the table."""
    versions = {c.key: c.version for c in transaction.conditions}

    def build(request_id: int) -> RelayRequest:
        rows = [RelayedRow(p.key, p.value, versions[p.key]) for p in transaction.puts]
        return RelayRequest(request_id=request_id, op_id=transaction.op_id, rows=rows)

    try:
        with anyio.fail_after(RELAY_TIMEOUT_S):
            reply = await send_request(member, build)
    except UnreachableError:
        return Failure(Unavailable(message="the relaying node is not reachable"))
    except (StreamLostError, StreamFullError, TimeoutError):
        message = "the relaying node did not answer"
        return Failure(Unavailable(message=message, maybe_applied=True))
    match reply:
        case RelayReply(outcome=RelayOutcome.COMMITTED):
            return Success(Committed(op_id=transaction.op_id))
        case RelayReply(outcome=RelayOutcome.CONFLICT, rows=rows):
            return Failure(Conflict(rows=tuple(_to_row(row) for row in rows)))
    message = "the relaying node does not reach the table either"
    return Failure(Unavailable(message=message, maybe_applied=True))


async def serve_relay(table: Table, message: RelayRequest) -> RelayReply:
    """Commit another node's writes of share rows; writes of other rows are rejected."""
    transaction = Transaction(
        op_id=message.op_id,
        conditions=tuple(Condition(key=r.key, version=r.version) for r in message.rows),
        puts=tuple(Put(key=r.key, value=r.value) for r in message.rows),
    )
    outcome = RelayOutcome.UNAVAILABLE
    rows: list[RelayedRow] = []
    if message.rows and all(r.key.startswith(SHARE_PREFIX) for r in message.rows):
        match await table.commit(transaction):
            case Success(_):
                outcome = RelayOutcome.COMMITTED
            case Failure(Conflict(rows=current)):
                outcome = RelayOutcome.CONFLICT
                rows = [RelayedRow(r.key, r.value, r.version, r.op_id) for r in current]
    return RelayReply(request_id=message.request_id, outcome=outcome, rows=rows)


def _to_row(row: RelayedRow) -> Row:
    return Row(key=row.key, value=row.value, version=row.version, op_id=row.op_id)
