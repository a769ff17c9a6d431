"""Calls to the endpoints: the connection pool, single calls, batches, probes, and what came of each."""

from __future__ import annotations

import asyncio
import errno
import functools
import logging
import math
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace

import h11

from crowpier.interface import Outcome, Settings, State
from rushhitch.connection import Connection, Headers, NotSent
from rushhitch.partners.codec import Attempt, AttemptResult, Codec, ResultsById
from rushhitch.partners.platform import Platform, result_from_head

log = logging.getLogger(__name__)

MOST_ANSWER = 65_536
ASK_S = 5.0  # a request without a message has its answer by then, or none
REST_S = 0.5  # an answer that has begun comes to its end in that time, or it is spoilt
LATE_LOOKS = 2.0  # before a window ends, a repeat begins: one is made, one is for its last byte's way
LAST_LOOK_S = 0.05  # at the end of the process: an answer that never ends is not read for longer
QUIET_TURNS = 3  # of the loop, until what was read of an answer has reached its call
IDLE_MARGIN = 0.1  # of the idle time of connections: so long before its end one is not used any more
PLATFORM = Platform()
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """Where an endpoint is and what binds it; `lane` is what a told wait holds for."""

    address: tuple[str, int]
    lane: object
    batch: int
    state: State
    codec: Codec = PLATFORM


@dataclass(frozen=True, slots=True)
class Result:
    """How an attempt ended; `over` says that the message is finished, however that came. `idled_ms` is how
    long its connection had stood idle, 0 if it was new or never came up; `kept`, whether it is idle again;
    `first_due`, when the first message of its call is out of time."""

    attempt: Attempt
    endpoint: str
    outcome: Outcome
    took_ms: float
    wait_ms: float = 0.0
    over: bool = False
    idled_ms: float = 0.0
    kept: bool = False
    first_due: float = math.inf
    later: bool = False
    final: bool = False  # no further attempt can succeed


@dataclass(slots=True, eq=False)
class Call:
    """One request out: a message, or several."""

    endpoint: str
    started: float
    open: dict[tuple[int, int], Attempt]
    ids: list[bytes]
    codec: Codec = PLATFORM
    first_due: float = math.inf
    wait: float = 0.0  # told by its answer
    idled_ms: float = 0.0
    kept: bool = False
    later: bool = False  # its answer says that an acknowledgement is to come
    task: asyncio.Task[None] | None = None
    written: bool = False  # its last byte has gone out
    recalled: bool = False  # it is not to go out any more
    recorded: bool = False  # the journal tells of it
    connection: Connection | None = None  # once it is up


Going = Callable[[list[Attempt]], None]  # hears which attempts of a call are to be written


def start_by(attempts: list[Attempt]) -> float:
    """When the first window of a call's keys ends, or its connection has taken too long."""
    return min(attempt.start_by for attempt in attempts)


class NoRoom(OSError):
    """No connection may be opened, or none can for want of a descriptor, and each one there has a call on it:
    that says nothing of the endpoint."""


class EndpointPool:
    """Carries out sends, cancels, probes and hang-ups; hands each result to `report`."""

    def __init__(
        self,
        settings: Settings,
        report: Callable[[Result], None],
        dropped: Callable[[str], None] = lambda endpoint: None,
        most: int = 256,
        withdrawn: Callable[[str], None] = lambda endpoint: None,
        begin: Callable[[str, list[Attempt], Going], None] = lambda endpoint, attempts, go: go(attempts),
        may_send: Callable[[Attempt], bool] = lambda attempt: True,
    ) -> None:
        self.settings, self.report, self.dropped = settings, report, dropped
        self.withdrawn = withdrawn  # an endpoint said that it wants nothing any more
        self.begin = begin  # before the last byte of a call
        self.may_send = may_send  # asked in the step of its last byte
        self.most = most  # connections, with a call or idle
        self.loop = asyncio.get_running_loop()
        self.entries: dict[str, EndpointEntry] = {}
        self.idle: dict[str, list[tuple[Connection, float]]] = {}
        self.connections = 0
        self.busy: Counter[str] = Counter()  # calls and probes out, by endpoint
        self.calls: dict[tuple[int, int], Call] = {}
        self.waits: dict[object, float] = {}
        self.banned: set[str] = set()  # by operators, listed or not
        self.frozen = False  # nothing new starts, another process goes on
        self.held_back = 0  # calls whose last byte was not written, since something spoke against it by then
        self.written = 0  # messages whose call's last byte has gone out
        self.tasks: set[asyncio.Task[None]] = set()
        self.keep_s = settings.conn_idle_ms * (1.0 - IDLE_MARGIN) / 1000.0

    def place(self, endpoint: str, place: EndpointEntry) -> None:
        """The endpoint is listed here from now on."""
        old = self.entries.get(endpoint)
        self.entries[endpoint] = place
        if place.state is not State.READY or (old is not None and old.address != place.address):
            for entry in list(self.idle.get(endpoint, ())):
                self.drop(endpoint, entry)

    def drain(self, endpoint: str) -> None:
        """It wants nothing new."""
        if endpoint in self.entries:
            self.place(endpoint, replace(self.entries[endpoint], state=State.DRAINING))

    def bar(self, endpoint: str) -> None:
        """The endpoint is no longer listed."""
        if endpoint in self.entries:
            self.entries[endpoint] = replace(self.entries[endpoint], state=State.GONE)
            self.hang_up(endpoint)
            self.forget(endpoint)

    def ban(self, endpoint: str) -> None:
        """Nothing new goes there; calls under way may end."""
        self.banned.add(endpoint)
        self.hang_up(endpoint)

    def unban(self, endpoint: str) -> None:
        self.banned.discard(endpoint)

    async def freeze(self) -> None:
        """Start nothing more, and call back what has not been written whole: that never ran. The other calls
        go on."""
        self.frozen = True
        called_back = []
        for call in {id(call): call for call in self.calls.values()}.values():
            if not call.written and call.task is not None:
                call.recalled = True
                call.task.cancel()
                called_back.append(call.task)
        if called_back:
            await asyncio.wait(called_back)
        for endpoint in list(self.idle):
            self.hang_up(endpoint)

    async def hear_out(self) -> None:
        """Before the process ends: what the system holds of answers counts, whole or as far as it proves
        anything, and then the calls that are out end."""
        until, quiet = self.loop.time() + LAST_LOOK_S, 0
        while self.calls and quiet < QUIET_TURNS and self.loop.time() < until:
            await asyncio.sleep(0)
            written = (call.connection for call in self.calls.values() if call.written)
            quiet = 0 if any(held is not None and not held.has_no_input() for held in written) else quiet + 1
        tasks = {call.task for call in self.calls.values() if call.task is not None}
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def forget(self, endpoint: str) -> None:
        """Guards against growth where endpoints come and go: of one that is gone only a wait is kept."""
        if not self.busy[endpoint]:
            del self.busy[endpoint]
            place = self.entries.get(endpoint)
            if place is not None and place.state is State.GONE:
                del self.entries[endpoint]
                now = self.loop.time()
                self.waits = {lane: until for lane, until in self.waits.items() if until > now}

    # Connections

    def take(self, endpoint: str) -> tuple[Connection, float] | None:
        """The connection used last and how long it idled, unless that is too long or it is not quiet."""
        while idle := self.idle.get(endpoint):
            connection, since = idle[-1]
            idled = self.loop.time() - since
            if idled < self.keep_s and connection.has_no_input():
                self.unlist(endpoint, idle[-1])
                return connection, idled
            self.drop(endpoint, idle[-1])
        return None

    def put(self, endpoint: str, connection: Connection) -> None:
        """Keep the connection for a further call, if that may still come."""
        now = self.loop.time()
        while (idle := self.idle.get(endpoint)) and now - idle[0][1] >= self.keep_s:
            self.drop(endpoint, idle[0])
        place = self.entries.get(endpoint)
        barred = self.frozen or endpoint in self.banned
        if barred or place is None or place.state is not State.READY or place.address != connection.address:
            self.close(connection)
            return
        entry = (connection, now)
        self.idle.setdefault(endpoint, []).append(entry)
        self.loop.add_reader(connection.sock, self.drop, endpoint, entry)

    def unlist(self, endpoint: str, entry: tuple[Connection, float]) -> None:
        self.loop.remove_reader(entry[0].sock)
        self.idle[endpoint].remove(entry)
        if not self.idle[endpoint]:
            del self.idle[endpoint]

    def drop(self, endpoint: str, entry: tuple[Connection, float]) -> None:
        """Close an idle connection: it is too old, or its other side ended it or sent what nobody asked."""
        self.unlist(endpoint, entry)
        self.close(entry[0])
        self.dropped(endpoint)

    def hang_up(self, endpoint: str) -> None:
        for entry in list(self.idle.get(endpoint, ())):
            self.unlist(endpoint, entry)
            self.close(entry[0])

    def close(self, connection: Connection) -> None:
        connection.close()
        self.connections -= 1

    async def connect(self, endpoint: str) -> Connection:
        if self.connections >= self.most:
            self.let_one_go(f"{self.most} connections are open")
        self.connections += 1
        try:
            async with asyncio.timeout(self.settings.connect_timeout_ms / 1000.0):
                while True:
                    try:
                        return await Connection.open(self.entries[endpoint].address)
                    except OSError as error:
                        if error.errno not in NO_DESCRIPTOR:
                            raise
                        self.let_one_go(str(error))
        except BaseException:
            self.connections -= 1
            raise

    def let_one_go(self, why: str) -> None:
        """The connection that has idled longest makes room for another; a `NoRoom` where none idles."""
        if not self.idle:
            raise NoRoom(why)
        longest = min(self.idle, key=lambda name: self.idle[name][0][1])
        self.drop(longest, self.idle[longest][0])

    # Calls

    def send(self, endpoint: str, attempts: list[Attempt]) -> None:
        """Start the calls that one turn's attempts at an endpoint make."""
        if self.frozen or endpoint not in self.entries or endpoint in self.banned:
            for attempt in attempts:
                self.report(Result(attempt, endpoint, Outcome.NOT_EXECUTED, 0.0))
            return
        place = self.entries[endpoint]
        size = place.codec.max_batch_size(place.batch)
        for start in range(0, len(attempts), size):
            self.start(endpoint, attempts[start : start + size])

    def start(self, endpoint: str, attempts: list[Attempt]) -> None:
        open_ = {(a.message, a.number): a for a in attempts}
        first_due = min(attempt.due for attempt in attempts)
        codec = self.entries[endpoint].codec
        call = Call(endpoint, self.loop.time(), open_, [attempt.id for attempt in attempts], codec, first_due)
        self.calls.update(dict.fromkeys(call.open, call))
        call.task = self.keep_task(endpoint, self.run(call, attempts))

    def keep_task(self, endpoint: str, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        self.busy[endpoint] += 1
        task.add_done_callback(lambda task: self.task_done(endpoint, task))
        return task

    def task_done(self, endpoint: str, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.busy[endpoint] -= 1
        self.forget(endpoint)

    def cancel(self, message: int, number: int) -> None:
        call = self.calls.get((message, number))
        if call is None:
            return
        if len(call.open) > 1:
            self.end(call, call.open[message, number], AttemptResult(Outcome.CANCELLED))
        elif call.task is not None:
            call.task.cancel()

    def end(self, call: Call, attempt: Attempt, told: AttemptResult) -> None:
        key = (attempt.message, attempt.number)
        if call.open.pop(key, None) is None:
            return
        del self.calls[key]
        took = (self.loop.time() - call.started) * 1000.0
        self.report(
            Result(
                attempt,
                call.endpoint,
                told.outcome,
                took,
                call.wait,
                told.delivered,
                call.idled_ms,
                call.kept,
                call.first_due,
                told.delivered and call.later,
                told.final,
            )
        )

    def end_all(self, call: Call, told: AttemptResult) -> None:
        for attempt in list(call.open.values()):
            self.end(call, attempt, told)

    async def run(self, call: Call, attempts: list[Attempt]) -> None:
        """One call from its connection to its outcome; whatever goes wrong, each attempt gets one."""
        connection, ends = None, None
        broken = Outcome.RESET
        try:
            # A batch ends as a whole with the first time that is up: once one of its messages is given up, no
            # answer proves anything for the others, and to wait on would hold the slot for nothing.
            async with asyncio.timeout_at(min(attempt.stop_at for attempt in attempts)) as limit:
                while connection is None:
                    connection = call.connection = await self.connected(call)
                    attempts = self.still_open(call, attempts)
                    if self.stopped(connection, call, attempts):
                        broken = Outcome.NOT_EXECUTED
                        break
                    connection.on_response_start = lambda: self.hurry(limit)
                    try:
                        await self.request(connection, call, attempts)
                    except OSError:
                        if not call.idled_ms:
                            raise
                        self.close(connection)  # it had died unseen: the call takes another
                        self.dropped(call.endpoint)
                        connection = None
                else:
                    call.written = True
                    self.written += len(attempts)
                    ends = await self.answer(connection, call)
        except TimeoutError:
            broken = Outcome.TIMEOUT
        except asyncio.CancelledError:
            sent = connection is not None and connection.written
            broken = Outcome.NOT_EXECUTED if call.recalled and not sent else Outcome.CANCELLED
        except NoRoom as error:
            log.warning("not sent to %s: %s", call.endpoint, error)
            broken = Outcome.NOT_EXECUTED
        except NotSent as error:
            self.held_back += 1
            log.info("a call was held back", extra={"endpoint": call.endpoint, "reason": str(error)})
            broken, call.recalled = (
                Outcome.NOT_EXECUTED,
                True,
            )  # most of it is written: its connection is of no use
        except h11.ProtocolError as error:
            log.debug("the answer of %s is spoilt: %r", call.endpoint, error)
            broken = Outcome.ERROR
        except OSError as error:
            log.debug("call to %s broke: %r", call.endpoint, error)
        except Exception:
            log.exception("call to %s failed", call.endpoint)
        finally:
            if connection is not None:
                self.leave(connection, call, broken)
            if ends is not None:
                for attempt in list(call.open.values()):
                    self.end(call, attempt, ends[attempt.id])
            self.end_all(call, self.broken(connection, call, broken))

    async def connected(self, call: Call) -> Connection:
        if taken := self.take(call.endpoint):
            connection, idled = taken
            call.idled_ms = max(idled * 1000.0, 1e-3)
        else:
            call.idled_ms = 0.0
            connection = await self.connect(call.endpoint)
        connection.written, connection.response_start = False, b""
        return connection

    def hurry(self, limit: asyncio.Timeout) -> None:
        """Guards against an answer that never ends."""
        stop = limit.when()
        assert stop is not None, "a call has a time to stop at"
        limit.reschedule(min(stop, self.loop.time() + REST_S))

    def leave(self, connection: Connection, call: Call, broken: Outcome) -> None:
        """Keep the connection if its call has come to a clean end, or was never written."""
        connection.on_response_start = None
        unused = (
            broken is Outcome.NOT_EXECUTED and not call.recalled
        )  # what was called back may be half written
        call.kept = connection.prepare_next_request() if connection.written else unused
        if call.kept:
            self.put(call.endpoint, connection)
        else:
            self.close(connection)

    @staticmethod
    def broken(connection: Connection | None, call: Call, broken: Outcome) -> AttemptResult:
        """What became of each message of a call that did not come to a clean end."""
        if broken is Outcome.NOT_EXECUTED:
            return AttemptResult(Outcome.NOT_EXECUTED)
        if connection is None or not connection.written:
            return AttemptResult(broken if broken is Outcome.CANCELLED else Outcome.CONNECT_FAILED)
        if len(call.ids) == 1 and call.codec.delivered(connection.response_start):
            call.later = call.codec.expects_acknowledgement(int(connection.response_start[9:12]))
            return AttemptResult(Outcome.OK, delivered=True)
        final = call.codec.final(connection.response_start)
        if broken is Outcome.TIMEOUT and connection.response_start:
            return AttemptResult(Outcome.ERROR, final=final)  # its answer began and did not end
        return AttemptResult(broken, final=final)

    async def record(self, call: Call, attempts: list[Attempt]) -> bool:
        """The journal tells of a call's attempts right before its last byte: what never left is not taken for
        what may have run. Whether that had to wait for the disk; without syncs it is done in this step.
        Raises `NotSent` where the disk does not take it, or one of the messages is over."""
        if call.recorded:
            return False
        if any((attempt.message, attempt.number) not in call.open for attempt in attempts):
            raise NotSent("a message of it is over")
        call.recorded = True
        told: asyncio.Future[list[Attempt]] = self.loop.create_future()
        self.begin(call.endpoint, attempts, lambda going: told.done() or told.set_result(going))
        waited = not told.done()
        if len(await told) < len(attempts):
            raise NotSent("it is not recorded: a message of it is over, or the disk does not take it")
        return waited

    def still_open(self, call: Call, attempts: list[Attempt]) -> list[Attempt]:
        """Those that go into the request which is written in this step. Connecting takes time, and each
        further connection of a call takes it anew."""
        for attempt in list(call.open.values()):
            if not self.may_send(attempt):
                self.end(call, attempt, AttemptResult(Outcome.NOT_EXECUTED))
        attempts = [attempt for attempt in attempts if (attempt.message, attempt.number) in call.open]
        call.ids = [attempt.id for attempt in attempts]
        return attempts

    def commit(self, connection: Connection, call: Call, attempts: list[Attempt]) -> None:
        """The last look, in the step of a call's last byte. Raises `NotSent` where it must not go: the bytes
        before it hold all messages of the call, so one that is over holds back the others as well, which
        have not run and go on in another call."""
        if call.recalled or self.barred(call.endpoint, connection):
            raise NotSent("its endpoint takes nothing now")
        if time.monotonic() + connection.last_byte_delay_s > start_by(
            attempts
        ):  # some loops' clocks stand still
            raise NotSent("its time to begin is over")
        for attempt in attempts:
            if (attempt.message, attempt.number) not in call.open or not self.may_send(attempt):
                raise NotSent(f"message {attempt.message} is over")

    def stopped(self, connection: Connection, call: Call, attempts: list[Attempt]) -> bool:
        return not attempts or self.barred(call.endpoint, connection) or self.too_late(connection, attempts)

    def barred(self, endpoint: str, connection: Connection) -> bool:
        """Guards against a send that was decided before its connection came up: by then a wait may have been
        told, or the endpoint may be draining, or at another address."""
        place = self.entries[endpoint]
        if endpoint in self.banned or connection.address != place.address:
            return True
        return place.state is not State.READY or self.waits.get(place.lane, 0.0) > self.loop.time()

    def too_late(self, connection: Connection, attempts: list[Attempt]) -> bool:
        """Guards against a repeat that was decided in time and counts twice all the same: its connection took
        longer to come up than was left. `commit` looks again before the last byte."""
        return self.loop.time() + LATE_LOOKS * connection.last_byte_delay_s >= start_by(attempts)

    async def request(self, connection: Connection, call: Call, attempts: list[Attempt]) -> None:
        left = min(attempt.stop_at for attempt in attempts) - self.loop.time()
        written = call.codec.write(attempts, left * 1000.0)
        commit = functools.partial(self.commit, connection, call, attempts)
        record = functools.partial(self.record, call, attempts)
        await connection.send("POST", written.target, written.headers, written.body, commit, record)

    async def answer(self, connection: Connection, call: Call) -> ResultsById:
        """How each message ended. Guards against spoilt answers: one counts when the whole of it is read."""
        response = await connection.response()
        call.wait = call.codec.wait_ms(response, time.time())
        if call.wait:
            lane = self.entries[call.endpoint].lane
            self.waits[lane] = max(self.waits.get(lane, 0.0), self.loop.time() + call.wait / 1000.0)
        body = await connection.body(MOST_ANSWER)
        call.later = call.codec.expects_acknowledgement(response.status_code)
        if call.codec.withdrawn(response):
            self.withdrawn(call.endpoint)
        ends = call.codec.results(response, body, call.ids)
        if len(call.open) < len(call.ids):
            # Guards against messages that are lost: to the other side, a call of which one message was given
            # up may be given up as a whole, and then its answer counts for none. It proves neither that the
            # others ran nor that they did not. One that is over there by its word is not called again.
            return {
                name: AttemptResult(Outcome.ERROR, final=told.final or told.delivered)
                for name, told in ends.items()
            }
        return ends

    # Requests without a message

    async def talk(self, connection: Connection, method: str, target: str, headers: Headers) -> h11.Response:
        await connection.send(method, target, headers)
        response = await connection.response()
        await connection.body(MOST_ANSWER)
        return response

    async def ask(self, endpoint: str, method: str, target: str, headers: Headers) -> h11.Response:
        """The head of the answer to a request. Raises an `OSError`, a `TimeoutError`, an `h11.ProtocolError`,
        or a `KeyError` where the endpoint is not listed."""
        call, connection = Call(endpoint, self.loop.time(), {}, []), None
        try:
            async with asyncio.timeout(ASK_S):
                connection = await self.connected(call)
                return await self.talk(connection, method, target, headers)
        finally:
            if connection is not None:
                self.leave(connection, call, Outcome.ERROR)

    def probe(self, endpoint: str, report: Callable[[str, Outcome, float], None]) -> None:
        if endpoint in self.entries and endpoint not in self.banned:
            self.keep_task(endpoint, self.run_probe(endpoint, report))
        else:
            report(endpoint, Outcome.NOT_EXECUTED, 0.0)

    async def run_probe(self, endpoint: str, report: Callable[[str, Outcome, float], None]) -> None:
        call, connection, outcome = Call(endpoint, self.loop.time(), {}, []), None, Outcome.CONNECT_FAILED
        try:
            async with asyncio.timeout(self.settings.connect_timeout_ms / 1000.0):
                connection = await self.connected(call)
                outcome = Outcome.NOT_EXECUTED
                if not self.barred(endpoint, connection):
                    outcome = Outcome.RESET
                    response = await self.talk(connection, "GET", "/alive", [])
                    outcome = result_from_head(response).outcome
        except TimeoutError:
            outcome = Outcome.TIMEOUT if connection is not None else outcome
        except (OSError, h11.ProtocolError) as error:
            log.debug("probe of %s broke: %r", endpoint, error)
        except Exception:
            log.exception("probe of %s failed", endpoint)
        finally:
            if connection is not None:
                self.leave(connection, call, outcome)
            report(endpoint, outcome, (self.loop.time() - call.started) * 1000.0)
