"""Clients that behave badly on RESP2 connections of their own: they end their sending behind a request, send
in pieces, send many requests at once, or leave before they have heard. The history tells what they saw.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import select
import socket
import struct
import zlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

from lab.clients import ANSWER_S, NO_ANSWER, Clients
from lab.history import Event, History

PIECES_S = (0.05, 1.2)  # between the halves of a request
LEAVE_S = (0.0, 0.001, 0.004, 0.03)  # from a request to the end of the connection: up to one of these
BURST = (2, 12)  # requests at once
BURST_S = 2.0  # for so long each of their answers is waited for
KEEP_S = 6.0  # a connection is used for so long: past a planned restart
PAUSE_S = (0.0, 0.15)  # between its requests
CROWD_REST_S = 0.02  # before another one comes, where there is no room
LINGER_NONE = struct.pack("ii", 1, 0)  # a close resets
PEEK = 4096  # bytes of unread answers that are looked at


@dataclass(frozen=True, slots=True)
class Request:
    """One request: its name, its bytes, and its offer as the history has it."""

    name: str
    data: bytes
    offer: Event


class RudeClients:
    """Plays one bad client at a time at a dispatcher that serves; everything random comes from the seed."""

    prefix = "r"  # of the names of its messages

    def __init__(
        self, clients: Clients, history: History, seed: int, kinds: list[tuple[int, str, float]]
    ) -> None:
        """`kinds` are the messages that it hands in: destination, class and deadline in ms."""
        self.clients, self.history, self.kinds = clients, history, kinds
        self.chance = random.Random(f"{type(self).__name__} {seed}")
        self.numbers = itertools.count(1)
        self.ways = self.all_ways()

    def all_ways(self) -> list[Callable[[str, int], Awaitable[None]]]:
        """What its clients do; each is given a dispatcher and its port."""
        return [self.half_close, self.pieces, self.burst, self.keep]

    async def run(self, per_s: float, seconds: float) -> None:
        """So many of them a second, by chance, side by side."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                await asyncio.sleep(self.chance.expovariate(per_s))
                if not self.clients.ports:
                    continue
                dispatcher = self.chance.choice(sorted(self.clients.ports))
                way = self.chance.choice(self.ways)
                group.create_task(self.play(way, dispatcher, self.clients.ports[dispatcher]))

    async def play(self, way: Callable[[str, int], Awaitable[None]], dispatcher: str, port: int) -> None:
        try:
            await way(dispatcher, port)
        except OSError:
            pass  # it is down, or went down: the requests have their events

    def request(self, dispatcher: str) -> Request:
        """One of its messages. It is offered as its last byte is written, its time counts from there: who
        writes that calls `offered` first."""
        name = f"{self.prefix}{next(self.numbers)}"
        dest, cls, left_ms = self.chance.choice(self.kinds)
        body = b"rude " + name.encode()
        offer = {"id": name, "origin": name, "first": name, "cls": cls, "dest": dest, "key": 0}
        offer |= {"left_ms": left_ms, "crc": zlib.crc32(body), "dispatcher": dispatcher}
        words = (b"OUT.ADD", b"0", name.encode(), f"c={cls},d={left_ms:.0f},dest={dest}".encode(), body)
        data = b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
        return Request(name, data, offer)

    def requests(self, dispatcher: str, least: int = BURST[0]) -> list[Request]:
        """Several that are written at once."""
        return [self.request(dispatcher) for _ in range(self.chance.randint(least, BURST[1]))]

    def offered(self, request: Request) -> None:
        self.history.add("offer", **request.offer)

    def answered(self, name: str, kind: str) -> None:
        """What became of a request, as its client saw it."""
        if kind in NO_ANSWER:
            self.clients.withdrawn.add(name)
        self.history.add("answer", id=name, answer=kind, wait_ms=0)

    @contextlib.asynccontextmanager
    async def connection(self, port: int) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
        """A connection that is closed behind its use, also where that is cancelled."""
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), ANSWER_S)
        try:
            yield reader, writer
        finally:
            writer.close()

    async def answer(self, name: str, reader: asyncio.StreamReader, patience_s: float = ANSWER_S) -> str:
        """Wait for the answer to one request, note what came, and give it."""
        try:
            line = await asyncio.wait_for(reader.readline(), patience_s)
            kind = kind_of(line)
        except TimeoutError:
            kind = "none"
        except OSError:
            kind = "reset"
        self.answered(name, kind)
        return kind

    async def half_close(self, dispatcher: str, port: int) -> None:
        """End the sending behind a request and wait for its answer: the client has not left."""
        async with self.connection(port) as (reader, writer):
            request = self.request(dispatcher)
            self.offered(request)
            writer.write(request.data)
            await asyncio.sleep(self.chance.choice((0.0, 0.002, 0.01)))
            writer.write_eof()
            await self.answer(request.name, reader)

    async def pieces(self, dispatcher: str, port: int) -> None:
        async with self.connection(port) as (reader, writer):
            request = self.request(dispatcher)
            cut = self.chance.randrange(1, len(request.data))
            writer.write(request.data[:cut])
            await asyncio.sleep(self.chance.uniform(*PIECES_S))
            ended = reader.at_eof() or reader.exception() is not None
            if not ended:  # else the rest would reach nobody
                self.offered(request)
                writer.write(request.data[cut:])
                await self.answer(request.name, reader)

    async def burst(self, dispatcher: str, port: int) -> None:
        async with self.connection(port) as (reader, writer):
            made = self.requests(dispatcher)
            for request in made:
                self.offered(request)
            writer.write(b"".join(request.data for request in made))
            waits = True
            for request in made:
                if waits:
                    waits = await self.answer(request.name, reader, BURST_S) != "none"
                else:  # given up: what comes now would be taken for the answer to another request
                    self.answered(request.name, "none")

    async def keep(self, dispatcher: str, port: int) -> None:
        """Use one connection again and again, whatever happens to the dispatcher, until it ends."""
        async with self.connection(port) as (reader, writer):
            loop = asyncio.get_running_loop()
            until = loop.time() + KEEP_S
            while loop.time() < until and not reader.at_eof():
                request = self.request(dispatcher)
                self.offered(request)
                try:
                    writer.write(request.data)
                    if await self.answer(request.name, reader) not in ("ok", "busy"):
                        break
                except OSError:
                    break
                await asyncio.sleep(self.chance.uniform(*PAUSE_S))


class RawConnection:
    """A client's connection of which nothing is read behind its back: what has come stays with the system
    until the client reads it or leaves."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def __enter__(self) -> RawConnection:
        return self

    def __exit__(self, *_: object) -> None:
        self.sock.close()

    async def connect(self, port: int) -> None:
        """Raises an `OSError` where nobody accepts within `ANSWER_S`."""
        await asyncio.wait_for(self.loop.sock_connect(self.sock, ("127.0.0.1", port)), ANSWER_S)

    async def write(self, data: bytes) -> None:
        """To the system; without a turn of the event loop where that takes all at once."""
        await self.loop.sock_sendall(self.sock, data)

    async def readable(self, patience_s: float = ANSWER_S) -> None:
        """Until bytes have come, or the end of the connection, and without reading them."""
        came = asyncio.Event()
        self.loop.add_reader(self.sock, came.set)
        try:
            async with asyncio.timeout(patience_s):
                await came.wait()
        except TimeoutError:
            pass  # whoever asks looks what has come
        finally:
            self.loop.remove_reader(self.sock)

    async def line(self) -> bytes:
        """Read one answer and nothing behind it; a part of one where the connection ends."""
        line = b""
        while not line.endswith(b"\r\n") and (byte := await self.loop.sock_recv(self.sock, 1)):
            line += byte
        return line

    def unread(self) -> int:
        """How many whole answers have come that were not read."""
        try:
            return self.sock.recv(PEEK, socket.MSG_PEEK).count(b"\r\n")
        except OSError:  # nothing has come, or a reset
            return 0

    def ended(self) -> str:
        """How the other side has ended the connection: `closed`, `reset`, or empty while it has not."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        flags = dict(poll.poll(0)).get(self.sock.fileno(), 0)
        if flags & select.POLLERR:
            return "reset"
        return "closed" if flags else ""

    def close(self, reset: bool) -> None:
        """In order, or by a reset."""
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        self.sock.close()


class LeavingClients(RudeClients):
    """Clients that leave before they have read their answers, in order or by a reset. What is drawn for one
    is drawn before it connects, so that a seed gives the same clients each time."""

    prefix = "l"

    def all_ways(self) -> list[Callable[[str, int], Awaitable[None]]]:
        return [
            self.one,
            self.several,
            self.together,
            self.first_answers,
            self.over_unread,
            self.after_another,
            self.give_up,
        ]

    def draw_moment(self) -> float:
        """Seconds from the request to the end of the connection; 0 is in the same step."""
        return self.chance.uniform(0.0, self.chance.choice(LEAVE_S))

    def draw_reset(self) -> bool:
        return self.chance.random() < 0.5

    async def hand_in(self, connection: RawConnection, port: int, made: list[Request]) -> None:
        """Connect and write them at once. Raises an `OSError` where the connection ends."""
        await connection.connect(port)
        await self.write(connection, made)

    async def write(self, connection: RawConnection, made: list[Request]) -> None:
        """All at once. Raises an `OSError` where the connection ends."""
        for request in made:
            self.offered(request)
        try:
            await connection.write(b"".join(request.data for request in made))
        except OSError:
            for request in made:
                self.answered(request.name, "reset")
            raise

    async def wait(self, seconds: float) -> None:
        """To the moment, finer than the event loop's timers; 0 is no turn of the loop."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while seconds and loop.time() < until:
            await asyncio.sleep(0)

    def leave(self, connection: RawConnection, made: list[Request], reset: bool) -> None:
        """Close over requests whose answers were not read. Where the dispatcher had ended the connection
        before, one without an answer is told as by all clients; the others have left."""
        ended, unread = connection.ended(), connection.unread()
        connection.close(reset)
        for place, request in enumerate(made):
            if ended and place >= unread:
                self.answered(request.name, ended)
                continue
            how = "unread" if place < unread else "reset" if reset else "close"
            self.clients.withdrawn.add(request.name)
            self.history.add("left", id=request.name, how=how)
            self.answered(request.name, "left")

    async def leave_behind(self, port: int, made: list[Request]) -> None:
        """Hand them in on one connection and leave at some moment, without reading."""
        moment, reset = self.draw_moment(), self.draw_reset()
        with RawConnection() as connection:
            await self.hand_in(connection, port, made)
            await self.wait(moment)
            self.leave(connection, made, reset)

    async def one(self, dispatcher: str, port: int) -> None:
        """One request."""
        await self.leave_behind(port, [self.request(dispatcher)])

    async def several(self, dispatcher: str, port: int) -> None:
        """Several requests at once."""
        await self.leave_behind(port, self.requests(dispatcher))

    async def together(self, dispatcher: str, port: int) -> None:
        """Several clients, each with one request, that leave in the same step."""
        moment, reset, made = self.draw_moment(), self.draw_reset(), self.requests(dispatcher)
        with contextlib.ExitStack() as stack:
            connections = [stack.enter_context(RawConnection()) for _ in made]
            for connection in connections:
                await connection.connect(port)
            for connection, request in zip(connections, made, strict=True):
                self.offered(request)
                with contextlib.suppress(OSError):  # ended by the dispatcher: told as it is left
                    await connection.write(request.data)
            await self.wait(moment)
            for connection, request in zip(connections, made, strict=True):
                self.leave(connection, [request], reset)

    async def first_answers(self, dispatcher: str, port: int) -> None:
        """Several requests at once, of which the first answers are read."""
        made, reset = self.requests(dispatcher), self.draw_reset()
        reads = self.chance.randrange(1, len(made))
        with RawConnection() as connection:
            await self.hand_in(connection, port, made)
            while reads and await self.read(connection, made[0], ANSWER_S):
                del made[0]
                reads -= 1
            self.leave(connection, made, reset)

    async def over_unread(self, dispatcher: str, port: int) -> None:
        """One request or several, and a close over answers that have come and were not read."""
        made, reset = self.requests(dispatcher, least=1), self.draw_reset()
        with RawConnection() as connection:
            await self.hand_in(connection, port, made)
            await connection.readable()
            self.leave(connection, made, reset)

    async def after_another(self, dispatcher: str, port: int) -> None:
        """One request whose answer is read, another one, and no answer to that is read."""
        moment, reset = self.draw_moment(), self.draw_reset()
        heard, made = self.request(dispatcher), [self.request(dispatcher)]
        with RawConnection() as connection:
            await self.hand_in(connection, port, [heard])
            if not await self.read(connection, heard, ANSWER_S):
                self.leave(connection, [heard], reset)
                return
            await self.write(connection, made)
            await self.wait(moment)
            self.leave(connection, made, reset)

    async def give_up(self, dispatcher: str, port: int) -> None:
        """One request, and little patience for its answer; if that is read, it leaves at once."""
        moment, reset, made = self.draw_moment(), self.draw_reset(), [self.request(dispatcher)]
        with RawConnection() as connection:
            await self.hand_in(connection, port, made)
            if await self.read(connection, made[0], moment):
                connection.close(reset)
            else:
                self.leave(connection, made, reset)

    async def read(self, connection: RawConnection, request: Request, patience_s: float) -> bool:
        """Read the next answer and note it; False where none came whole."""
        try:
            line = await asyncio.wait_for(connection.line(), patience_s)
        except (OSError, TimeoutError):
            return False
        if kind_of(line) == "closed":
            return False
        self.answered(request.name, kind_of(line))
        return True


class Crowd:
    """Idle clients that fill a dispatcher's descriptors, for as long as it lets them."""

    def __init__(self, clients: Clients, dispatcher: str, size: int) -> None:
        self.clients, self.dispatcher, self.size = clients, dispatcher, size

    async def run(self, seconds: float) -> None:
        end = asyncio.get_running_loop().time() + seconds
        held: list[asyncio.StreamWriter] = []
        try:
            while asyncio.get_running_loop().time() < end:
                held = [writer for writer in held if not writer.transport.is_closing()]
                port = self.clients.ports.get(self.dispatcher)
                if port is not None and len(held) < self.size:
                    with contextlib.suppress(OSError, TimeoutError):
                        opened = asyncio.open_connection("127.0.0.1", port)
                        held.append((await asyncio.wait_for(opened, ANSWER_S))[1])
                        continue
                await asyncio.sleep(CROWD_REST_S)
        finally:
            for writer in held:
                writer.transport.abort()


def kind_of(line: bytes) -> str:
    """An answer as the history has it; a part of one is none."""
    if not line.endswith(b"\r\n"):
        return "closed"
    if line.startswith(b"+"):
        return "ok"
    return "busy" if line.startswith(b"-BUSY") else "error"
