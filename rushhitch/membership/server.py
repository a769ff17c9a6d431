"""The shell round the detector: one socket for datagrams, one listener for exchanges, one timer.

Imported only where `[membership]` is set. Nothing is decided here.
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
    MOST_DATAGRAM,
    Bad,
    Carried,
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
READ_AT_ONCE = 64  # datagrams taken in one go: then the loop sees to others
READ_SHARE = 0.3  # of a core: what cannot be read in that is left to the socket's buffer, and lost there
BUFFER = 1 << 18  # bytes of the socket's receive buffer
STREAM_S = 5.0  # an exchange has to be over by then
MOST_STREAMS = 16  # at a time
TOLD_S = 10.0  # between two lines on datagrams that were dropped
ANY_HOST = ("", "0.0.0.0")


class Server:
    """One member. It is a `View` (`rushhitch.membership.view`)."""

    def __init__(
        self, told: MembershipSettings, fleet: int, incarnation: int = 0, folder: Path | None = None
    ) -> None:
        """`fleet` is how many operators run at most; `incarnation` one that an earlier process had, if it is
        known, and `folder` where it is kept, if it is: neither is needed."""
        self.loop = asyncio.get_running_loop()
        process = int.from_bytes(os.urandom(8), "big") >> 2
        host, port = told.advertise
        self.incarnation_file = IncarnationFile(folder, told.name) if folder is not None else None
        before = max(incarnation, self.incarnation_file.read() if self.incarnation_file is not None else 0)
        first = max(int(time.time() * 1000), before + 1)
        own = Row(told.name, host, port, told.building, first, process, int(State.ALIVE))
        self.told = told
        tuning = Tuning(fleet=fleet, forget_s=told.forget_s)
        self.detector = Detector(own, tuning, random.Random(os.urandom(16)), self.loop.time())
        self.detector.join(told.seeds)
        self.sessions = Sessions(process, told.secret)
        self.sock: socket.socket | None = None
        self.listening: asyncio.Task[asyncio.Server] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.streams: set[asyncio.Task[None]] = set()
        self.unproved: dict[asyncio.Task[None], None] = {}  # who has shown no secret yet
        self.subscribers: list[Subscriber] = []
        self.carried: Callable[[str, bytes], None] | None = None  # takes what other users of it send
        self.shared: Callable[[], dict[str, Any]] | None = None  # what `shared` shows
        self.deaf = False
        self.read_until, self.reading_s = self.loop.time(), 0.0  # processor time of this tick's reading
        self.sent = self.sent_bytes = self.came = self.came_bytes = self.send_errors = 0
        self.started_at = self.loop.time()
        self.bad_told, self.bad_told_at = 0, self.loop.time()

    def start(self) -> None:
        """Listen and join. Raises `OSError` where the address is not to be had."""
        sock = socket.socket(type=socket.SOCK_DGRAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            sock.setblocking(False)
            sock.bind(self.told.listen)
            listener = socket.create_server(self.told.listen)
        except OSError:
            sock.close()
            raise
        self.sock = sock
        self.loop.add_reader(sock, self.readable)
        self.listening = self.loop.create_task(asyncio.start_server(self.accept, sock=listener))
        log.info("%s is a member on %s:%d, %d seeds", self.told.name, *self.told.listen, len(self.told.seeds))
        self.tick()

    def stop(self, leave: bool = True) -> None:
        """End; with a word to the others, unless another process goes on under the name."""
        if self.sock is None:
            return
        if leave:
            self.act(self.detector.leave(self.loop.time()))
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
        """Send that to the member of the name, for its user there. It may be lost, and comes once at most."""
        record = self.detector.table.records.get(name)
        if record is not None:
            data = self.sessions.datagram(Kind.SHARED, record.row.process, payload)
            self.put(data, (record.row.host, record.row.port))

    # Time and datagrams

    def tick(self) -> None:
        self.timer = self.loop.call_later(TICK_S, self.tick)
        now = self.loop.time()
        if self.deaf and self.sock is not None:
            self.deaf = False
            self.loop.add_reader(self.sock, self.readable)
        self.drain()  # what waited in the socket is taken before anybody is judged
        self.act(self.detector.tick(now))
        if self.incarnation_file is not None:
            self.incarnation_file.store(now, self.detector.table.own.incarnation)
        for seen, there in self.detector.changes(now):
            log.info("member %s is %s", seen.name, "there" if there else seen.state.name.lower())
            for heard in self.subscribers:
                heard(seen, there)
        self.tell_bad(now)

    def readable(self) -> None:
        self.drain(READ_AT_ONCE)
        if self.sock is not None and self.reading_s >= READ_SHARE * TICK_S:
            self.loop.remove_reader(self.sock)  # until the next tick: a flood does not take the processor
            self.deaf = True

    def drain(self, most: int = 4 * READ_AT_ONCE) -> None:
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
                data, source = self.sock.recvfrom(MOST_DATAGRAM + 1)
            except BlockingIOError:
                return
            except OSError as error:  # of a datagram that found nobody, on some systems
                log.debug("nothing is received: %s", error)
                return
            self.came += 1
            self.came_bytes += len(data)
            message, back = self.sessions.open(data, source)
            for answer in back:
                self.put(answer, source)
            if isinstance(message, Carried):
                self.pass_on(message)
            elif message is not None:
                self.act(self.detector.receive(now, message))

    def pass_on(self, message: Carried) -> None:
        """To this process's user of the membership, where the sender is a member that is held here."""
        for record in self.detector.table.there.values():
            if record.row.process == message.process and self.carried is not None:
                self.carried(record.row.name, message.payload)
                return

    def act(self, outputs: Iterable[Output]) -> None:
        for output in outputs:
            match output:
                case Send():
                    self.put(self.sessions.seal(output), output.to)
                case Exchange():
                    if len(self.streams) < MOST_STREAMS:
                        self.keep(self.loop.create_task(self.exchange(output.to)))
                case Warn():
                    log.warning("%s", output.text)

    def put(self, data: bytes, to: tuple[str, int]) -> None:
        if self.sock is None:
            return
        try:
            self.sock.sendto(data, to)
        except OSError as error:
            self.send_errors += 1
            log.warning("nothing can be sent to %s:%d: %s", *to, error)
            self.detector.failing()
            return
        self.sent += 1
        self.sent_bytes += len(data)

    def tell_bad(self, now: float) -> None:
        """One line for all that was dropped since the last."""
        bad = sum(self.sessions.bad.values())
        if bad > self.bad_told and now - self.bad_told_at >= TOLD_S:
            why = ", ".join(f"{n} {kind.value}" for kind, n in self.sessions.bad.items() if n)
            log.warning("%d datagrams were dropped since the start: %s", bad, why)
            self.bad_told, self.bad_told_at = bad, now

    # Streams

    def keep(self, task: asyncio.Task[None]) -> None:
        self.streams.add(task)
        task.add_done_callback(self.streams.discard)

    async def exchange(self, to: tuple[str, int]) -> None:
        """Send all rows, and take all of theirs."""
        try:
            async with asyncio.timeout(STREAM_S):
                words = (Role.MEMBER, self.sessions.process, self.told.secret, self.rows())
                rows = await call(to, *words, source=self.told.listen[0])
                self.act(self.detector.merge(self.loop.time(), decode_rows(rows)))
        except (OSError, TimeoutError, WireError, asyncio.IncompleteReadError) as error:
            log.debug("no exchange with %s:%d: %r", *to, error)

    def rows(self) -> bytes:
        return encode_rows(self.detector.table.all_rows())

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None, "a stream is served by a task of its own"
        if len(self.streams) >= MOST_STREAMS:
            if not self.unproved:
                writer.close()
                return
            oldest = next(iter(self.unproved))
            del self.unproved[oldest]
            oldest.cancel()  # whoever keeps silent gives way
        self.keep(task)
        self.unproved[task] = None
        stream = Stream(Role.MEMBER, self.sessions.process, self.told.secret, os.urandom(16), calls=False)
        try:
            async with asyncio.timeout(STREAM_S):
                writer.write(stream.greeting)
                payload = None
                while payload is None:
                    data = await reader.read(65_536)
                    if not data:
                        return
                    payload = stream.receive(data)
                self.unproved.pop(task, None)
                if stream.role is Role.SHOW:
                    writer.write(stream.sealed(json.dumps(self.report()).encode()))
                elif stream.role is Role.SHARED:
                    told = self.shared() if self.shared is not None else {}
                    writer.write(stream.sealed(json.dumps(told).encode()))
                else:
                    writer.write(stream.sealed(self.rows()))
                    self.act(self.detector.merge(self.loop.time(), decode_rows(payload)))
                await writer.drain()
        except WireError as error:
            self.sessions.bad[Bad.SECRET if "secret" in str(error) else Bad.FORM] += 1
        except (OSError, TimeoutError):
            pass
        finally:
            self.unproved.pop(task, None)
            writer.close()

    # For operators

    def report(self) -> dict[str, Any]:
        """What `members` shows; times in seconds."""
        now, detector = self.loop.time(), self.detector
        lasted = max(now - self.started_at, 1e-3)
        bounds = self.bounds(now)
        return {
            "name": self.told.name,
            "address": "{}:{}".format(*self.told.advertise),
            "process": self.sessions.process,
            "doubt": detector.ill,
            "alone": detector.alone(now) and len(detector.table.records) > 1,
            "displaced": detector.table.displaced,
            "least": bounds.least,
            "most": bounds.most,
            "leased": bounds.leased,
            "digest": f"{detector.table.digest:016x}",
            "sent_bytes": self.sent_bytes,
            "sent_per_s": round(self.sent / lasted, 2),
            "sent_bytes_per_s": round(self.sent_bytes / lasted, 1),
            "received_per_s": round(self.came / lasted, 2),
            "received_bytes_per_s": round(self.came_bytes / lasted, 1),
            "send_errors": self.send_errors,
            "dropped": {kind.name.lower(): n for kind, n in self.sessions.bad.items()},
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
    """One question over a stream, from the source's host where one is told, and its answer. Raises `OSError`,
    or `WireError` where the other side is no member of this fleet."""
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
