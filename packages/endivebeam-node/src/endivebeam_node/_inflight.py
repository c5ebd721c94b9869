"""Calls that the local target is serving, and the lookup of a nested call's parent."""

from dataclasses import dataclass, field
from typing import TypeVar

import anyio

from endivebeam_model import AccountId, ChainId
from endivebeam_wire import CallRequest

from ._randoms import random_hex

K = TypeVar("K")


def parse_trace_id(traceparent: str | None) -> str | None:
    """Return the trace id of a W3C ``traceparent`` value, or None.

    >>> parse_trace_id("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
    '0af7651916cd43dd8448eb211c80319c'
    """
    if traceparent is None:
        return None
    fields = traceparent.split("-")
    if len(fields) < 4 or len(fields[1]) != 32:
        return None
    return fields[1]


def _read_trace_id(call: CallRequest) -> str | None:
    for name, value in call.headers:
        if name == b"traceparent":
            return parse_trace_id(value.decode("latin-1"))
    return None


@dataclass(slots=True, kw_only=True, eq=False)
class Context:
    """State of one call, shared by its nested calls.

    ``retry_credits`` are the credits left for all nested calls below this call;
    ``credits_held`` is true while one nested call holds them. ``deadline`` is
    monotonic. ``has_nested`` is true after the target made a call that may belong
    to this one. ``failed`` holds digests of nested calls that failed, so that a
    retry of one by the target is charged a credit. ``scopes`` cancel the nested
    calls; ``nested_s`` is the time during which at least one was in progress.
    """

    token: str
    trace_id: str
    call: CallRequest
    deadline: float
    retry_credits: int
    credits_held: bool = False
    has_nested: bool = False
    failed: set[bytes] = field(default_factory=set)
    scopes: set[anyio.CancelScope] = field(default_factory=set)
    nested_s: float = 0.0
    nested_since: float = 0.0

    def start_nested(self, scope: anyio.CancelScope, now: float) -> None:
        """Record the start of a nested call; ``scope`` cancels it."""
        if not self.scopes:
            self.nested_since = now
        self.scopes.add(scope)

    def end_nested(self, scope: anyio.CancelScope, now: float) -> None:
        """Record the end of a nested call."""
        self.scopes.discard(scope)
        if not self.scopes:
            self.nested_s += now - self.nested_since

    def waited_s(self, now: float) -> float:
        """Return how long the target has waited for nested calls."""
        if not self.scopes:
            return self.nested_s
        return self.nested_s + now - self.nested_since

    def cancel_nested(self) -> None:
        """Cancel the nested calls, whose outcomes are no longer needed."""
        for scope in self.scopes:
            scope.cancel()


class InFlight:
    """Contexts of calls in flight, by token, trace id and chain.

    Only a call that holds a slot has a context, so admission bounds their number.
    """

    def __init__(self) -> None:
        self._by_token: dict[str, Context] = {}
        self._by_trace: dict[str, list[Context]] = {}
        self._by_chain: dict[ChainId, list[Context]] = {}

    def __len__(self) -> int:
        return len(self._by_token)

    def open(self, call: CallRequest, deadline: float) -> Context:
        """Register a call before it is forwarded to the target."""
        token = random_hex(16)
        context = Context(
            token=token,
            trace_id=_read_trace_id(call) or random_hex(16),
            call=call,
            deadline=deadline,
            retry_credits=call.retry_credits,
        )
        self._by_token[token] = context
        self._by_trace.setdefault(context.trace_id, []).append(context)
        self._by_chain.setdefault(call.chain_id, []).append(context)
        return context

    def close(self, context: Context) -> None:
        """Remove a call, whose token becomes invalid."""
        self._by_token.pop(context.token, None)
        _remove(self._by_trace, context.trace_id, context)
        _remove(self._by_chain, context.call.chain_id, context)

    def find(self, token: str | None, traceparent: str | None) -> Context | None:
        """Return the call that a nested call belongs to, or None.

        Callers choose trace ids, so calls of different accounts may share one.
        Such a trace id does not identify the account, and None is returned.
        """
        if token is not None:
            return self._by_token.get(token)
        trace_id = parse_trace_id(traceparent)
        contexts = self._by_trace.get(trace_id or "", [])
        if len({context.call.account for context in contexts}) != 1:
            return None
        return contexts[0]

    def identifies(
        self, context: Context, token: str | None, traceparent: str | None
    ) -> bool:
        """Return whether a nested call identifies this context and no other.

        A trace id that several calls share does not identify one of them, so a
        nested call found by it must not spend the credits of any.
        """
        if token is not None:
            return token == context.token
        trace_id = parse_trace_id(traceparent)
        return trace_id is not None and self._by_trace.get(trace_id) == [context]

    def mark_all_nested(self) -> None:
        """Set ``has_nested`` of all calls: any of them may have made a nested call."""
        for context in self._by_token.values():
            context.has_nested = True

    def has_waiting(self, chain_id: ChainId) -> bool:
        """Return whether a call of a chain is waiting for a nested call."""
        return any(context.scopes for context in self._by_chain.get(chain_id, ()))

    def find_by_common_account(self) -> Context | None:
        """Return the context with the earliest deadline if all share an account.

        Used for a nested call without context: it can be attributed only when all
        calls in flight belong to one account.
        """
        accounts: set[AccountId] = {c.call.account for c in self._by_token.values()}
        if len(accounts) != 1:
            return None
        return min(self._by_token.values(), key=lambda context: context.deadline)


def _remove(index: dict[K, list[Context]], key: K, context: Context) -> None:
    contexts = index.get(key, [])
    if context in contexts:
        contexts.remove(context)
    if not contexts:
        index.pop(key, None)
