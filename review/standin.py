"""Small stand-ins for the cases: platform, endpoints, clients, and the process of the dispatcher.

They behave as PROTOCOL and DEPLOY have it, on 127.0.0.1 and in real time, with the standard library only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENT_WAITS_S = 0.4  # PROTOCOL: a client waits so long for its answer
RESTART_S = 0.6  # PROTOCOL: from SIGKILL to the next start
READY_S = 30.0
LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """What was sent, answered and run, in ms since the start; written to record.txt."""

    def __init__(self, folder: Path) -> None:
        self.path, self.began, self.lines = folder / "record.txt", time.monotonic(), []

    def now(self) -> float:
        return (time.monotonic() - self.began) * 1000.0

    def add(self, text: str, at: float | None = None) -> float:
        at = self.now() if at is None else at
        self.lines.append((at, text))
        return at

    def write(self) -> None:
        lines = [f"{at:10.1f} ms  {text}" for at, text in sorted(self.lines, key=lambda line: line[0])]
        self.path.write_text("\n".join(lines) + "\n")


def free_port() -> int:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


@dataclass
class Request:
    """A whole HTTP request; times are those of its first and its last byte, in ms."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    began: float
    ended: float


async def read_request(reader: asyncio.StreamReader, record: Record) -> Request | None:
    """The next request of a connection; None once it has ended."""
    try:
        first = await reader.readexactly(1)
        began = record.now()
        head = first + await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body, began, record.now())


class Platform:
    """Discovery (list and watch) and the address that takes notices."""

    def __init__(self, record: Record) -> None:
        self.record, self.rows, self.version = record, {}, 1
        self.watches: set[asyncio.StreamWriter] = set()
        self.notices: dict[str, list[tuple[float, str]]] = {}
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def known(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": list(self.rows.values())}

    def list(self, row: dict[str, Any]) -> None:
        self.rows[row["id"]] = row

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):  # cancelled as the case ends
            while (request := await read_request(reader, self.record)) is not None:
                if request.method == "POST" and request.target == "/status":
                    self.take_notices(request.body)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif "watch=1" in request.target:
                    await self.watch(writer)
                else:
                    body = json.dumps(self.known()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        writer.close()

    def take_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            told = json.loads(line)
            at = self.record.add(f"platform: notice {told['result']} for {told['ref']}")
            self.notices.setdefault(told["ref"], []).append((at, told["result"]))

    async def watch(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps(self.known()).encode() + b"\n"
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            await asyncio.sleep(2.0)
            line = b"\n"

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()


@dataclass
class Call:
    """A call as its endpoint saw it; `gone` is when its connection ended without an answer."""

    endpoint: str
    target: str
    id: str  # of its message; of several, all of them
    began: float
    ended: float
    body: bytes
    answered: float | None = None
    gone: float | None = None
    ran: float | None = None


# Gives head and body of the answer; None: no answer at all.
Work = Callable[[Call], Awaitable[tuple[bytes, bytes] | None]]


def answer(status: int, headers: str = "", body: bytes = b"") -> tuple[bytes, bytes]:
    """Head and body of an answer, without the line that ends the head."""
    return f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n{headers}".encode(), body


def messages_of(body: bytes) -> dict[str, bytes]:
    """The messages in the body of a `POST /receive-many`. Raises `ValueError` if it can't be read."""
    found: dict[str, bytes] = {}
    while body:
        line, end, body = body.partition(b"\r\n")
        name, _, size = line.decode("ascii").split(" ")
        length = int(size)
        if not end or name in found or body[length : length + 2] != b"\r\n":
            raise ValueError(f"not a message: {line[:80]!r}")
        found[name], body = body[:length], body[length + 2 :]
    if not found:
        raise ValueError("empty")
    return found


class Endpoint:
    """One endpoint of a partner. Each call is one task: it runs on when its connection ends."""

    def __init__(self, record: Record, name: str, dest: int, kind: str, zone: str, work: Work) -> None:
        self.record, self.name, self.dest, self.kind, self.zone = record, name, dest, kind, zone
        self.work, self.calls, self.tasks = work, [], set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self, state: str = "SERVING") -> dict[str, Any]:
        fixed = {"id": self.name, "addr": f"{HOST}:{self.port}", "zone": self.zone, "kind": self.kind}
        return fixed | {"cell": self.dest, "state": state, "weight": 1.0, "started_ms": 0}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):  # as the case ends
            await self.take_calls(reader, writer)

    async def take_calls(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader, self.record)) is not None:
            name = request.headers.get("x-correlation-id", "?")
            if request.target == "/receive-many":
                with contextlib.suppress(ValueError):
                    name = " ".join(messages_of(request.body))
            times = (request.began, request.ended)
            call = Call(self.name, request.target, name, *times, request.body)
            self.calls.append(call)
            self.record.add(
                f"{self.name}: {request.target} with {name}, {len(call.body)} bytes", request.began
            )
            work = asyncio.get_running_loop().create_task(self.work(call))
            self.tasks.add(work)
            end = asyncio.get_running_loop().create_task(reader.read(1))
            await asyncio.wait((work, end), return_when=asyncio.FIRST_COMPLETED)
            if not work.done() or (reply := work.result()) is None:
                await end
                call.gone = self.record.add(f"{self.name}: connection of the call with {name} has ended")
                break
            last = request.headers.get("connection", "").lower() == "close"
            end.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await end
            head, body = reply
            call.answered = self.record.add(f"{self.name}: answers {name}: {head[9:12].decode()}")
            writer.write(head + (b"Connection: close\r\n" if last else b"") + b"\r\n" + body)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            if last:
                break
        writer.close()

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()


class Client:
    """Hands messages in over RESP2, each on a connection of its own."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.answers: dict[str, str] = {}

    async def add(self, name: str, cls: str, left_ms: int, dest: int, body: bytes, key: int = 0) -> str:
        """The answer, or `none` where none came in time."""
        fields = f"c={cls},d={left_ms},dest={dest}".encode()
        words = (b"OUT.ADD", b"%016x" % key, name.encode(), fields, body)
        data = b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
        self.record.add(f"client: hands in {name}, class {cls}, key {key:x}, d={left_ms}")
        told = "none"
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(CLIENT_WAITS_S):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                try:
                    writer.write(data)
                    told = (await reader.readuntil(b"\r\n")).decode().strip()
                finally:
                    writer.close()
        self.record.add(f"client: hears {told} for {name}")
        self.answers[name] = told
        return told


def settings(
    classes: list[dict[str, Any]], kinds: list[tuple[str, bool, int]], **changes: Any
) -> dict[str, Any]:
    """Settings in the form of WIRE, section 14, with the figures of its example; `changes` by dotted key,
    with `__` for the dot."""
    made: dict[str, Any] = {
        "balancers": 1,
        "me": 0,
        "callers": {"marksRetry": True},
        "categories": classes,
        "discovery": "on_request",
        "family": "deliver",
        "familyInfo": {
            "batchByKind": [kind[2] for kind in kinds],
            "kindApart": [kind[1] for kind in kinds],
            "feeByZone": [0.01, 0.04],
            "losesWorth": "halves",
            "workers": 12,
        },
        "feedback": {"columns": [], "how": "off"},
        "guarantees": {
            "answerSlackMs": 20.0,
            "askEveryMs": 10000.0,
            "coldFrom": 0.18,
            "drainGraceMs": 1000.0,
            "fallMs": 2000.0,
            "fallMultiple": 2.0,
            "warmWithinMs": 13000.0,
        },
        "kinds": [kind[0] for kind in kinds],
        "overShareWorth": 0.1,
        "policyLimits": {
            "connIdleMs": 10000.0,
            "connectTimeoutMs": 1500.0,
            "maxAttempts": 8,
            "maxRetryAfterMs": 3000.0,
            "mayCancel": True,
            "mayDuplicate": True,
            "mayProbe": True,
            "mostHeld": 182,
            "retryAfter": False,
            "streamsPerConn": 1,
        },
        "quantumMs": 5.0,
        "tenants": [],
        "weights": "off",
        "zone": 0,
        "zones": ["edificio-a", "edificio-b"],
    }
    for path, value in changes.items():
        place = made
        *parts, last = path.split("__")
        for part in parts:
            place = place[part]
        place[last] = value
    return made


def message_class(name: str, effect: str, aim_ms: float, deadline_ms: float, **more: Any) -> dict[str, Any]:
    fixed = {"name": name, "effect": effect, "aimMs": aim_ms, "hardLimitMs": deadline_ms, "group": "all"}
    return fixed | {"lateWorth": 0.1, "streamed": False, "value": 1.0, "windowMs": 5000.0} | more


@dataclass
class Dispatcher:
    """The dispatcher, started by the line `run` of the deploy file."""

    record: Record
    folder: Path
    platform: Platform
    settings: dict[str, Any]
    toml: Path | None = None
    listen: int = field(default_factory=free_port)
    control: int = field(default_factory=free_port)
    process: subprocess.Popen[bytes] | None = None

    def configuration(self) -> dict[str, Any]:
        return {
            "name": "n0",
            "listen": f"{HOST}:{self.listen}",
            "control": f"{HOST}:{self.control}",
            "discovery": f"{HOST}:{self.platform.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": self.platform.known(),
            "settings": self.settings,
        }

    def write_configuration(self) -> None:
        draft = self.folder / "config.draft"
        draft.write_text(json.dumps(self.configuration()))
        draft.rename(self.folder / "config.json")

    async def start(self) -> None:
        """Start it, and wait until it answers PING."""
        state, scratch = self.folder / "state", self.folder / "tmp"
        for path in (state, scratch):
            path.mkdir(exist_ok=True)
        self.write_configuration()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "RUSHHITCH_"))}
        env |= {"ROUTER_CONFIG": str(self.folder / "config.json"), "ROUTER_STATE": str(state)}
        env |= {"TMPDIR": str(scratch), "ROUTER_NAME": "n0", "ROUTER_LISTEN": f"{HOST}:{self.listen}"}
        if self.toml is not None:
            env["RUSHHITCH_TOML"] = str(self.toml)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.record.add("dispatcher: started")
        until = time.monotonic() + READY_S
        while not await self.answers_ping():
            if self.process.poll() is not None or time.monotonic() > until:
                raise RuntimeError("the dispatcher did not start")
            await asyncio.sleep(0.01)
        self.record.add("dispatcher: answers PING")

    async def answers_ping(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.listen)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                found = await reader.readuntil(b"\r\n")
                writer.close()
                return found == b"+PONG\r\n"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def info(self) -> dict[str, Any]:
        """The figures of INFO, at the control address."""
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(HOST, self.control)
            writer.write(b"INFO\n")
            line = await reader.readuntil(b"\n")
            writer.close()
            return json.loads(line)

    def signal(self, number: int) -> float:
        assert self.process is not None, "it was started"
        self.process.send_signal(number)
        return self.record.add(f"dispatcher: {signal.Signals(number).name}")

    async def kill(self) -> float:
        """SIGKILL; when."""
        at = self.signal(signal.SIGKILL)
        await asyncio.to_thread(self.process.wait)
        return at

    def crashed(self) -> bool:
        return self.process is None or self.process.poll() is not None

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def play(folder: Path, case: Callable[[Record, Path], Awaitable[int]]) -> None:
    """Run a case in a temporary folder and exit with its verdict."""
    record, verdict = Record(folder), NOT_RUN
    record.add(f"the case is played {'with' if TROUBLE else 'without'} its disruption")
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as scratch:
            try:
                verdict = asyncio.run(asyncio.wait_for(case(record, Path(scratch)), LIMIT_S))
            finally:
                if verdict != HELD and (Path(scratch) / "log").exists():
                    log = (Path(scratch) / "log").read_text(errors="replace")
                    (folder / "log.txt").write_text(log)
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
    words = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "the case could not run"}
    record.add(f"verdict: {words[verdict]}")
    record.write()
    print(words[verdict])
    sys.exit(verdict)
