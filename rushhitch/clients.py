"""The RESP2 server: PING, OUT.ADD and their answers, and a plain error for bad input."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import hiredis

NOTHING = object()  # what the reader gives while no request is complete
MOST_BODY = 65_536
MOST_REQUEST = MOST_BODY + 4_096  # bytes of a request that is not complete: beyond this it never will be
MOST_ID = 128
Answer = Callable[[bytes], None]


@dataclass(frozen=True, slots=True)
class Offer:
    """A message that a client hands in."""

    id: bytes
    cls: str
    destination: int
    left_ms: float
    body: bytes
    key: int = 0
    again: bool = False


class BadRequest(ValueError):
    """The request makes no sense; the text says what is wrong."""


def error_line(text: str) -> bytes:
    return b"-ERR %s\r\n" % " ".join(text.split()).encode("ascii", "replace")


def number(text: str, name: str) -> int:
    if not (text.isascii() and text.isdecimal()) or len(text) > 15:
        raise BadRequest(f"{name} must be a whole number, not {text[:40]!r}")
    return int(text)


def parse_offer(words: list[bytes]) -> Offer:
    """The words of an OUT.ADD."""
    if len(words) != 5:
        raise BadRequest(f"OUT.ADD takes key, id, fields and body, not {len(words) - 1} words")
    _, key, name, fields, body = words
    if not 0 < len(name) <= MOST_ID or not all(33 <= byte < 127 for byte in name):
        raise BadRequest(f"the id must be 1 to {MOST_ID} printable characters without spaces")
    if len(body) > MOST_BODY:
        raise BadRequest(f"the body has {len(body)} bytes, more than {MOST_BODY}")
    try:
        affinity = int(key, 16)
    except ValueError:
        raise BadRequest(f"the key must be hexadecimal, not {key[:40]!r}") from None
    told = dict(pair.partition("=")[::2] for pair in fields.decode("latin-1").split(","))
    for wanted in ("c", "d", "dest"):
        if wanted not in told:
            raise BadRequest(f"the field {wanted} is missing")
    return Offer(
        name,
        told["c"],
        number(told["dest"], "dest"),
        float(number(told["d"], "d")),
        body,
        affinity,
        told.get("r") == "1",
    )


class Taker(Protocol):
    """Who decides on what clients hand in."""

    def offer(self, offer: Offer, answer: Answer) -> int:
        """Take the offer; `answer` is called once, soon. Gives a handle, or raises `BadRequest`."""

    def withdraw(self, handle: int) -> None:
        """The client has gone without its answer."""


class Slot:
    """The place of one request's answer among those of its connection."""

    def __init__(self) -> None:
        self.answer = b""
        self.handle: int | None = None


class Client(asyncio.Protocol):
    """One client connection; answers go out in the order of the requests."""

    def __init__(self, server: Clients) -> None:
        self.server, self.taker = server, server.taker
        self.reader = hiredis.Reader(notEnoughData=NOTHING)
        self.partial = 0
        self.slots: deque[Slot] = deque()
        self.transport: asyncio.Transport | None = None
        self.deaf = False  # it sent what can't be read: nothing more is
        self.finishing = False  # it is closed as soon as no request is under way

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if not self.server.make_room():
            self.refuse("too many clients are connected")
        self.server.clients[self] = None

    def connection_lost(self, error: Exception | None) -> None:
        self.server.clients.pop(self, None)
        for slot in self.slots:
            if not slot.answer and slot.handle is not None:
                self.taker.withdraw(slot.handle)
        self.slots.clear()

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            return
        self.server.used(self)
        self.partial += len(data)
        try:
            self.reader.feed(data)
            while (words := self.reader.gets()) is not NOTHING:
                self.partial = 0
                self.request(words)
        except (hiredis.HiredisError, MemoryError) as error:
            self.refuse(f"Protocol error: {error}")
        if self.partial > MOST_REQUEST:
            self.refuse(f"a request of more than {MOST_REQUEST} bytes")

    def request(self, words: object) -> None:
        slot = Slot()
        self.slots.append(slot)
        if not isinstance(words, list) or not words or not all(isinstance(word, bytes) for word in words):
            self.reply(slot, error_line("Protocol error: expected an array of bulk strings"))
            return
        command = words[0].upper()
        if command == b"PING" and len(words) == 1:
            self.reply(slot, b"+PONG\r\n")
        elif command == b"OUT.ADD":
            try:
                slot.handle = self.taker.offer(parse_offer(words), lambda answer: self.reply(slot, answer))
            except BadRequest as error:
                self.reply(slot, error_line(str(error)))
        else:
            self.reply(slot, error_line(f"unknown command or wrong number of words: {words[0][:40]!r}"))

    def reply(self, slot: Slot, answer: bytes) -> None:
        slot.answer = answer
        if self.transport is None or self.transport.is_closing():
            return
        while self.slots and self.slots[0].answer:
            self.transport.write(self.slots.popleft().answer)
        if self.finishing:
            self.close_between()

    def refuse(self, text: str) -> None:
        """Say what is wrong, after the answers that are due, and close."""
        slot = Slot()
        self.slots.append(slot)
        self.deaf, self.partial, self.finishing = True, 0, True
        self.reply(slot, error_line(text))

    def finish(self) -> None:
        """Close between requests: at once if none is under way, nor waits to be read."""
        self.finishing = True
        if self.transport is not None and not self.transport.is_closing():
            poll = select.poll()
            poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
            if not poll.poll(0):
                self.close_between()

    def close_between(self) -> None:
        if not self.slots and not self.partial and self.transport is not None:
            self.transport.close()

    def pause_writing(self) -> None:
        """Guards against a client that asks on and on but takes no answers."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()


class Clients:
    """The listener and its connections."""

    def __init__(self, taker: Taker, most: int) -> None:
        self.taker, self.most = taker, most
        self.clients: dict[Client, None] = {}  # in the order in which they were last heard
        self.server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Client(self), *address, backlog=512)

    @property
    def address(self) -> tuple[str, int]:
        assert self.server is not None, "not listening yet"
        return self.server.sockets[0].getsockname()

    def used(self, client: Client) -> None:
        if self.clients.pop(client, self) is None:
            self.clients[client] = None

    def make_room(self) -> bool:
        """Guards against connections of clients that vanished without a word: where there are too many, the
        one that has been silent longest gives way."""
        if len(self.clients) < self.most:
            return True
        for client in self.clients:
            if not client.slots and not client.partial:
                client.finish()
                self.clients.pop(client)
                return True
        return False

    def stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()

    def finish(self) -> None:
        for client in list(self.clients):
            client.finish()
