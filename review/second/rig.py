"""Stand-ins for the cases 6 to 10: the platform, partners, clients, a proxy, and the start of a dispatcher.

Standard library only. All addresses are loopback addresses of this process alone, all folders temporary.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_S = 20.0  # until a dispatcher answers PING
BEAT_S = 2.0  # between two empty lines of a watch
HOST = socket.inet_ntoa((127 << 24 | 1 << 23 | os.getpid() & 0x3FFFFF).to_bytes(4, "big"))
CLIENT_WAITS_S = 0.4  # for the answer to a message (PROTOCOL, clients to dispatchers)
HELD = 0.3 + 0.05  # seconds past its time until a message without an end is lost (PROTOCOL, rules on sockets)
ENTRY = {"zone": "a", "kind": "firms", "state": "SERVING", "weight": 1.0, "started_ms": 0}
given: set[int] = set()


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def free_port() -> int:
    """A port at `HOST` that nobody listens on."""
    while True:
        with socket.socket() as sock:
            sock.bind((HOST, 0))
            port = sock.getsockname()[1]
        if port not in given:
            given.add(port)
            return port


class Record:
    """What was sent, answered and run: a line each, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def now(self) -> float:
        return time.monotonic() - self.began

    def add(self, *words: object) -> float:
        at = self.now()
        print(f"{at:8.3f}", *words, file=self.file, flush=True)
        return at


# HTTP/1.1


@dataclass
class Request:
    """One request as a server has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def closes(self) -> bool:
        return self.headers.get("connection", "").lower() == "close"


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """None at the end of the connection."""
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Request(method, target, headers, body)


@dataclass
class Answer:
    """An answer of a server."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def data(self, closes: bool) -> bytes:
        lines = [f"HTTP/1.1 {self.status} Answer", f"Content-Length: {len(self.body)}"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if closes:
            lines.append("Connection: close")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


Handler = Callable[[Request], Awaitable[Answer | None]]  # None: no answer at all


class HttpServer:
    """Serves one address. A connection is kept alive until a side says `Connection: close`."""

    def __init__(self, handle: Handler) -> None:
        self.handle = handle
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> HttpServer:
        self.port = port or free_port()
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 20)
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                answer = await self.handle(request)
                if answer is None:
                    await reader.read()
                    return
                writer.write(answer.data(request.closes))
                if request.closes:
                    await writer.drain()
                    return
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Nobody listens any more, and all connections are reset."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"


async def ask(
    port: int, headers: dict[str, str], body: bytes = b"", timeout_s: float = 5.0
) -> tuple[int, dict[str, str], bytes]:
    """POST to `/` on a connection of its own; the status (0 without an answer), its headers and the body."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            lines = ["POST / HTTP/1.1", "Host: case", f"Content-Length: {len(body)}", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            head, _, rest = (await reader.read()).partition(b"\r\n\r\n")
            first, *others = head.decode("latin-1").split("\r\n")
            pairs = (line.partition(":") for line in others)
            return int(first.split(" ")[1]), {name.lower(): value.strip() for name, _, value in pairs}, rest
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


async def post(
    port: int, headers: dict[str, str], body: bytes = b"", timeout_s: float = 5.0
) -> tuple[int, bytes]:
    """The same, without the headers of the answer."""
    status, _, text = await ask(port, headers, body, timeout_s)
    return status, text


def event_headers(source: str, name: str, kind: str, **attributes: str) -> dict[str, str]:
    """The headers of an event in binary mode."""
    found = {"specversion": "1.0", "source": source, "id": name, "type": kind, **attributes}
    return {f"ce-{key}": value for key, value in found.items()} | {"Content-Type": "application/json"}


# The platform


class Platform:
    """Discovery and the notices, at one address."""

    def __init__(self, record: Record, servers: list[dict[str, Any]]) -> None:
        self.record, self.version, self.servers = record, 1, servers
        self.notices: dict[str, tuple[float, str]] = {}  # the first of each message: when, and what it says
        self.server: asyncio.Server | None = None
        self.port = 0
        self.watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> Platform:
        self.port = free_port()
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        return self

    def listing(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": self.servers}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                if request.method == "POST" and request.target == "/status":
                    writer.write(Answer(self.take(request.body)).data(request.closes))
                elif "watch=1" in request.target:
                    await self.watch(writer)
                    return
                else:
                    writer.write(Answer(200, json.dumps(self.listing()).encode()).data(request.closes))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def take(self, body: bytes) -> int:
        for line in body.splitlines():
            notice = json.loads(line)
            at = self.record.add("platform hears", line.decode())
            self.notices.setdefault(notice["ref"], (at, notice["result"]))
        return 204

    async def watch(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.line(writer, self.listing())
        self.watches.add(writer)
        try:
            while not writer.is_closing():
                await asyncio.sleep(BEAT_S)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        finally:
            self.watches.discard(writer)

    @staticmethod
    def line(writer: asyncio.StreamWriter, update: dict[str, Any]) -> None:
        text = json.dumps(update).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    def change(self, *rows: dict[str, Any]) -> None:
        """Entries that changed, to all watches."""
        self.version += 1
        by_id = {row["id"]: row for row in self.servers} | {row["id"]: row for row in rows}
        self.servers = [row for row in by_id.values() if row["state"] != "DELETED"]
        for row in rows:
            self.record.add("platform tells", json.dumps(row))
        for writer in self.watches:
            self.line(writer, {"version": self.version, "full": False, "servers": list(rows)})

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()


# Clients


async def hand_in(
    port: int, name: str, cls: str, dest: int, left_ms: int, body: bytes = b"x", more: str = ""
) -> str:
    """One OUT.ADD on a connection of its own; the first line of the answer, empty without one."""
    fields = f"c={cls},d={left_ms},dest={dest}{more}".encode()
    words = [b"OUT.ADD", b"0000000000000000", name.encode(), fields, body]
    data = b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
    writer = None
    try:
        async with asyncio.timeout(CLIENT_WAITS_S):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(data)
            return (await reader.readline()).decode().strip()
    except (OSError, TimeoutError):
        return ""
    finally:
        if writer is not None:
            writer.close()


class Clients:
    """Hand messages in, each once, and note the answers."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.accepted: dict[str, float] = {}  # by id: when its time is up

    async def send(
        self, name: str, cls: str, dest: int, left_ms: int, body: bytes = b"x", more: str = ""
    ) -> bool:
        sent_at = self.record.add("client sends", name, f"c={cls} d={left_ms} dest={dest} {len(body)} bytes")
        line = await hand_in(self.port, name, cls, dest, left_ms, body, more)
        self.record.add("client hears", name, line or "nothing")
        if line.startswith("+"):
            self.accepted[name] = sent_at + left_ms / 1000.0
        return line.startswith("+")


# The dispatcher


def settings(**changes: Any) -> dict[str, Any]:
    """Settings of a small deployment, as WIRE shows them; `changes` replace whole keys."""
    worth = {"lateWorth": 0.1, "value": 1.0, "streamed": False, "group": "all", "windowMs": 5000.0}
    base = {
        "balancers": 1,
        "callers": {"marksRetry": True},
        "categories": [
            {"name": "balance-update", "effect": "repeatable", "aimMs": 1500.0, "hardLimitMs": 6000.0}
            | worth,
            {"name": "payment-order", "effect": "once", "aimMs": 2000.0, "hardLimitMs": 24000.0} | worth,
        ],
        "discovery": "on_request",
        "family": "deliver",
        "familyInfo": {
            "batchByKind": [1],
            "feeByZone": [0.0, 0.0],
            "kindApart": [False],
            "losesWorth": "halves",
            "refusalCost": 0.0,
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
        "kinds": ["firms"],
        "me": 0,
        "overShareWorth": 0.1,
        "policyLimits": {
            "connIdleMs": 10000.0,
            "connectTimeoutMs": 1500.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 525000,
            "maxAttempts": 8,
            "maxRetryAfterMs": 3000.0,
            "mayCancel": True,
            "mayDuplicate": True,
            "mayProbe": True,
            "mostHeld": 182,
            "peerMessages": False,
            "retryAfter": False,
            "streamsPerConn": 1,
        },
        "prices": {},
        "quantumMs": 5.0,
        "tenants": [],
        "tier": 0,
        "tiers": ["partners"],
        "valueBy": "request",
        "weights": "off",
        "zone": 0,
        "zones": ["a", "b"],
    }
    return base | changes


class Dispatcher:
    """One dispatcher, started by the line `run` of the deploy file."""

    def __init__(self, folder: Path, record: Record, name: str, discovery: int, told: dict[str, Any]) -> None:
        self.folder, self.record, self.name = folder / name, record, name
        self.state, self.port, self.control = self.folder / "state", free_port(), free_port()
        self.state.mkdir(parents=True)
        self.toml = ""
        self.process: asyncio.subprocess.Process | None = None
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery}",
            "control": f"{HOST}:{self.control}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {"version": 0, "full": True, "servers": []},
            "settings": told,
        }

    def successor(self) -> Dispatcher:
        """A second process for the same dispatcher, with another control address."""
        other = copy.copy(self)
        other.control, other.process = free_port(), None
        other.config = self.config | {"control": f"{HOST}:{other.control}"}
        return other

    def write(self) -> None:
        (self.folder / "config.json").write_text(json.dumps(self.config))

    async def start(self) -> None:
        self.write()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        kept = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "RUSHHITCH_"))}
        scratch = tempfile.mkdtemp(dir=self.folder)
        env = kept | {"ROUTER_CONFIG": str(self.folder / "config.json"), "ROUTER_STATE": str(self.state)}
        env["TMPDIR"] = scratch
        if self.toml:
            (self.folder / "rushhitch.toml").write_text(self.toml)
            env["RUSHHITCH_TOML"] = str(self.folder / "rushhitch.toml")
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add(self.name, "starts")
        deadline = time.monotonic() + READY_S
        while not (await self.say("PING")).startswith("ACK"):
            if self.process.returncode is not None or time.monotonic() > deadline:
                raise CannotRun(f"{self.name} does not start: {(self.folder / 'log').read_text()[-600:]}")
            await asyncio.sleep(0.05)
        self.record.add(self.name, "is ready")

    async def say(self, line: str) -> str:
        """The first line of the answer at the control address."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.control)
                writer.write(line.encode() + b"\n")
                answer = (await reader.readline()).decode().strip()
                writer.close()
                return answer
        except (OSError, TimeoutError):
            return ""

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.record.add(self.name, "gets", number.name)
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self) -> None:
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


Play = Callable[[Record, Path, contextlib.AsyncExitStack], Awaitable[list[str]]]


def main(play: Play, folder: Path, seconds: float = 110.0) -> None:
    """Plays a case. `play` returns what broke the rule; the stack ends what was started."""

    async def run() -> list[str]:
        with tempfile.TemporaryDirectory() as scratch:
            async with asyncio.timeout(seconds), contextlib.AsyncExitStack() as stack:
                return await play(record, Path(scratch), stack)

    record = Record(folder)
    record.add("TROUBLE", int(TROUBLE))
    try:
        broken = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as error:
        record.add("the case could not run:", repr(error))
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        record.add("broken:", line)
        print("broken:", line)
    record.add("result:", "the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
