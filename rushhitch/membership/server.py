"""I/O of membership: a datagram socket, a stream listener and a timer around the detector.

Imported only if `[membership]` is configured. All decisions are made in `detector`.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import random
import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from rushhitch.config.deployment import MembershipSettings
from rushhitch.membership.detector import Detector, Tuning
from rushhitch.membership.kept import IncarnationFile
from rushhitch.membership.messages import Exchange, Output, Row, Send, Warn
from rushhitch.membership.view import Bounds, Seen, State, Subscriber
from rushhitch.membership.wire import (
    HELLO,
    MAX_DATAGRAM_BYTES,
    Carried,
    DropReason,
    Kind,
    Role,
    Sessions,
    Stream,
    WireError,
    decode_rows,
    encode_rows,
)

log = logging.getLogger(__name__)

TICK_S = 0.1
READ_BATCH = 64  # datagrams per callback, so that other callbacks get their turn
READ_SHARE = 0.3  # of a core; beyond it, datagrams stay in the socket's buffer until it overflows
RECEIVE_BUFFER_BYTES = 1 << 18
STREAM_TIMEOUT_S = 5.0
MAX_STREAMS = 16  # concurrent
DROP_LOG_INTERVAL_S = 10.0  # minimum interval of log lines on dropped datagrams
ANY_HOST = ("", "0.0.0.0")


class Server:
    """One member; implements `rushhitch.membership.view.View`."""

    def __init__(
        self, settings: MembershipSettings, fleet: int, incarnation: int = 0, folder: Path | None = None
    ) -> None:
        """`fleet`: maximum number of members that operators run; `incarnation`: the predecessor's, if known;
        `folder`: where the incarnation is stored, if it is. The latter two are optional."""
        self.loop = asyncio.get_running_loop()
        process = int.from_bytes(os.urandom(8), "big") >> 2
        host, port = settings.advertise
        self.incarnation_file = IncarnationFile(folder, settings.name) if folder is not None else None
        before = max(incarnation, self.incarnation_file.read() if self.incarnation_file is not None else 0)
        first = max(int(time.time() * 1000), before + 1)
        own = Row(settings.name, host, port, settings.building, first, process, int(State.ALIVE))
        self.settings = settings
        tuning = Tuning(fleet=fleet, forget_s=settings.forget_s)
        self.detector = Detector(own, tuning, random.Random(os.urandom(16)), self.loop.time())
        self.detector.join(settings.seeds)
        self.sessions = Sessions(process, settings.secret)
        self.sock: socket.socket | None = None
        self.listening: asyncio.Task[asyncio.Server] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.streams: set[asyncio.Task[None]] = set()
        self.unauthenticated: dict[asyncio.Task[None], None] = {}  # oldest first
        self.subscribers: list[Subscriber] = []
        self.carried: Callable[[str, bytes], None] | None = None  # takes (sender, payload) from `carry`
        self.shared: Callable[[], dict[str, Any]] | None = None  # report for streams of role SHARED
        self.reading_paused = False
        self.read_until, self.reading_s = self.loop.time(), 0.0  # CPU time of reading in this tick
        self.sent = self.sent_bytes = self.received = self.received_bytes = self.send_errors = 0
        self.started_at = self.loop.time()
        self.drops_logged, self.drops_logged_at = 0, self.loop.time()

    def start(self) -> None:
        """Listen and join. Raises `OSError` if the address cannot be bound."""
        sock = socket.socket(type=socket.SOCK_DGRAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setblocking(False)
            sock.bind(self.settings.listen)
            listener = socket.create_server(self.settings.listen)
        except OSError:
            sock.close()
            raise
        self.sock = sock
        self.loop.add_reader(sock, self.readable)
        self.listening = self.loop.create_task(asyncio.start_server(self.accept, sock=listener))
        log.info(
            "%s is a member on %s:%d, %d seeds",
            self.settings.name,
            *self.settings.listen,
            len(self.settings.seeds),
        )
        self.tick()

    def stop(self, leave: bool = True) -> None:
        """Stop; announce it to the others if `leave`, unless a successor keeps the name."""
        if self.sock is None:
            return
        if leave:
            self.execute(self.detector.leave(self.loop.time()))
        if self.timer is not None:
            self.timer.cancel()
        if self.listening is not None and self.listening.done():
            self.listening.result().close()
        for stream in self.streams:
            stream.cancel()
        self.loop.remove_reader(self.sock)
        self.sock.close()
        self.sock = None

    # The view

    def members(self, now: float) -> list[Seen]:
        return self.detector.members(now)

    def bounds(self, now: float) -> Bounds:
        return self.detector.bounds(now)

    def subscribe(self, heard: Subscriber) -> None:
        self.subscribers.append(heard)

    def carry(self, name: str, payload: bytes) -> None:
        """Send a payload to the users of the membership at that member; delivered at most once."""
        record = self.detector.table.records.get(name)
        if record is not None:
            data = self.sessions.datagram(Kind.SHARED, record.row.process, payload)
            self.send_datagram(data, (record.row.host, record.row.port))

    # Time and datagrams

    def tick(self) -> None:
        self.timer = self.loop.call_later(TICK_S, self.tick)
        now = self.loop.time()
        if self.reading_paused and self.sock is not None:
            self.reading_paused = False
            self.loop.add_reader(self.sock, self.readable)
        self.drain()  # handle queued answers before probes are judged
        self.execute(self.detector.tick(now))
        if self.incarnation_file is not None:
            self.incarnation_file.store(now, self.detector.table.own.incarnation)
        for seen, there in self.detector.changes(now):
            log.info("member %s is %s", seen.name, "there" if there else seen.state.name.lower())
            for heard in self.subscribers:
                heard(seen, there)
        self.log_drops(now)

    def readable(self) -> None:
        self.drain(READ_BATCH)
        if self.sock is not None and self.reading_s >= READ_SHARE * TICK_S:
            self.loop.remove_reader(self.sock)  # until the next tick, so that a flood does not take the CPU
            self.reading_paused = True

    def drain(self, most: int = 4 * READ_BATCH) -> None:
        now, begun = self.loop.time(), time.thread_time()
        if now >= self.read_until:
            self.read_until, self.reading_s = now + TICK_S, 0.0
        self.take(now, most)
        self.reading_s += time.thread_time() - begun

    def take(self, now: float, most: int) -> None:
        for _ in range(most):
            if self.sock is None:
                return
            try:
                data, source = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:  # on some systems, an ICMP error for an earlier datagram
                log.debug("cannot receive: %s", error)
                return
            self.received += 1
            self.received_bytes += len(data)
            message, replies = self.sessions.open(data, source)
            for answer in replies:
                self.send_datagram(answer, source)
            if isinstance(message, Carried):
                self.deliver(message)
            elif message is not None:
                self.execute(self.detector.receive(now, message))

    def deliver(self, message: Carried) -> None:
        """Hand the payload to the local user if the sender is a present member."""
        for record in self.detector.table.there.values():
            if record.row.process == message.process and self.carried is not None:
                self.carried(record.row.name, message.payload)
                return

    def execute(self, outputs: Iterable[Output]) -> None:
        for output in outputs:
            match output:
                case Send():
                    self.send_datagram(self.sessions.seal(output), output.to)
                case Exchange():
                    if len(self.streams) < MAX_STREAMS:
                        self.track(self.loop.create_task(self.exchange(output.to)))
                case Warn():
                    log.warning("%s", output.text)

    def send_datagram(self, data: bytes, to: tuple[str, int]) -> None:
        if self.sock is None:
            return
        try:
            self.sock.sendto(data, to)
        except OSError as error:
            self.send_errors += 1
            log.warning("cannot send to %s:%d: %s", *to, error)
            self.detector.failing()
            return
        self.sent += 1
        self.sent_bytes += len(data)

    def log_drops(self, now: float) -> None:
        """Log the counts of dropped datagrams, if they rose."""
        bad = sum(self.sessions.drops.values())
        if bad > self.drops_logged and now - self.drops_logged_at >= DROP_LOG_INTERVAL_S:
            why = ", ".join(f"{n} {kind.value}" for kind, n in self.sessions.drops.items() if n)
            log.warning("%d datagrams were dropped since the start: %s", bad, why)
            self.drops_logged, self.drops_logged_at = bad, now

    # Streams

    def track(self, task: asyncio.Task[None]) -> None:
        self.streams.add(task)
        task.add_done_callback(self.streams.discard)

    async def exchange(self, to: tuple[str, int]) -> None:
        """Send all rows to the member there, and merge its rows."""
        try:
            async with asyncio.timeout(STREAM_TIMEOUT_S):
                args = (Role.MEMBER, self.sessions.process, self.settings.secret, self.rows())
                rows = await call(to, *args, source=self.settings.listen[0])
                self.execute(self.detector.merge(self.loop.time(), decode_rows(rows)))
        except (OSError, TimeoutError, WireError, asyncio.IncompleteReadError) as error:
            log.debug("exchange with %s:%d failed: %r", *to, error)

    def rows(self) -> bytes:
        return encode_rows(self.detector.table.all_rows())

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None, "asyncio runs each stream in a task"
        if len(self.streams) >= MAX_STREAMS:
            if not self.unauthenticated:
                writer.close()
                return
            oldest = next(iter(self.unauthenticated))
            del self.unauthenticated[oldest]
            oldest.cancel()  # idle clients must not lock out members
        self.track(task)
        self.unauthenticated[task] = None
        stream = Stream(Role.MEMBER, self.sessions.process, self.settings.secret, os.urandom(16), calls=False)
        try:
            async with asyncio.timeout(STREAM_TIMEOUT_S):
                writer.write(stream.greeting)
                payload = None
                while payload is None:
                    data = await reader.read(65_536)
                    if not data:
                        return
                    payload = stream.receive(data)
                self.unauthenticated.pop(task, None)
                if stream.role is Role.SHOW:
                    writer.write(stream.sealed(json.dumps(self.report()).encode()))
                elif stream.role is Role.SHARED:
                    shared = self.shared() if self.shared is not None else {}
                    writer.write(stream.sealed(json.dumps(shared).encode()))
                else:
                    writer.write(stream.sealed(self.rows()))
                    self.execute(self.detector.merge(self.loop.time(), decode_rows(payload)))
                await writer.drain()
        except WireError as error:
            self.sessions.drops[DropReason.SECRET if "secret" in str(error) else DropReason.FORM] += 1
        except (OSError, TimeoutError):
            pass
        finally:
            self.unauthenticated.pop(task, None)
            writer.close()

    # For operators

    def report(self) -> dict[str, Any]:
        """Report for the `members` command; times in seconds."""
        now, detector = self.loop.time(), self.detector
        uptime_s = max(now - self.started_at, 1e-3)
        bounds = self.bounds(now)
        return {
            "name": self.settings.name,
            "address": "{}:{}".format(*self.settings.advertise),
            "process": self.sessions.process,
            "doubt": detector.ill,
            "alone": detector.alone(now) and len(detector.table.records) > 1,
            "displaced": detector.table.displaced,
            "least": bounds.least,
            "most": bounds.most,
            "leased": bounds.leased,
            "digest": f"{detector.table.digest:016x}",
            "sent_bytes": self.sent_bytes,
            "sent_per_s": round(self.sent / uptime_s, 2),
            "sent_bytes_per_s": round(self.sent_bytes / uptime_s, 1),
            "received_per_s": round(self.received / uptime_s, 2),
            "received_bytes_per_s": round(self.received_bytes / uptime_s, 1),
            "send_errors": self.send_errors,
            "dropped": {kind.name.lower(): n for kind, n in self.sessions.drops.items()},
            "counts": asdict(detector.counts),
            "members": [
                {
                    "name": seen.name,
                    "address": f"{seen.address[0]}:{seen.address[1]}",
                    "building": seen.building,
                    "incarnation": seen.incarnation,
                    "process": detector.table.records[seen.name].row.process,
                    "state": seen.state.name.lower(),
                    "held": detector.table.records[seen.name].state.name.lower(),
                    "for_s": round(now - seen.since, 1),
                    "one_way": seen.one_way,
                }
                for seen in self.members(now)
            ],
        }


async def call(
    to: tuple[str, int], role: Role, process: int, secret: bytes, payload: bytes, source: str = ""
) -> bytes:
    """Send one request over a stream and return the answer. `source`: local host to connect from. Raises
    `OSError`, or `WireError` if the peer is no member of this fleet."""
    local = (source, 0) if source not in ANY_HOST else None
    reader, writer = await asyncio.open_connection(*to, local_addr=local)
    try:
        stream = Stream(role, process, secret, os.urandom(16), calls=True)
        writer.write(stream.greeting)
        answer = stream.receive(await reader.readexactly(HELLO.size))
        writer.write(stream.sealed(payload))
        while answer is None:
            data = await reader.read(65_536)
            if not data:
                raise WireError("the other side ended the stream: the shared secrets differ, or it is busy")
            answer = stream.receive(data)
        return answer
    finally:
        writer.close()
