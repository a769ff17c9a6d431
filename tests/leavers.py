"""Test doubles: clients on plain sockets that disconnect on command, and a scripted endpoint."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
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

ACCEPTED = b"+OK\r\n"
LOOP_TURNS = 8  # event loop iterations until input on an endpoint's socket is among its calls
STOP_TIMEOUT_S = 5.0  # for a process to stop after SIGSTOP
CHECKS = "checks"  # file with lines of a message and the time of its final check
SETTLE_S = 1.0  # a further call, if there is one, comes well within this


class ManyMessagesProgram(Program):
    """The program with a limit of 1000 held messages."""

    def config(self) -> dict:
        config = super().config()
        config["settings"]["policyLimits"]["mostHeld"] = 1000
        return config


class DuplicatingProgram(ManyMessagesProgram):
    """The program with duplicate attempts allowed, and three endpoints played by one double."""

    def config(self) -> dict:
        config = super().config()
        config["settings"]["policyLimits"]["mayDuplicate"] = True
        (row,) = config["known"]["servers"]
        config["known"]["servers"] = [row | {"id": f"e{number}"} for number in range(3)]
        return config


class SeparateDestinationsProgram(ManyMessagesProgram):
    """The program with a destination and an endpoint for each class, so that the classes don't compete. One
    double plays both endpoints."""

    DESTINATIONS = {"note": 7, "pay": 8}

    async def start_doubles(self) -> SeparateDestinationsProgram:
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
    """Make the program load this module at start."""
    (folder / "sitecustomize.py").write_text(source)
    monkeypatch.setenv("PYTHONPATH", f"{folder}:{ROOT}")


def without_shim(folder: Path) -> None:
    (folder / "sitecustomize.py").unlink()


def submission(name: bytes, cls: str = "note", left_ms: int = 6000, dest: int = 7) -> bytes:
    """The RESP2 request that submits a message."""
    fields = f"c={cls},d={left_ms},dest={dest}".encode()
    parts = [b"OUT.ADD", b"0" * 16, name, fields, b"hello"]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


class RawClient:
    """A client on a blocking socket, whose system calls the test makes. `disconnected_at` is when its last
    call returned, `received` what it read."""

    def __init__(self, program: Program, name: bytes, cls: str = "note", dest: int = 7) -> None:
        self.sock = socket.create_connection((program.host, program.port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port = self.sock.getsockname()[1]
        self.name, self.cls, self.disconnected_at, self.received = name, cls, float("inf"), b""
        self.dest = dest
        self.message_ids = [name]  # of all that it submitted

    def submit(self, left_ms: int = 6000) -> None:
        self.sock.sendall(submission(self.name, self.cls, left_ms, self.dest))

    def submit_burst(self, count: int) -> None:
        """Submit `count` messages in one write."""
        self.message_ids = [b"%s-%d" % (self.name, number) for number in range(count)]
        self.sock.sendall(b"".join(submission(name, self.cls) for name in self.message_ids))

    async def answered(self) -> None:
        """Wait until there is input: the answer, or the end of the connection."""
        loop, ready = asyncio.get_running_loop(), asyncio.Event()
        loop.add_reader(self.sock, ready.set)
        try:
            await ready.wait()
        finally:
            loop.remove_reader(self.sock)

    async def read_answer(self) -> bytes:
        """Read the answer; b"" if the connection ended without one."""
        await self.answered()
        with contextlib.suppress(ConnectionError):
            self.received = self.sock.recv(64)
        return self.received

    def read_answer_if_present(self) -> None:
        """Read the answer if it has arrived."""
        with contextlib.suppress(BlockingIOError):
            self.received = self.sock.recv(64, socket.MSG_DONTWAIT)

    def close(self) -> None:
        """Close; with unread input the kernel sends a reset."""
        self.sock.close()
        self.disconnected_at = time.monotonic()

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def shut_down_and_close(self) -> None:
        """Close as many libraries do: a FIN, followed by a reset if there is unread input."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.close()

    def half_close(self) -> None:
        """Close the sending side only; the client still reads."""
        self.sock.shutdown(socket.SHUT_WR)

    def disconnect(self, how: str) -> None:
        {"close": self.close, "reset": self.reset, "shut": self.shut_down_and_close}[how]()


def clients_of(program: Program, count: int) -> list[RawClient]:
    """`count` clients, of both classes in turn."""
    return [RawClient(program, b"m%d" % number, ("note", "pay")[number % 2]) for number in range(count)]


@contextlib.asynccontextmanager
async def suspended(program: Program) -> AsyncIterator[None]:
    """Suspend the program with SIGSTOP, and wait until it has stopped."""
    program.process.send_signal(signal.SIGSTOP)
    state = Path(f"/proc/{program.process.pid}/stat")
    async with asyncio.timeout(STOP_TIMEOUT_S):
        while state.read_text().rpartition(")")[2].split()[0] != "T":
            await asyncio.sleep(0.001)
    try:
        yield
    finally:
        program.process.send_signal(signal.SIGCONT)


async def wait_until_accepted(clients: list[RawClient]) -> None:
    """Wait until the program has accepted the connections, so that it reads input as it arrives."""
    for client in clients:
        client.sock.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert await client.read_answer() == b"+PONG\r\n"
        client.received = b""


async def submit_together(program: Program, clients: list[RawClient], left_ms: int = 6000) -> None:
    """Submit while the program is suspended, so that it reads all requests in one loop iteration."""
    async with suspended(program):
        for client in clients:
            client.submit(left_ms)


STOP_AT_ANSWERS = """import socket

original = socket.socket.send


def stop(self):
    with socket.create_connection(("127.0.0.1", {port})) as breakpoint_:
        breakpoint_.sendall(b"%d " % self.getpeername()[1])
        breakpoint_.recv(1)


def send(self, data, *flags):
    answer = bytes(data).startswith(b"+OK")
    if answer and "{moment}" == "before":
        stop(self)
    sent = original(self, data, *flags)
    if answer and "{moment}" == "behind":
        stop(self)
    return sent


socket.socket.send = send
"""


class AnswerBreakpoint:
    """Stops the program right before or behind the system call that sends each `+OK`, until `action` has been
    done for the client of that answer. `shim` is the module to load into the program."""

    def __init__(self, moment: str, action: Callable[[RawClient], None]) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.shim = STOP_AT_ANSWERS.format(port=self.listener.getsockname()[1], moment=moment)
        self.action, self.action_count = action, 0
        self.clients: dict[int, RawClient] = {}
        threading.Thread(target=self.serve, daemon=True).start()

    def expect(self, clients: list[RawClient]) -> None:
        self.clients = {client.port: client for client in clients}

    def serve(self) -> None:
        with contextlib.suppress(OSError):  # closed
            while True:
                connection, _ = self.listener.accept()
                with connection:
                    port = int(connection.recv(16))
                    if port in self.clients:
                        self.action(self.clients[port])
                        self.action_count += 1
                    connection.sendall(b"x")

    def __enter__(self) -> AnswerBreakpoint:
        return self

    def __exit__(self, *_: object) -> None:
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


LAST_BYTE_DELAY = """from rushhitch import connection

connection.MIN_LAST_BYTE_DELAY_S = connection.MAX_LAST_BYTE_DELAY_S = {seconds}
"""


NOTED_CHECKS = """import asyncio, socket, time

from rushhitch.endpoints import EndpointPool

confirm_send, send = EndpointPool.confirm_send, socket.socket.send
checks = {{}}  # by socket, until the next loop iteration: when the check began, and the messages
noted = open({path!r}, "ab", buffering=0)


def noting_confirm_send(self, connection, call, attempts):
    began = time.monotonic()
    confirm_send(self, connection, call, attempts)
    checks[connection.sock] = (began, [attempt.id for attempt in attempts])
    asyncio.get_running_loop().call_soon(checks.pop, connection.sock, None)


def noting_send(self, data, *flags):
    sent = send(self, data, *flags)
    if self in checks:
        began, ids = checks.pop(self)
        noted.write(b"".join(b"%s %r\\n" % (name, began) for name in ids))
    return sent


EndpointPool.confirm_send, socket.socket.send = noting_confirm_send, noting_send
"""


def with_noted_checks(folder: Path, monkeypatch) -> None:
    """Make the program note the time of its final check of each message whose last byte was written in the
    step of that check (`Endpoint.sent_after_disconnect`)."""
    with_shim(folder, monkeypatch, NOTED_CHECKS.format(path=str(folder / CHECKS)))


def ids_of(request: Request) -> list[bytes]:
    """The ids of the messages in a call, be it for one message or a batch."""
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
    """An endpoint whose accept queue is full, so that no connection succeeds until `start_accepting`."""

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

    async def start_accepting(self, peer: Peer) -> None:
        for sock in self.fillers:
            sock.close()
        peer.server = await asyncio.start_server(peer.serve, sock=self.listener)


@dataclass
class Call:
    """A call as the endpoint received it; `at` is when its last byte was read."""

    ids: list[bytes]
    at: float
    target: str


class Endpoint:
    """Answers each call by `answer` and records the calls, and the notices sent to the platform."""

    def __init__(self, program: Program, answer: Callable[[Request], None] | None = None) -> None:
        self.program, self.answer = program, answer or self.deliver
        self.calls: list[Call] = []
        self.delivered: set[bytes] = set()
        self.notices: list[dict] = []
        self.progress = asyncio.Event()

    async def __aenter__(self) -> Endpoint:
        self.tasks = [asyncio.create_task(self.take_calls()), asyncio.create_task(self.take_notices())]
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task  # raises its errors in the test

    def deliver(self, request: Request) -> None:
        ids = ids_of(request)
        request.answer(200, b"".join(b"%s accepted\r\n" % name for name in ids))
        self.delivered.update(ids)

    async def take_calls(self) -> None:
        while True:
            request = await self.program.partner.next()
            self.calls.append(Call(ids_of(request), time.monotonic(), request.target))
            self.answer(request)
            self.progress.set()

    async def take_notices(self) -> None:
        while True:
            request = await self.program.platform.next()
            if request.target == "/status":
                request.answer(204)
                self.notices += [json.loads(line) for line in request.body.splitlines()]
                self.progress.set()

    def count(self) -> Counter[bytes]:
        """The number of calls that held each message."""
        return Counter(name for call in self.calls for name in call.ids)

    def notices_by_message(self) -> dict[bytes, list[str]]:
        """The results in the notices of each message."""
        results: dict[bytes, list[str]] = {}
        for notice in self.notices:
            results.setdefault(notice["ref"].encode(), []).append(notice["result"])
        return results

    async def wait_for(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Whether `condition` became true within `seconds`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not condition():
                    self.progress.clear()
                    await self.progress.wait()
        return condition()

    async def mark_disconnected(self, client: RawClient) -> None:
        """Note the time of the disconnect once the calls that had arrived by then are recorded."""
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)
        client.disconnected_at = time.monotonic()

    def sent_after_disconnect(self, clients: list[RawClient]) -> list[bytes]:
        """Messages sent though the final check of their client came after its disconnect, with `+OK` unread.
        A call that was not written in the step of such a check counts by when it arrived."""
        disconnected_at = {
            name: client.disconnected_at
            for client in clients
            if client.received != ACCEPTED
            for name in client.message_ids
        }
        checks = self.checks_by_message()
        sent = []
        for name, calls in self.calls_by_message().items():
            times = checks.get(name, [])
            if len(times) < len(calls):
                times = [call.at for call in calls]
            if max(times) > disconnected_at.get(name, math.inf):
                sent.append(name)
        return sent

    def calls_by_message(self) -> dict[bytes, list[Call]]:
        found: dict[bytes, list[Call]] = {}
        for call in self.calls:
            for name in call.ids:
                found.setdefault(name, []).append(call)
        return found

    def checks_by_message(self) -> dict[bytes, list[float]]:
        """When the final checks of each message's calls began; needs `with_noted_checks`."""
        found: dict[bytes, list[float]] = {}
        for line in (self.program.folder / CHECKS).read_bytes().splitlines():
            name, at = line.split(b" ")
            found.setdefault(name, []).append(float(at))
        return found

    def unfinished(self, clients: list[RawClient]) -> list[bytes]:
        """Messages whose client read `+OK` that have neither been delivered nor ended by a notice."""
        ended = self.delivered | self.notices_by_message().keys()
        return [client.name for client in clients if client.received == ACCEPTED and client.name not in ended]

    async def settle(self, seconds: float = SETTLE_S) -> None:
        """Wait for `seconds`, so that further calls and notices are recorded."""
        await asyncio.sleep(seconds)
