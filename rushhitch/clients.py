"""The RESP2 server: PING, OUT.ADD and their answers, and a plain error for bad input."""

from __future__ import annotations

import asyncio
import logging
import re
import select
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import hiredis

log = logging.getLogger(__name__)

NOTHING = object()  # what the reader gives while no request is complete
MOST_BODY = 65_536
MOST_REQUEST = MOST_BODY + 4_096  # bytes
MOST_LINE = 16  # bytes of a line that tells a length
MOST_ID, MOST_KEY = 128, 32
SILENT_S = 2.0  # a connection that has asked nothing, or half a request, is closed after so long
IDLE_S = 6.0  # one that stands between requests is closed after so long
SWEEP_S = 0.25  # between two looks for such connections
ACCEPTS = 16  # connections taken at once, so that a crowd does not hold up those who ask
BURST = 32  # requests of one connection that are served, or without their answers, at once
REST_S = 0.005  # before the further ones
TURNED_AWAY_S = 0.1  # before anything more is read of one that was turned away
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
    if not re.fullmatch(rb"[0-9a-fA-F]{1,%d}" % MOST_KEY, key):
        raise BadRequest(f"the key must be hexadecimal, not {key[:40]!r}")
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
        int(key, 16),
        told.get("r") == "1",
    )


class Taker(Protocol):
    """Who decides on what clients hand in."""

    def offer(self, offer: Offer, answer: Answer) -> int:
        """Take the offer; `answer` is called once, soon. Gives a handle, or raises `BadRequest`."""

    def withdraw(self, handle: int) -> None:
        """The client has gone without its answer."""


class Framing:
    """Follows the input ahead of hiredis, which on `*2000000000` makes room for so many words before one has
    come, and takes six seconds to give it back."""

    COUNT, LENGTH, END = (re.compile(line) for line in (rb"\*([1-9]\d?)\r\n", rb"\$(\d{1,6})\r\n", rb"\r\n"))

    def __init__(self) -> None:
        self.expected, self.line = self.COUNT, b""
        self.words = self.skip = 0  # words of the request and bytes of the word that are yet to come
        self.size = 0  # bytes of the request so far
        self.wrong = ""  # why nothing further can be read

    def follow(self, data: bytes) -> int:
        """How many bytes of the data can be read; fewer than all if `wrong` says why."""
        at = 0
        while at < len(data) and not self.wrong:
            if self.skip:
                step = min(self.skip, len(data) - at)
                self.skip -= step
            else:
                end = data.find(b"\n", at, at + MOST_LINE)
                step = (end + 1 if end >= 0 else min(len(data), at + MOST_LINE)) - at
                self.line += data[at : at + step]
                if end >= 0 or len(self.line) >= MOST_LINE:
                    self.read(self.line)
                    self.line = b""
                if self.wrong:
                    break
            at += step
            self.size = self.size + step if self.words or self.expected is not self.COUNT or self.line else 0
        return at

    def read(self, line: bytes) -> None:
        told = self.expected.fullmatch(line)
        if not told:
            self.wrong = f"Protocol error: expected an array of bulk strings, not {line!r}"
        elif self.expected is self.COUNT:
            self.words, self.expected = int(told[1]), self.LENGTH
        elif self.expected is self.LENGTH:
            self.words, self.skip, self.expected = self.words - 1, int(told[1]), self.END
            if self.size + self.skip > MOST_REQUEST:
                self.wrong = f"a request of more than {MOST_REQUEST} bytes"
        else:
            self.expected = self.LENGTH if self.words else self.COUNT


class Slot:
    """The place of one request's answer among those of its connection."""

    def __init__(self) -> None:
        self.answer = b""
        self.handle: int | None = None


class Client(asyncio.Protocol):
    """One client connection; answers go out in the order of the requests."""

    def __init__(self, server: Clients) -> None:
        self.server, self.taker = server, server.taker
        self.loop = asyncio.get_running_loop()
        self.framing, self.reader = Framing(), hiredis.Reader(notEnoughData=NOTHING)
        self.slots: deque[Slot] = deque()
        self.transport: asyncio.Transport | None = None
        self.resting: asyncio.TimerHandle | None = None  # until then nothing more of it is served
        self.heard_at = self.loop.time()  # when it connected, began a request or had its last answer
        self.asked = False  # it has made a request that makes sense
        self.full = False  # it does not take its answers
        self.deaf = False  # it sent what can't be read: nothing more is
        self.finishing = False  # it is closed as soon as no request is under way

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if not self.server.make_room():
            self.refuse("too many clients are connected")
        self.server.clients[self] = None

    def connection_lost(self, error: Exception | None) -> None:
        self.server.clients.pop(self, None)
        self.server.begun -= self.framing.size
        if self.resting is not None:
            self.resting.cancel()
        for slot in self.slots:
            if not slot.answer and slot.handle is not None:
                self.taker.withdraw(slot.handle)
        self.slots.clear()

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            return
        self.server.used(self)
        before = self.framing.size
        if not before:
            self.heard_at = self.loop.time()
        self.reader.feed(data[: self.framing.follow(data)])
        self.server.begun += self.framing.size - before
        if self.server.begun > self.server.most_begun:
            self.framing.wrong = self.framing.wrong or "too many requests are half sent"
        if self.resting is None:
            self.serve()

    def serve(self) -> None:
        """Take the requests that have come; guards against one connection that holds up all others."""
        self.resting = None
        for _ in range(BURST):
            if len(self.slots) >= BURST:
                break
            try:
                words = self.reader.gets()
            except hiredis.HiredisError as error:
                self.framing.wrong, words = f"Protocol error: {error}", NOTHING
            if words is NOTHING:
                if self.framing.wrong:
                    self.refuse(self.framing.wrong)
                self.read_on()
                return
            if not self.request(words):
                self.rest(TURNED_AWAY_S)
                return
        self.rest(REST_S)

    def rest(self, seconds: float) -> None:
        self.resting = self.loop.call_later(seconds, self.serve)
        self.read_on()

    def read_on(self) -> None:
        """Read, or stop reading, as its state has it."""
        if self.transport is not None and not self.transport.is_closing():
            if self.deaf or self.full or self.resting:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def request(self, words: list[bytes]) -> bool:
        """Whether the request makes sense."""
        slot = Slot()
        self.slots.append(slot)
        command = words[0].upper()
        try:
            if command == b"PING" and len(words) == 1:
                self.reply(slot, b"+PONG\r\n")
            elif command == b"OUT.ADD":
                slot.handle = self.taker.offer(parse_offer(words), lambda answer: self.reply(slot, answer))
            else:
                raise BadRequest(f"unknown command or wrong number of words: {words[0][:40]!r}")
        except BadRequest as error:
            self.reply(slot, error_line(str(error)))
            return False
        self.asked = True
        return True

    def reply(self, slot: Slot, answer: bytes) -> None:
        slot.answer = answer
        if self.transport is None or self.transport.is_closing():
            return
        self.heard_at = self.loop.time()
        while self.slots and self.slots[0].answer:
            self.transport.write(self.slots.popleft().answer)
        if self.finishing:
            self.close_between()

    def refuse(self, text: str) -> None:
        """Say what is wrong, after the answers that are due, and close."""
        slot = Slot()
        self.slots.append(slot)
        self.deaf = self.finishing = True
        self.read_on()
        self.reply(slot, error_line(text))

    def unread(self) -> bool:
        """Whether something waits to be read."""
        assert self.transport is not None, "there is no connection yet"
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def between(self) -> bool:
        """Whether it stands between two requests, as far as they were read."""
        return self.deaf or not (self.slots or self.framing.size or self.resting)

    def finish(self) -> bool:
        """Close between requests: at once if none is under way, nor waits to be read."""
        self.finishing = True
        if self.transport is not None and not self.transport.is_closing() and not self.unread():
            self.close_between()
        return self.transport is None or self.transport.is_closing()

    def close_between(self) -> None:
        if not self.slots and self.between() and self.transport is not None:
            self.transport.close()

    def end_waiting(self, now: float) -> None:
        """Guards against clients that say nothing, or half a request, or keep a connection for good."""
        waited = now - self.heard_at
        if self.transport is None or waited < SILENT_S:
            return
        if self.deaf:
            self.transport.abort()  # it does not take its last answer
        elif self.slots or self.resting or self.unread():
            return
        elif self.framing.size:
            self.refuse("the rest of the request did not come")
        elif not self.asked:
            self.refuse("no request came that makes sense")
        elif waited >= IDLE_S:
            self.finish()

    def pause_writing(self) -> None:
        """Guards against a client that asks on and on but takes no answers."""
        self.full = True
        self.read_on()

    def resume_writing(self) -> None:
        self.full = False
        self.read_on()


class Clients:
    """The listener and its connections."""

    def __init__(self, taker: Taker, most: int, most_begun: int = 100 * MOST_REQUEST) -> None:
        self.taker, self.most, self.most_begun = taker, most, most_begun
        self.begun = 0  # bytes of requests that are half sent: they take memory
        self.loop = asyncio.get_running_loop()
        self.clients: dict[Client, None] = {}  # in the order in which they were last heard
        self.accepted: set[asyncio.Task] = set()
        self.listener: socket.socket | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        self.listener = socket.create_server(address, backlog=512)
        self.listener.setblocking(False)
        self.loop.add_reader(self.listener, self.accept)
        self.loop.call_later(SWEEP_S, self.sweep)

    def accept(self) -> None:
        assert self.listener is not None, "not listening"
        for _ in range(ACCEPTS):
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                log.error("a connection is not accepted: %s", error)
                return
            sock.setblocking(False)
            task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: Client(self), sock))
            self.accepted.add(task)
            task.add_done_callback(self.accepted.discard)

    @property
    def address(self) -> tuple[str, int]:
        assert self.listener is not None, "not listening yet"
        return self.listener.getsockname()

    def used(self, client: Client) -> None:
        if self.clients.pop(client, self) is None:
            self.clients[client] = None

    def make_room(self) -> bool:
        """Guards against crowds: where there are too many, one that has asked nothing gives way, or else the
        one that has been silent longest."""
        if len(self.clients) < self.most:
            return True
        for client in sorted(filter(Client.between, self.clients), key=lambda client: client.asked):
            if client.finish():
                self.clients.pop(client)
                return True
        return False

    def sweep(self) -> None:
        now = self.loop.time()
        for client in list(self.clients):
            client.end_waiting(now)
        self.loop.call_later(SWEEP_S, self.sweep)

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()

    def finish(self) -> None:
        for client in list(self.clients):
            client.finish()
