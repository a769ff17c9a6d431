"""Clients on plain sockets that leave as a test tells them, and an endpoint that answers by a table."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import struct
import threading
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path

from doubles import ROOT, Peer, Program, Request

TAKEN = b"+OK\r\n"
TURNS = 8  # of the loop, until what has come to an endpoint's socket is among its calls
STOPS_S = 5.0  # a process that is told to has stopped by then
QUIET_S = 1.0  # a program that would call once more does so well within this


class Roomy(Program):
    """The program with room for as many messages as a test hands in."""

    def config(self) -> dict:
        config = super().config()
        config["settings"]["policyLimits"]["mostHeld"] = 1000
        return config


class Copying(Roomy):
    """The program where second copies are allowed, with three endpoints that one double plays."""

    def config(self) -> dict:
        config = super().config()
        config["settings"]["policyLimits"]["mayDuplicate"] = True
        (row,) = config["known"]["servers"]
        config["known"]["servers"] = [row | {"id": f"e{number}"} for number in range(3)]
        return config


class Apart(Roomy):
    """Each class has a destination and an endpoint of its own, so that neither takes the other's turns. One
    double plays both."""

    DESTINATIONS = {"note": 7, "pay": 8}

    async def start_doubles(self) -> Apart:
        await super().start_doubles()
        self.second = await asyncio.start_server(self.partner.serve, self.partner.host, 0)
        return self

    def config(self) -> dict:
        config = super().config()
        (row,) = config["known"]["servers"]
        host, port = self.second.sockets[0].getsockname()
        config["known"]["servers"].append(row | {"id": "e2", "cell": 8, "addr": f"{host}:{port}"})
        return config


def with_shim(folder: Path, monkeypatch, source: str) -> None:
    """Run the program with this module loaded into it at its start."""
    (folder / "sitecustomize.py").write_text(source)
    monkeypatch.setenv("PYTHONPATH", f"{folder}:{ROOT}")


def without_shim(folder: Path) -> None:
    (folder / "sitecustomize.py").unlink()


def words(name: bytes, cls: str = "note", left_ms: int = 6000, dest: int = 7) -> bytes:
    """The request that hands that message in."""
    told = f"c={cls},d={left_ms},dest={dest}".encode()
    parts = [b"OUT.ADD", b"0" * 16, name, told, b"hello"]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


class RawClient:
    """A client whose every system call is the test's. `left_at` is when its leaving call had returned,
    `heard` what it read."""

    def __init__(self, program: Program, name: bytes, cls: str = "note", dest: int = 7) -> None:
        self.sock = socket.create_connection((program.host, program.port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port = self.sock.getsockname()[1]
        self.name, self.cls, self.left_at, self.heard = name, cls, float("inf"), b""
        self.dest = dest
        self.names = [name]  # of all that it handed in

    def hand_in(self, left_ms: int = 6000) -> None:
        self.sock.sendall(words(self.name, self.cls, left_ms, self.dest))

    def hand_in_burst(self, count: int) -> None:
        """So many messages at once."""
        self.names = [b"%s-%d" % (self.name, number) for number in range(count)]
        self.sock.sendall(b"".join(words(name, self.cls) for name in self.names))

    async def answered(self) -> None:
        """Until something waits to be read: its answer, or the end of the connection."""
        loop, ready = asyncio.get_running_loop(), asyncio.Event()
        loop.add_reader(self.sock, ready.set)
        try:
            await ready.wait()
        finally:
            loop.remove_reader(self.sock)

    async def hear(self) -> bytes:
        """Read the answer; nothing where the connection ended without one."""
        await self.answered()
        with contextlib.suppress(ConnectionError):
            self.heard = self.sock.recv(64)
        return self.heard

    def hear_if_there(self) -> None:
        """Read the answer if it has come."""
        with contextlib.suppress(BlockingIOError):
            self.heard = self.sock.recv(64, socket.MSG_DONTWAIT)

    def close(self) -> None:
        """Over bytes that were not read the system makes this a reset."""
        self.sock.close()
        self.left_at = time.monotonic()

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def shut_both_ways(self) -> None:
        """As many libraries close: an end goes out, and behind it a reset over bytes that were not read."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.close()

    def half_close(self) -> None:
        """It has no more to say, and still listens: it has not left."""
        self.sock.shutdown(socket.SHUT_WR)

    def leave(self, how: str) -> None:
        {"close": self.close, "reset": self.reset, "shut": self.shut_both_ways}[how]()


def clients_of(program: Program, count: int) -> list[RawClient]:
    """So many, of both classes in turn."""
    return [RawClient(program, b"m%d" % number, ("note", "pay")[number % 2]) for number in range(count)]


@contextlib.asynccontextmanager
async def standing_still(program: Program) -> AsyncIterator[None]:
    """The program does nothing meanwhile. The signal alone does not tell when it has stopped."""
    program.process.send_signal(signal.SIGSTOP)
    state = Path(f"/proc/{program.process.pid}/stat")
    async with asyncio.timeout(STOPS_S):
        while state.read_text().rpartition(")")[2].split()[0] != "T":
            await asyncio.sleep(0.001)
    try:
        yield
    finally:
        program.process.send_signal(signal.SIGCONT)


async def are_known(clients: list[RawClient]) -> None:
    """The program has taken their connections: what they send is read as it comes."""
    for client in clients:
        client.sock.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert await client.hear() == b"+PONG\r\n"
        client.heard = b""


async def hand_in_together(program: Program, clients: list[RawClient], left_ms: int = 6000) -> None:
    """All requests of clients that are known are read in the same step, since the program stands still until
    they are there."""
    async with standing_still(program):
        for client in clients:
            client.hand_in(left_ms)


STOPS_AT_ANSWERS = """import socket

plain = socket.socket.send


def stop(self):
    with socket.create_connection(("127.0.0.1", {port})) as door:
        door.sendall(b"%d " % self.getpeername()[1])
        door.recv(1)


def send(self, data, *flags):
    answer = bytes(data).startswith(b"+OK")
    if answer and "{moment}" == "before":
        stop(self)
    sent = plain(self, data, *flags)
    if answer and "{moment}" == "behind":
        stop(self)
    return sent


socket.socket.send = send
"""


class Door:
    """Where the program stops in the system call of each `+OK`, before or behind it, until the client that it
    is for has done its `act` there."""

    def __init__(self, moment: str, act: Callable[[RawClient], None]) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.shim = STOPS_AT_ANSWERS.format(port=self.listener.getsockname()[1], moment=moment)
        self.act, self.acted = act, 0
        self.clients: dict[int, RawClient] = {}
        threading.Thread(target=self.serve, daemon=True).start()

    def expect(self, clients: list[RawClient]) -> None:
        self.clients = {client.port: client for client in clients}

    def serve(self) -> None:
        with contextlib.suppress(OSError):  # it is closed
            while True:
                door, _ = self.listener.accept()
                with door:
                    port = int(door.recv(16))
                    if port in self.clients:
                        self.act(self.clients[port])
                        self.acted += 1
                    door.sendall(b"x")

    def __enter__(self) -> Door:
        return self

    def __exit__(self, *_: object) -> None:
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


LONG_LOOK = """from rushhitch import connection

connection.MIN_LAST_BYTE_DELAY_S = connection.MAX_LAST_BYTE_DELAY_S = {seconds}  # so long the last byte of each call is held back
"""


def ids_of(request: Request) -> list[bytes]:
    """The messages in a call, single or several."""
    if request.target == "/receive":
        return [request.headers["x-correlation-id"].encode()]
    ids, rest = [], request.body
    while rest:
        line, _, rest = rest.partition(b"\r\n")
        name, _, size = line.split(b" ")
        ids.append(name)
        rest = rest[int(size) + 2 :]
    return ids


class LateEndpoint:
    """An endpoint that no new connection reaches until it `comes_up`: its queue is full."""

    def __init__(self, host: str) -> None:
        self.listener = socket.socket()
        self.listener.bind((host, 0))
        self.listener.listen(0)
        self.address = self.listener.getsockname()
        self.fillers = [self.filler() for _ in range(3)]

    def filler(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.connect(self.address)
        return sock

    async def comes_up(self, peer: Peer) -> None:
        for sock in self.fillers:
            sock.close()
        peer.server = await asyncio.start_server(peer.serve, sock=self.listener)


@dataclass
class Call:
    """A call as the endpoint had it; `at` is when its last byte had come."""

    ids: list[bytes]
    at: float
    target: str


class Endpoint:
    """Answers each call by `answer` as it comes in, and keeps the calls and the notices to the platform."""

    def __init__(self, program: Program, answer: Callable[[Request], None] | None = None) -> None:
        self.program, self.answer = program, answer or self.deliver
        self.calls: list[Call] = []
        self.delivered: set[bytes] = set()
        self.notices: list[dict] = []
        self.moved = asyncio.Event()

    async def __aenter__(self) -> Endpoint:
        self.tasks = [asyncio.create_task(self.take_calls()), asyncio.create_task(self.take_notices())]
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task  # what went wrong in it is the test's

    def deliver(self, request: Request) -> None:
        ids = ids_of(request)
        request.answer(200, b"".join(b"%s accepted\r\n" % name for name in ids))
        self.delivered.update(ids)

    async def take_calls(self) -> None:
        while True:
            request = await self.program.partner.next()
            self.calls.append(Call(ids_of(request), time.monotonic(), request.target))
            self.answer(request)
            self.moved.set()

    async def take_notices(self) -> None:
        while True:
            request = await self.program.platform.next()
            if request.target == "/status":
                request.answer(204)
                self.notices += [json.loads(line) for line in request.body.splitlines()]
                self.moved.set()

    def count(self) -> Counter[bytes]:
        """The calls that held each message."""
        return Counter(name for call in self.calls for name in call.ids)

    def told(self) -> dict[bytes, list[str]]:
        """The notices of each message."""
        told: dict[bytes, list[str]] = {}
        for notice in self.notices:
            told.setdefault(notice["ref"].encode(), []).append(notice["result"])
        return told

    async def until(self, met: Callable[[], bool], seconds: float) -> bool:
        """Whether that came to be in so long."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not met():
                    self.moved.clear()
                    await self.moved.wait()
        return met()

    async def caught_up_at_leave(self, client: RawClient) -> None:
        """All that had come as it left is among the calls, and is not counted as late."""
        for _ in range(TURNS):
            await asyncio.sleep(0)
        client.left_at = time.monotonic()

    def late(self, clients: list[RawClient]) -> list[bytes]:
        """Those that were in a call whose last byte came when their client had left, without its answer."""
        left_at = {
            name: client.left_at for client in clients if client.heard != TAKEN for name in client.names
        }
        return [name for call in self.calls for name in call.ids if call.at > left_at.get(name, call.at)]

    def endless(self, clients: list[RawClient]) -> list[bytes]:
        """Those that heard `+OK` and have neither been delivered nor a notice."""
        ended = self.delivered | self.told().keys()
        return [client.name for client in clients if client.heard == TAKEN and client.name not in ended]

    async def rest(self, seconds: float = QUIET_S) -> None:
        """Whatever still comes in that time is kept, too."""
        await asyncio.sleep(seconds)
