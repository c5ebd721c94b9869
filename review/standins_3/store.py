"""The platform's store: rows, transactions, the feed, and a drill.

A drill takes the store away for a moment; it comes back from an older copy. Versions
go back and are given out again then, and ``Store-Era`` rises by one.
"""

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .http1 import Message, encode, serve

ANSWER_S = 0.004
Name = tuple[str, str, str]


class Store:
    """Rows in memory, served over HTTP."""

    def __init__(self) -> None:
        self.ver = 0
        self.era = 1
        self.away = False
        self._rows: dict[Name, tuple[str, int]] = {}
        self._history: list[tuple[int, Name, str | None]] = []
        self._history_start = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await serve(host, port, self._handle)

    def write_config(self, document: dict[str, Any]) -> float:
        """Write a config as the operator; return the time of the ack."""
        if self.away:
            raise ConnectionError("the store is away")
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._commit([(("op", "", "config"), value)], [])
        return time.monotonic()

    def copy(self) -> tuple[int, dict[Name, tuple[str, int]]]:
        """Return a copy of everything."""
        return self.ver, dict(self._rows)

    def go_away(self) -> None:
        """Answer nothing until ``come_back``; waiting calls are cut."""
        self.away = True
        self._changed.set()
        self._changed = asyncio.Event()

    def come_back(self, copy: tuple[int, dict[Name, tuple[str, int]]]) -> None:
        """Come back from a copy; what was written since is gone."""
        self.ver, rows = copy
        self._rows = dict(rows)
        self._history = []
        self._history_start = self.ver
        self.era += 1
        self.away = False

    def _commit(self, puts: list[tuple[Name, str]], removed: list[Name]) -> None:
        self.ver += 1
        for name, value in puts:
            self._rows[name] = (value, self.ver)
            self._history.append((self.ver, name, value))
        for name in removed:
            if self._rows.pop(name, None) is not None:
                self._history.append((self.ver, name, None))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Message) -> bytes | None:
        if self.away:
            return None
        await asyncio.sleep(ANSWER_S)
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        era = self.era
        if url.path == "/rows-tx":
            status, body = self._transact(json.loads(request.body))
        elif url.path == "/rows-get":
            status, body = self._get(query)
        elif url.path == "/rows-feed":
            status, body = await self._feed(query)
        else:
            status, body = 404, {}
        if self.away or era != self.era:
            return None
        body |= {"ver": self.ver, "nowS": time.monotonic()}
        fields = {"content-type": "application/json", "store-era": str(self.era)}
        return encode(f"HTTP/1.1 {status} X", fields, json.dumps(body).encode())

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = call.get("expected", [])
        puts = [(_name(e), e["value"]) for e in call.get("puts", [])]
        removed = [_name(e) for e in call.get("remove", [])]
        if any(n[0] in ("op", "servers") for n in [*(n for n, _ in puts), *removed]):
            return 403, {}
        if any(self._rows.get(_name(e), ("", 0))[1] != e["ver"] for e in expected):
            names = [_name(e) for e in expected]
            return 412, {"rows": [self._row(n) for n in names if n in self._rows]}
        self._commit(puts, removed)
        return 200, {}

    def _get(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target")
        names = sorted(
            n
            for n in self._rows
            if n[:2] == (table, part) and n[2] >= first and (not end or n[2] < end)
        )
        limit = int(query.get("limit", "500"))
        rows = [self._row(n) for n in names[:limit]]
        return 200, {"rows": rows, "truncated": len(names) > limit}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, after = query["table"], int(query["after"])
        ends_at = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if self.away or not self._history_start <= after <= self.ver:
                return 410, {}
            rows = [
                {"table": n[0], "part": n[1], "key": n[2], "ver": v}
                | ({"deleted": True} if value is None else {"value": value})
                for v, n, value in self._history
                if n[0] == table and v > after
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"rows": rows}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _row(self, name: Name) -> dict[str, Any]:
        value, ver = self._rows[name]
        keys = {"table": name[0], "part": name[1], "key": name[2]}
        return {**keys, "value": value, "ver": ver}


def _name(entry: dict[str, Any]) -> Name:
    return entry["table"], entry.get("part", ""), entry["key"]
