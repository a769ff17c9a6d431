"""Clients: RESP2 on kept connections, with retries after refusals and after a dispatcher's death."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import socket
import zlib
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Any

from lab.history import History

ANSWER_S = 0.4  # a client waits so long for its answer
AGAIN_S = (0.34, 1.6)  # after no answer: to hand the message in anew
RETRY_S = (0.1, 0.5)  # after a refusal that tells no time
SPEAKS = ("resp2", "binary", "structured")
MOST_IDLE = 8  # connections kept between requests, by dispatcher
NO_ANSWER = ("none", "closed", "reset", "left")  # how the history calls it where a client heard nothing


@dataclass(slots=True)
class Ask:
    """One message as a client hands it in. `origin` is the id of the try that was refused, if any, and this
    is still the same message; `first` is that of its first try of all, also where one got no answer."""

    cls: str
    dest: int
    left_ms: float
    body: bytes
    key: int = 0
    origin: str = ""
    first: str = ""
    tries: int = 0
    again: bool = False
    wire: str = ""  # the id that an event bears


class ClientConnection(asyncio.Protocol):
    """One request at a time."""

    def __init__(self, clients: Clients, dispatcher: str, speaks: str = "resp2") -> None:
        self.clients, self.dispatcher, self.speaks = clients, dispatcher, speaks
        self.transport: Any = None
        self.id = ""
        self.ask: Ask | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.answer = b""

    @staticmethod
    def name_of(wire: str) -> str:
        """How the history calls the message that goes by this name on the wire."""
        return wire

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, name: str, ask: Ask) -> None:
        self.id, self.ask, self.answer = name, ask, b""
        self.write(ask)
        self.timer = self.clients.loop.call_later(ANSWER_S, self.late)

    def write(self, ask: Ask) -> None:
        fields = f"c={ask.cls},d={ask.left_ms:.0f},dest={ask.dest}"
        if ask.tries:
            fields += ",again=1" if ask.again else ",r=1"
        words = (b"OUT.ADD", b"%016x" % ask.key, self.id.encode(), fields.encode(), ask.body)
        parts = [b"*5\r\n"] + [b"$%d\r\n%s\r\n" % (len(word), word) for word in words]
        self.transport.write(b"".join(parts))

    def data_received(self, data: bytes) -> None:
        self.answer += data
        if self.answer.endswith(b"\r\n") and self.ask is not None:
            self.end(self.answer[:-2])

    def end(self, answer: bytes) -> None:
        ask, self.ask = self.ask, None
        if self.timer is not None:
            self.timer.cancel()
        if ask is not None:
            self.clients.answered(self, self.id, ask, answer)

    def late(self) -> None:
        if self.ask is not None:
            ask, self.ask = self.ask, None
            self.transport.abort()
            self.clients.unanswered(self.id, ask, self.dispatcher, "none")

    def connection_lost(self, error: Exception | None) -> None:
        self.clients.dropped(self)
        if self.ask is not None:
            ask, self.ask = self.ask, None
            if self.timer is not None:
                self.timer.cancel()
            how = "closed" if error is None else "reset"
            self.clients.unanswered(self.id, ask, self.dispatcher, how)


class Clients:
    """All clients of a run. They go round the dispatchers that serve."""

    def __init__(
        self,
        history: History,
        seed: int,
        retries: int = 1,
        speaks: Sequence[str] = SPEAKS[:1],
        events: type[ClientConnection] | None = None,
    ) -> None:
        self.events = events or ClientConnection  # the connections of clients that post events
        self.history, self.retries, self.speaks = history, retries, itertools.cycle(speaks)
        self.event_ports: dict[str, int] = {}
        self.loop = asyncio.get_running_loop()
        self.chance = random.Random(f"clients {seed}")
        self.ids = itertools.count(1)
        self.ports: dict[str, int] = {}  # of the dispatchers that are thought to serve
        self.idle: dict[tuple[str, str], deque[ClientConnection]] = {}  # by dispatcher and protocol
        self.order = 0
        self.out: dict[str, Ask] = {}  # taken on, by id: a notice may send it back
        self.unheard: set[str] = set()  # ids handed in, to which no answer has come yet
        self.withdrawn: set[str] = set()  # ids whose clients went, or gave up, without an answer
        self.due_again = 0  # messages that are handed in once more when a rest is over
        self.tasks: set[asyncio.Task[None]] = set()
        self.taken: Callable[[str], None] = lambda dispatcher: None  # hears of each acceptance as it is read

    def serves(self, dispatcher: str, port: int | None, event_port: int = 0) -> None:
        """The front has noticed that a dispatcher is up, or (None) that it is not."""
        self.ports.pop(dispatcher, None)
        for speaks in SPEAKS:
            for connection in self.idle.pop((dispatcher, speaks), ()):
                connection.transport.abort()
        if port is not None:
            self.ports[dispatcher], self.event_ports[dispatcher] = port, event_port

    def wall(self, left_ms: float) -> str:
        """That moment from now, as an event tells it (RFC 3339)."""
        at = datetime.now(UTC) + timedelta(milliseconds=left_ms)
        return at.isoformat(timespec="milliseconds").replace("+00:00", "Z")

    @property
    def quiet(self) -> bool:
        """Whether they wait for nothing that comes by itself: no answer, and no moment to hand in again."""
        return not (self.tasks or self.unheard or self.due_again)

    def hand_in(self, ask: Ask) -> None:
        task = self.loop.create_task(self.run(ask))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, ask: Ask) -> None:
        name, speaks = f"m{next(self.ids)}", next(self.speaks)
        if speaks != "resp2":
            ask.wire, name = name, self.events.name_of(name)
        ask.origin, ask.first = ask.origin or name, ask.first or name
        if not self.ports:
            await asyncio.sleep(0.1)
        names = sorted(self.ports)
        self.order += 1
        self.unheard.add(name)
        dispatcher = names[self.order % len(names)] if names else ""
        self.history.add(
            "offer",
            id=name,
            origin=ask.origin,
            first=ask.first,
            cls=ask.cls,
            dest=ask.dest,
            key=ask.key,
            left_ms=ask.left_ms,
            crc=zlib.crc32(ask.body),
            dispatcher=dispatcher,
        )
        try:
            connection = await self.connection(dispatcher, speaks)
        except (OSError, KeyError):
            self.unanswered(name, ask, dispatcher, "none")
            return
        connection.send(name, ask)

    async def connection(self, dispatcher: str, speaks: str) -> ClientConnection:
        idle = self.idle.setdefault((dispatcher, speaks), deque())
        while idle:
            connection = idle.pop()
            if not connection.transport.is_closing():
                return connection
        port, made = self.ports[dispatcher], ClientConnection
        if speaks != "resp2":
            port, made = self.event_ports[dispatcher], self.events
        _, connection = await asyncio.wait_for(
            self.loop.create_connection(lambda: made(self, dispatcher, speaks), "127.0.0.1", port),
            ANSWER_S,
        )
        return connection

    def dropped(self, connection: ClientConnection) -> None:
        idle = self.idle.get((connection.dispatcher, connection.speaks))
        if idle is not None and connection in idle:
            idle.remove(connection)

    # Answers

    def answered(self, connection: ClientConnection, name: str, ask: Ask, answer: bytes) -> None:
        idle = self.idle.setdefault((connection.dispatcher, connection.speaks), deque())
        if len(idle) < MOST_IDLE:
            idle.append(connection)
        else:
            connection.transport.close()
        kind, wait = "error", 0.0
        if answer[:1] in (b"+", b"$"):
            kind = "ok"
            self.taken(connection.dispatcher)
            self.out[name] = ask
        elif answer.startswith(b"-BUSY"):
            kind, wait = "busy", float(answer[5:] or 0)
        self.unheard.discard(name)
        self.history.add("answer", id=name, answer=kind, wait_ms=wait)
        if kind == "busy":
            self.retry(ask, wait)

    def unanswered(self, name: str, ask: Ask, dispatcher: str, how: str) -> None:
        self.unheard.discard(name)
        self.withdrawn.add(name)
        self.history.add("answer", id=name, answer=how, wait_ms=0)
        if (
            ask.tries < self.retries + 2
        ):  # it is a new message to whoever gets it: nobody owes the old id an end
            anew = dataclasses.replace(ask, origin="", tries=ask.tries + 1, again=True)
            self.hand_in_after(self.chance.uniform(*AGAIN_S), anew)

    def heard(self, notice: dict[str, Any]) -> None:
        """The platform was told of an end: what was refused may come again."""
        ask = self.out.pop(notice["ref"], None)
        if ask is not None and notice["result"] == "bounced":
            self.retry(ask, float(notice.get("wait_ms", 0)))

    def retry(self, ask: Ask, wait_ms: float) -> None:
        if ask.tries >= self.retries:
            return
        rest = wait_ms / 1000.0 if wait_ms else self.chance.uniform(*RETRY_S)
        anew = dataclasses.replace(ask, tries=ask.tries + 1)
        self.hand_in_after(rest, anew)

    def hand_in_after(self, rest_s: float, ask: Ask) -> None:
        def over() -> None:
            self.due_again -= 1
            self.hand_in(ask)

        self.due_again += 1
        self.loop.call_later(rest_s, over)

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for idle in list(self.idle.values()):
            for connection in list(idle):
                connection.transport.abort()
