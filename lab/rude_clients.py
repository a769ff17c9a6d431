"""Clients that behave badly on RESP2 connections of their own: they end their sending behind a request, reset
the connection, send in pieces, send many requests at once, or give up early. The history tells what they saw.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
import struct
import zlib
from collections.abc import Awaitable, Callable

from lab.clients import ANSWER_S, Clients
from lab.history import Event, History

PIECES_S = (0.05, 1.2)  # between the halves of a request
GIVE_UP_S = (0.0, 0.03)  # from a request to the end of the connection
BURST = (2, 12)  # requests at once
BURST_S = 2.0  # for so long each of their answers is waited for
KEEP_S = 6.0  # a connection is used for so long: past a planned restart
PAUSE_S = (0.0, 0.15)  # between its requests
CROWD_REST_S = 0.02  # before another one comes, where there is no room
LINGER_NONE = struct.pack("ii", 1, 0)  # a close resets


class RudeClients:
    """Plays one bad client at a time at a dispatcher that serves; everything random comes from the seed."""

    def __init__(
        self, clients: Clients, history: History, seed: int, kinds: list[tuple[int, str, float]]
    ) -> None:
        """`kinds` are the messages that it hands in: destination, class and deadline in ms."""
        self.clients, self.history, self.kinds = clients, history, kinds
        self.chance = random.Random(f"rude {seed}")
        self.numbers = itertools.count(1)
        self.ways: list[Callable[[str, int], Awaitable[None]]] = [
            self.half_close,
            self.reset,
            self.pieces,
            self.burst,
            self.give_up,
            self.keep,
        ]

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

    def request(self, dispatcher: str) -> tuple[str, bytes, Event]:
        """The name and the bytes of one, and its offer. It is offered as its last byte is written, its time
        counts from there: who writes that calls `offered` first."""
        name = f"r{next(self.numbers)}"
        dest, cls, left_ms = self.chance.choice(self.kinds)
        body = b"rude " + name.encode()
        offer = {"id": name, "origin": name, "first": name, "cls": cls, "dest": dest, "key": 0}
        offer |= {"left_ms": left_ms, "crc": zlib.crc32(body), "dispatcher": dispatcher}
        words = (b"OUT.ADD", b"0", name.encode(), f"c={cls},d={left_ms:.0f},dest={dest}".encode(), body)
        return name, b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words), offer

    def offered(self, offer: Event) -> None:
        self.history.add("offer", **offer)

    async def connect(self, port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), ANSWER_S)

    async def answer(self, name: str, reader: asyncio.StreamReader, patience_s: float = ANSWER_S) -> str:
        """Wait for the answer to one request, note what came, and give it."""
        try:
            line = await asyncio.wait_for(reader.readline(), patience_s)
            kind = kind_of(line)
        except TimeoutError:
            kind = "none"
        except OSError:
            kind = "reset"
        self.history.add("answer", id=name, answer=kind, wait_ms=0)
        return kind

    async def half_close(self, dispatcher: str, port: int) -> None:
        reader, writer = await self.connect(port)
        name, data, offer = self.request(dispatcher)
        self.offered(offer)
        writer.write(data)
        await asyncio.sleep(self.chance.choice((0.0, 0.002, 0.01)))
        writer.write_eof()
        await self.answer(name, reader)
        writer.close()

    async def reset(self, dispatcher: str, port: int) -> None:
        _, writer = await self.connect(port)
        name, data, offer = self.request(dispatcher)
        self.offered(offer)
        writer.write(data)
        await asyncio.sleep(self.chance.uniform(*GIVE_UP_S))
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        writer.transport.abort()
        self.history.add("answer", id=name, answer="none", wait_ms=0)

    async def pieces(self, dispatcher: str, port: int) -> None:
        reader, writer = await self.connect(port)
        name, data, offer = self.request(dispatcher)
        cut = self.chance.randrange(1, len(data))
        writer.write(data[:cut])
        await asyncio.sleep(self.chance.uniform(*PIECES_S))
        self.offered(offer)
        writer.write(data[cut:])
        await self.answer(name, reader)
        writer.close()

    async def burst(self, dispatcher: str, port: int) -> None:
        reader, writer = await self.connect(port)
        made = [self.request(dispatcher) for _ in range(self.chance.randint(*BURST))]
        for _, _, offer in made:
            self.offered(offer)
        writer.write(b"".join(data for _, data, _ in made))
        waits = True
        for name, _, _ in made:
            if waits:
                waits = await self.answer(name, reader, BURST_S) != "none"
            else:  # given up: what comes now would be taken for the answer to another request
                self.history.add("answer", id=name, answer="none", wait_ms=0)
        writer.close()

    async def give_up(self, dispatcher: str, port: int) -> None:
        reader, writer = await self.connect(port)
        name, data, offer = self.request(dispatcher)
        self.offered(offer)
        writer.write(data)
        await self.answer(name, reader, self.chance.uniform(*GIVE_UP_S))
        writer.close()

    async def keep(self, dispatcher: str, port: int) -> None:
        """Use one connection again and again, whatever happens to the dispatcher, until it ends."""
        reader, writer = await self.connect(port)
        loop = asyncio.get_running_loop()
        until = loop.time() + KEEP_S
        while loop.time() < until and not reader.at_eof():
            name, data, offer = self.request(dispatcher)
            self.offered(offer)
            try:
                writer.write(data)
                if await self.answer(name, reader) not in ("ok", "busy"):
                    break
            except OSError:
                break
            await asyncio.sleep(self.chance.uniform(*PAUSE_S))
        writer.close()


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
