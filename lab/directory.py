"""The platform's side: the list of endpoints and its changes, and the notices. A port for each dispatcher."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from lab.history import History
from lab.http import HttpConnection, Request, port_of, serve
from lab.repeats import Repeats

MOVED_S = 1.5  # after a move, until the connections to the old address are closed
NOTICE_ANSWER_S = 0.01  # until notices are answered
EMPTY_S = 2.0  # between two lines of a watch on which nothing changes


class Directory:
    """Serves the list as each dispatcher is to see it. `heard` gets each notice."""

    def __init__(
        self,
        dispatchers: list[str],
        address: Callable[[str, str], str],
        history: History,
        heard: Callable[[dict[str, Any]], None],
        seed: int = 0,
    ) -> None:
        self.dispatchers, self.address, self.history, self.heard = dispatchers, address, history, heard
        self.version = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, str, str]] = []  # version, endpoint, state
        self.servers: dict[str, asyncio.Server] = {}
        self.watches: dict[HttpConnection, str] = {}
        self.connections: set[HttpConnection] = set()
        self.down = False
        self.late_s = 0.0  # a change is told so much later
        self.told: dict[str, dict[str, dict[str, Any]]] = {name: {} for name in dispatchers}  # by each
        self.loop = asyncio.get_running_loop()
        self.chance = random.Random("directory")
        self.refuse_notices = 0.0  # share of the requests with notices that are answered 503, unheard
        self.refused_refs: set[str] = set()  # of these: each notice is refused once
        self.lose_answers = 0.0  # share of the answers to notices that never arrive
        self.lost_chance = random.Random(f"lost answers to notices {seed}")
        self.repeated_answers = Repeats(random.Random(f"repeated answers to notices {seed}"))
        self.repeated_lines = Repeats(random.Random(f"repeated lines {seed}"), ways=("later", "split"))
        self.former: dict[HttpConnection, bytes] = {}  # the newest line of each watch

    async def start(self) -> Directory:
        for name in self.dispatchers:
            self.servers[name] = await serve(self.maker(name))
        self.loop.call_later(EMPTY_S, self.beat)
        return self

    def maker(self, dispatcher: str) -> Callable[[], HttpConnection]:
        def lost(connection: HttpConnection) -> None:
            self.watches.pop(connection, None)
            self.former.pop(connection, None)
            self.connections.discard(connection)

        def made(connection: HttpConnection) -> None:
            connection.dispatcher = dispatcher
            self.connections.add(connection)

        return lambda: HttpConnection(
            self.history.now, lambda request: self.handle(dispatcher, request), lost, made
        )

    def port(self, dispatcher: str) -> int:
        return port_of(self.servers[dispatcher])

    # The list

    def put(self, endpoint: str, dest: int, kind: str, zone: str, state: str = "SERVING") -> None:
        """List an endpoint, or change its state (`SERVING`, `DRAINING`, `DELETED`)."""
        row = {"id": endpoint, "zone": zone, "kind": kind, "cell": dest, "state": state}
        row |= {"weight": 1.0, "started_ms": 0}
        self.version += 1
        if state == "DELETED":
            self.rows.pop(endpoint, None)
        else:
            self.rows[endpoint] = row
        self.changes.append((self.version, endpoint, state))
        self.loop.call_later(self.late_s, self.spread, self.version, row)

    def spread(self, version: int, row: dict[str, Any]) -> None:
        for connection, dispatcher in list(self.watches.items()):
            self.line(connection, dispatcher, version, False, [row])

    def listing(self, dispatcher: str) -> dict[str, Any]:
        """The whole list, in the protocol's form."""
        rows = [row | {"addr": self.address(row["id"], dispatcher)} for row in self.rows.values()]
        return {"version": self.version, "full": True, "servers": rows}

    def known(self, dispatcher: str) -> dict[str, Any]:
        """The list as this dispatcher last had it; the whole list before it was told anything."""
        rows = list((self.told[dispatcher] or self.rows).values())
        told = [row | {"addr": self.address(row["id"], dispatcher)} for row in rows]
        return {"version": 0 if self.told[dispatcher] else self.version, "full": True, "servers": told}

    def line(
        self, connection: HttpConnection, dispatcher: str, version: int, full: bool, rows: list[Any]
    ) -> None:
        told = [row | {"addr": self.address(row["id"], dispatcher)} for row in rows]
        text = json.dumps({"version": version, "full": full, "servers": told}).encode() + b"\n"
        chunk = b"%x\r\n%s\r\n" % (len(text), text)
        connection.transport.write(chunk)
        before, self.former[connection] = self.former.get(connection), chunk
        if before is not None and self.repeated_lines.draw() is not None:
            self.loop.call_later(self.repeated_lines.later_s(), self.line_again, connection, before)
        held = self.told[dispatcher]
        if full:
            held.clear()
        for row in rows:
            held[row["id"]] = row
            if row["state"] == "DELETED":
                del held[row["id"]]
            self.history.add("told", dispatcher=dispatcher, endpoint=row["id"], state=row["state"])

    @staticmethod
    def line_again(connection: HttpConnection, chunk: bytes) -> None:
        """An older line comes behind a newer one. It tells nobody anything: the newer one holds."""
        if not connection.transport.is_closing():
            connection.transport.write(chunk)

    def beat(self) -> None:
        for connection in list(self.watches):
            connection.transport.write(b"1\r\n\n\r\n")
        self.loop.call_later(EMPTY_S, self.beat)

    async def move(self, dispatcher: str) -> None:
        """Listen for this dispatcher on another port; the old one takes no new connection and lets the open
        ones go after a while."""
        old, self.servers[dispatcher] = self.servers[dispatcher], await serve(self.maker(dispatcher))
        old.close()
        former = [connection for connection in self.connections if connection.dispatcher == dispatcher]
        self.loop.call_later(MOVED_S, lambda: [connection.transport.close() for connection in former])

    def go_down(self) -> None:
        self.down = True
        for connection in list(self.watches):
            connection.reset()

    def come_back(self) -> None:
        self.down = False

    def stop(self) -> None:
        for server in self.servers.values():
            server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    # Requests

    def handle(self, dispatcher: str, request: Request) -> None:
        connection = request.connection
        if request.method == b"POST" and request.target == b"/status":
            connection.repeats, connection.state = self.repeated_answers, request
            status = self.notices(request.body)
            if self.lose_answers and self.lost_chance.random() < self.lose_answers:
                return
            self.loop.call_later(NOTICE_ANSWER_S, self.answer_notices, connection, status)
        elif self.down:
            connection.answer(503)
        elif request.target.startswith(b"/discovery/hosts?watch=1"):
            connection.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches[connection] = dispatcher
            self.line(connection, dispatcher, self.version, True, list(self.rows.values()))
        elif request.target.startswith(b"/discovery/hosts"):
            connection.answer(200, json.dumps(self.listing(dispatcher)).encode())
        else:
            connection.answer(404)

    def answer_notices(self, connection: HttpConnection, status: int) -> None:
        connection.state = None
        if not connection.transport.is_closing():
            connection.answer(status)

    def notices(self, body: bytes) -> int:
        """Take the notices in and return the status of the answer."""
        try:
            told = [json.loads(line) for line in body.splitlines() if line.strip()]
            for notice in told:
                if notice["result"] not in ("dead", "bounced"):
                    raise ValueError(notice["result"])
        except (ValueError, KeyError, TypeError):
            return 400
        refs = {notice["ref"] for notice in told}
        if refs.isdisjoint(self.refused_refs) and self.chance.random() < self.refuse_notices:
            self.refused_refs |= refs
            return 503
        for notice in told:
            wait = notice.get("wait_ms", 0)
            self.history.add("notice", id=notice["ref"], result=notice["result"], wait_ms=wait)
            self.heard(notice)
        return 204
