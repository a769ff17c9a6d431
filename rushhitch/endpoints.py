"""Calls to the endpoints: the connection pool, single calls, batches, probes, and what came of each."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace

import h11

from crowpier.interface import Outcome, Settings, State
from rushhitch.connection import Connection

log = logging.getLogger(__name__)

MOST_ANSWER = 65_536
MOST_IDLE = 128  # connections: beyond this the one that has idled longest is closed
IDLE_MARGIN = 0.1  # of the idle time of connections: so long before its end one is not used any more
ENDS = {  # of a message in a batch: its outcome, and whether the message is over
    b"accepted": (Outcome.OK, True),
    b"fault": (Outcome.ERROR, False),
    b"deferred": (Outcome.FULL, False),
    b"expired": (Outcome.MOOT, True),
    b"no_more": (Outcome.MOOT, False),
}


@dataclass(frozen=True, slots=True)
class Place:
    """Where an endpoint is and what binds it; `lane` is what a told wait holds for."""

    address: tuple[str, int]
    lane: object
    batch: int
    state: State


@dataclass(frozen=True, slots=True)
class Attempt:
    """One message in a call."""

    message: int
    number: int
    id: bytes
    body: bytes
    stop_at: float  # by the clock of the event loop, in seconds


@dataclass(frozen=True, slots=True)
class Result:
    """How an attempt ended; `over` says that the message is finished, however that came."""

    attempt: Attempt
    endpoint: str
    outcome: Outcome
    took_ms: float
    wait_ms: float = 0.0
    over: bool = False


@dataclass(slots=True, eq=False)
class Call:
    """One request out: a message, or several."""

    endpoint: str
    started: float
    open: dict[tuple[int, int], Attempt]
    timers: list[asyncio.TimerHandle] = field(default_factory=list)
    task: asyncio.Task[None] | None = None


def told_wait(response: h11.Response) -> float:
    """The milliseconds of `X-Come-Back-Ms`; none if it makes no sense."""
    for name, value in response.headers:
        if name == b"x-come-back-ms":
            try:
                wait = float(value)
            except ValueError:
                return 0.0
            return wait if 0 < wait < math.inf else 0.0
    return 0.0


def head_outcome(response: h11.Response) -> tuple[Outcome, bool]:
    """What the head of an answer says of all messages in its call; the second is whether they are over."""
    match response.status_code:
        case 200:
            return Outcome.OK, True
        case 410:
            return Outcome.MOOT, True
        case 504:
            return Outcome.MOOT, False
        case 429:
            return Outcome.FULL, False
        case 503:
            busy = any(name == b"x-line-busy" and value == b"1" for name, value in response.headers)
            return (Outcome.MOOT if busy else Outcome.FULL), False
    return Outcome.ERROR, False  # it may have run


class Endpoints:
    """Carries out sends, cancels, probes and hang-ups; hands each result to `report`."""

    def __init__(self, settings: Settings, report: Callable[[Result], None]) -> None:
        self.settings, self.report = settings, report
        self.loop = asyncio.get_running_loop()
        self.places: dict[str, Place] = {}
        self.idle: dict[str, list[tuple[Connection, float]]] = {}
        self.calls: dict[tuple[int, int], Call] = {}
        self.waits: dict[object, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.keep_s = settings.conn_idle_ms * (1.0 - IDLE_MARGIN) / 1000.0

    def place(self, endpoint: str, place: Place) -> None:
        """The endpoint is listed here from now on."""
        old = self.places.get(endpoint)
        self.places[endpoint] = place
        if old is not None and old.address != place.address:
            self.hang_up(endpoint)

    def bar(self, endpoint: str) -> None:
        """The endpoint is no longer listed."""
        self.places[endpoint] = replace(self.places[endpoint], state=State.GONE)

    # Connections

    def take(self, endpoint: str) -> Connection | None:
        """The connection that was used last, unless it has idled too long or is no longer quiet."""
        while idle := self.idle.get(endpoint):
            connection, since = idle.pop()
            self.loop.remove_reader(connection.sock)
            if self.loop.time() - since < self.keep_s and connection.quiet():
                return connection
            connection.close()
        return None

    def put(self, endpoint: str, connection: Connection) -> None:
        now = self.loop.time()
        idle = self.idle.setdefault(endpoint, [])
        while idle and now - idle[0][1] >= self.keep_s:
            self.drop(endpoint, idle[0])
        if sum(map(len, self.idle.values())) >= MOST_IDLE:
            longest = min(
                (name for name in self.idle if self.idle[name]), key=lambda name: self.idle[name][0][1]
            )
            self.drop(longest, self.idle[longest][0])
        idle.append((connection, now))
        self.loop.add_reader(connection.sock, self.drop, endpoint, idle[-1])

    def drop(self, endpoint: str, entry: tuple[Connection, float]) -> None:
        """Close an idle connection: it is too old, or its other side ended it or sent what nobody asked."""
        self.idle[endpoint].remove(entry)
        self.loop.remove_reader(entry[0].sock)
        entry[0].close()

    def hang_up(self, endpoint: str) -> None:
        for entry in list(self.idle.get(endpoint, ())):
            self.drop(endpoint, entry)

    async def connect(self, endpoint: str) -> Connection:
        async with asyncio.timeout(self.settings.connect_timeout_ms / 1000.0):
            return await Connection.open(self.places[endpoint].address)

    # Calls

    def send(self, endpoint: str, attempts: list[Attempt]) -> None:
        """Start the calls that one turn's attempts at an endpoint make."""
        size = self.places[endpoint].batch
        for start in range(0, len(attempts), size):
            self.start(endpoint, attempts[start : start + size])

    def start(self, endpoint: str, attempts: list[Attempt]) -> None:
        call = Call(endpoint, self.loop.time(), {(a.message, a.number): a for a in attempts})
        for key, attempt in call.open.items():
            self.calls[key] = call
            if len(attempts) > 1 and self.settings.second_copies:
                call.timers.append(self.loop.call_at(attempt.stop_at, self.stop_waiting, call, attempt))
        call.task = self.keep_task(self.run(call, attempts))

    def keep_task(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def stop_waiting(self, call: Call, attempt: Attempt) -> None:
        """One message's time in a batch is up; the others go on waiting, and the last ends the call."""
        if (attempt.message, attempt.number) in call.open and len(call.open) > 1:
            self.end(call, attempt, Outcome.TIMEOUT)

    def cancel(self, message: int, number: int) -> None:
        call = self.calls.get((message, number))
        if call is None:
            return
        if len(call.open) > 1:
            self.end(call, call.open[message, number], Outcome.CANCELLED)
        elif call.task is not None:
            call.task.cancel()

    def end(
        self, call: Call, attempt: Attempt, outcome: Outcome, over: bool = False, wait: float = 0.0
    ) -> None:
        key = (attempt.message, attempt.number)
        if call.open.pop(key, None) is None:
            return
        del self.calls[key]
        took = (self.loop.time() - call.started) * 1000.0
        self.report(Result(attempt, call.endpoint, outcome, took, wait, over))

    def end_all(self, call: Call, outcome: Outcome, over: bool = False, wait: float = 0.0) -> None:
        for attempt in list(call.open.values()):
            self.end(call, attempt, outcome, over, wait)

    async def run(self, call: Call, attempts: list[Attempt]) -> None:
        """One call from its connection to its outcome; whatever goes wrong, each attempt gets one."""
        connection = None
        stops = [attempt.stop_at for attempt in attempts]
        copies = len(attempts) == 1 or self.settings.second_copies
        broken = Outcome.RESET
        try:
            async with asyncio.timeout_at(max(stops) if copies else min(stops)):
                connection = self.take(call.endpoint) or await self.connect(call.endpoint)
                connection.written = False
                if not self.barred(call.endpoint):
                    await self.request(connection, call, attempts)
                    await self.answer(connection, call, len(attempts) > 1)
                else:
                    self.end_all(call, Outcome.MOOT)
                    self.put(call.endpoint, connection)
                    connection = None
                    return
            if connection.next_cycle():
                self.put(call.endpoint, connection)
                connection = None
        except TimeoutError:
            broken = Outcome.TIMEOUT
        except asyncio.CancelledError:
            self.end_all(call, Outcome.CANCELLED)
        except (OSError, h11.ProtocolError) as error:
            log.debug("call to %s broke: %r", call.endpoint, error)
        except Exception:
            log.exception("call to %s failed", call.endpoint)
        finally:
            for timer in call.timers:
                timer.cancel()
            written = connection is not None and connection.written
            if connection is not None:
                connection.close()
            self.end_all(call, broken if written else Outcome.CONNECT_FAILED)

    def barred(self, endpoint: str) -> bool:
        """Guards against a send that was decided before its connection came up: by then a wait may have been
        told, or the endpoint may be draining."""
        place = self.places[endpoint]
        return place.state is not State.READY or self.waits.get(place.lane, 0.0) > self.loop.time()

    async def request(self, connection: Connection, call: Call, attempts: list[Attempt]) -> None:
        left = max(attempt.stop_at for attempt in attempts) - self.loop.time()
        headers = [(b"X-Time-Left-Ms", b"%d" % max(left * 1000.0, 1.0))]
        if len(attempts) == 1:
            headers.append((b"X-Correlation-Id", attempts[0].id))
            await connection.send("POST", "/receive", headers, attempts[0].body)
        else:
            lines = (b"%s - %d\r\n%s\r\n" % (a.id, len(a.body), a.body) for a in attempts)
            await connection.send("POST", "/receive-many", headers, b"".join(lines))

    async def answer(self, connection: Connection, call: Call, batch: bool) -> None:
        response = await connection.response()
        wait = told_wait(response)
        if wait:
            lane = self.places[call.endpoint].lane
            self.waits[lane] = max(self.waits.get(lane, 0.0), self.loop.time() + wait / 1000.0)
        if not batch or response.status_code != 200:
            self.end_all(call, *head_outcome(response), wait)
            await connection.body(MOST_ANSWER)
            return
        lines = (await connection.body(MOST_ANSWER)).split(b"\r\n")
        told = dict(line.split(b" ", 1) for line in lines if b" " in line)
        for attempt in list(call.open.values()):
            # What the answer leaves out, or tells in other words, may have run.
            outcome, over = ENDS.get(told.get(attempt.id, b"").strip(), (Outcome.ERROR, False))
            self.end(call, attempt, outcome, over, wait)

    # Probes

    def probe(self, endpoint: str, report: Callable[[str, Outcome, float], None]) -> None:
        self.keep_task(self.run_probe(endpoint, report))

    async def run_probe(self, endpoint: str, report: Callable[[str, Outcome, float], None]) -> None:
        started, connection, outcome = self.loop.time(), None, Outcome.CONNECT_FAILED
        try:
            async with asyncio.timeout(self.settings.connect_timeout_ms / 1000.0):
                connection = self.take(endpoint) or await self.connect(endpoint)
                await connection.send("GET", "/alive", [])
                outcome, _ = head_outcome(await connection.response())
                await connection.body(MOST_ANSWER)
            if connection.next_cycle():
                self.put(endpoint, connection)
                connection = None
        except TimeoutError:
            outcome = Outcome.TIMEOUT if connection is not None else outcome
        except (OSError, h11.ProtocolError):
            outcome = Outcome.RESET if connection is not None and connection.written else outcome
        finally:
            if connection is not None:
                connection.close()
            report(endpoint, outcome, (self.loop.time() - started) * 1000.0)
