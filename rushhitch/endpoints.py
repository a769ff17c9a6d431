"""Calls to the endpoints: the connection pool, single and batch calls, probes, and their outcomes."""

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
from rushhitch.exchange_log import CloseReason, log_closed, log_exchange, log_unrequested
from rushhitch.exchanges import ReusePolicy
from rushhitch.partners.codec import Attempt, AttemptResult, Codec, ResultsById
from rushhitch.partners.platform import Platform, result_from_head

log = logging.getLogger(__name__)

MAX_RESPONSE_BYTES = 65_536
ASK_S = 5.0  # timeout of a request that carries no message
RESPONSE_REMAINDER_S = 0.5  # time for the rest of an answer once it has begun
START_MARGIN_DELAYS = (
    2.0  # margin before a start deadline, in `last_byte_delay_s`: for the check and for sending the last byte
)
SHUTDOWN_READ_LIMIT_S = 0.05  # at shutdown: an endless answer is read no longer than this
ARRIVED_ANSWER_S = 0.05  # to read an answer that has arrived as its call is given up
QUIET_LOOP_ITERATIONS = 3  # loop iterations until data read from a socket has reached its call
IDLE_TIMEOUT_MARGIN = 0.1  # fraction of the idle timeout in which a connection is no longer reused
PLATFORM = Platform()
DESCRIPTORS_EXHAUSTED = (errno.EMFILE, errno.ENFILE)


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """Address and constraints of an endpoint; a retry-after wait holds for its whole `lane`."""

    address: tuple[str, int]
    lane: object
    batch: int
    state: State
    codec: Codec = PLATFORM


@dataclass(frozen=True, slots=True)
class Result:
    """The outcome of an attempt. `over`: the message was delivered; `later`: subject to an acknowledgement
    that follows. `idled_ms`: how long the connection had been idle, 0 if it was new or never came up; `kept`:
    it is idle again. `wait_ms`: retry-after of the answer. `first_due`: the earliest deadline within the
    call, in loop time."""

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
    """One HTTP request with one message or a batch; `open` holds the attempts without an outcome."""

    endpoint: str
    started: float
    open: dict[tuple[int, int], Attempt]
    ids: list[bytes]
    codec: Codec = PLATFORM
    repeatable: bool = True  # a second delivery of each of its messages has no effect
    first_due: float = math.inf
    wait: float = 0.0  # retry-after of its answer, in milliseconds
    idled_ms: float = 0.0
    kept: bool = False
    later: bool = False  # its answer announces an acknowledgement
    task: asyncio.Task[None] | None = None
    written: bool = False  # its last byte has been written
    aborted: bool = False  # its last byte must not be written
    recorded: bool = False  # its attempts are in the journal
    connection: Connection | None = None  # once established


StartCallback = Callable[[list[Attempt]], None]  # called with the attempts of a call that may be written


def start_by(attempts: list[Attempt]) -> float:
    """The latest time to start the call: the earliest start deadline of its attempts."""
    return min(attempt.start_by for attempt in attempts)


class NoConnectionAvailable(OSError):
    """The connection limit or the descriptors are exhausted and no connection is idle. This is no failure of
    the endpoint."""


class EndpointPool:
    """Runs calls and probes and keeps idle connections. Each attempt is passed to `report` exactly once, with
    its result; `dropped` is called with the endpoint of each idle connection that was closed."""

    def __init__(
        self,
        settings: Settings,
        report: Callable[[Result], None],
        dropped: Callable[[str], None] = lambda endpoint: None,
        max_connections: int = 256,
        withdrawn: Callable[[str], None] = lambda endpoint: None,
        begin: Callable[[str, list[Attempt], StartCallback], None] = lambda endpoint, attempts, go: go(
            attempts
        ),
        may_send: Callable[[Attempt], bool] = lambda attempt: True,
    ) -> None:
        self.settings, self.report, self.dropped = settings, report, dropped
        self.withdrawn = withdrawn  # called when an answer withdraws an endpoint's consent
        self.begin = begin  # called before the last byte of a call, to record its attempts
        self.may_send = may_send  # asked in the step in which the last byte is written
        self.max_connections = max_connections  # limit of connections, busy and idle
        self.loop = asyncio.get_running_loop()
        self.entries: dict[str, EndpointEntry] = {}
        self.idle: dict[str, list[tuple[Connection, float]]] = {}
        self.connections = 0
        self.busy: Counter[str] = Counter()  # calls and probes in flight, by endpoint
        self.calls: dict[tuple[int, int], Call] = {}
        self.retry_after: dict[object, float] = {}
        self.banned: set[str] = set()  # banned by operators, listed or not
        self.frozen = False  # no call starts, another process continues
        self.held_back = 0  # calls must_not_start right before their last byte
        self.written = 0  # messages in calls that were written in full
        self.reuse = ReusePolicy({PLATFORM})
        self.unrequested = 0  # times that an endpoint sent something that no request had asked for
        self.tasks: set[asyncio.Task[None]] = set()
        self.idle_limit_s = settings.conn_idle_ms * (1.0 - IDLE_TIMEOUT_MARGIN) / 1000.0

    def set_endpoint(self, endpoint: str, entry: EndpointEntry) -> None:
        """Add the endpoint or replace its entry. Idle connections are closed if it moved or is not ready."""
        old = self.entries.get(endpoint)
        self.entries[endpoint] = entry
        if old is not None and old.address != entry.address:
            self.reuse.forget(endpoint)
        if entry.state is not State.READY or (old is not None and old.address != entry.address):
            for idle in list(self.idle.get(endpoint, ())):
                self.drop_idle(endpoint, idle, CloseReason.ENDPOINT_CHANGED)

    def drain(self, endpoint: str) -> None:
        """Start no further call to the endpoint."""
        if endpoint in self.entries:
            self.set_endpoint(endpoint, replace(self.entries[endpoint], state=State.DRAINING))

    def remove_endpoint(self, endpoint: str) -> None:
        """The endpoint is no longer listed: close its idle connections; calls in flight continue."""
        if endpoint in self.entries:
            self.entries[endpoint] = replace(self.entries[endpoint], state=State.GONE)
            self.close_idle(endpoint, CloseReason.ENDPOINT_CHANGED)
            self.forget(endpoint)

    def ban(self, endpoint: str) -> None:
        """Start no call there until `unban`; calls in flight continue."""
        self.banned.add(endpoint)
        self.close_idle(endpoint, CloseReason.BANNED)

    def unban(self, endpoint: str) -> None:
        self.banned.discard(endpoint)

    async def freeze(self) -> None:
        """Start no further call, and abort the calls not yet written in full, which have not run. The others
        continue."""
        self.frozen = True
        called_back = []
        for call in {id(call): call for call in self.calls.values()}.values():
            if not call.written and call.task is not None:
                call.aborted = True
                call.task.cancel()
                called_back.append(call.task)
        if called_back:
            await asyncio.wait(called_back)
        for endpoint in list(self.idle):
            self.close_idle(endpoint, CloseReason.FROZEN)

    async def finish_calls(self) -> None:
        """Before the process ends: read the answers that have already arrived, complete or in part, then end
        all calls in flight with the outcome that they prove."""
        until, quiet = self.loop.time() + SHUTDOWN_READ_LIMIT_S, 0
        while self.calls and quiet < QUIET_LOOP_ITERATIONS and self.loop.time() < until:
            await asyncio.sleep(0)
            written = (call.connection for call in self.calls.values() if call.written)
            quiet = 0 if any(held is not None and not held.has_no_input() for held in written) else quiet + 1
        tasks = {call.task for call in self.calls.values() if call.task is not None}
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def forget(self, endpoint: str) -> None:
        """Remove an unlisted endpoint once it is unused, to bound memory; unexpired waits are kept."""
        if not self.busy[endpoint]:
            del self.busy[endpoint]
            listed = self.entries.get(endpoint)
            if listed is not None and listed.state is State.GONE:
                del self.entries[endpoint]
                self.reuse.forget(endpoint)
                now = self.loop.time()
                self.retry_after = {lane: until for lane, until in self.retry_after.items() if until > now}

    # Connections

    def acquire(self, call: Call) -> tuple[Connection, float] | None:
        """The most recently used idle connection that the call may use, and its idle time in seconds.
        Connections that are idle for too long or have unexpected input are closed."""
        now = self.loop.time()
        for entry in reversed(self.idle.get(call.endpoint, [])[:]):
            connection, idled = entry[0], now - entry[1]
            if idled >= self.idle_limit_s:
                self.drop_idle(call.endpoint, entry, CloseReason.IDLE)
            elif not connection.has_no_input():
                self.drop_idle(call.endpoint, entry, CloseReason.INPUT)
                return self.acquire(call)  # what it sent may have closed others too
            elif not connection.exchanges.answered or self.reuse.permits(call.codec, call.repeatable):
                self.remove_idle(call.endpoint, entry)
                return connection, idled
        return None

    def release(self, endpoint: str, connection: Connection) -> None:
        """Keep the connection idle for reuse, or close it if the endpoint takes no further calls."""
        now = self.loop.time()
        while (idle := self.idle.get(endpoint)) and now - idle[0][1] >= self.idle_limit_s:
            self.drop_idle(endpoint, idle[0], CloseReason.IDLE)
        listed = self.entries.get(endpoint)
        blocked = self.frozen or endpoint in self.banned
        if (
            blocked
            or listed is None
            or listed.state is not State.READY
            or listed.address != connection.address
        ):
            self.close(endpoint, connection, CloseReason.BANNED if blocked else CloseReason.ENDPOINT_CHANGED)
            return
        if connection.exchanges.requests and self.reuse.is_suspended(endpoint, now):
            self.close(endpoint, connection, CloseReason.OUT_OF_STEP)
            return
        entry = (connection, now)
        self.idle.setdefault(endpoint, []).append(entry)
        self.loop.add_reader(connection.sock, self.drop_idle, endpoint, entry, CloseReason.INPUT)

    def remove_idle(self, endpoint: str, entry: tuple[Connection, float]) -> None:
        self.loop.remove_reader(entry[0].sock)
        self.idle[endpoint].remove(entry)
        if not self.idle[endpoint]:
            del self.idle[endpoint]

    def drop_idle(self, endpoint: str, entry: tuple[Connection, float], reason: CloseReason) -> None:
        """Close an idle connection that is too old, or whose peer closed it or sent unrequested bytes."""
        self.remove_idle(endpoint, entry)
        if reason is CloseReason.INPUT and (data := entry[0].unrequested()):
            self.note_unrequested(endpoint, entry[0], data)
        self.close(endpoint, entry[0], reason)
        self.dropped(endpoint)

    def note_unrequested(self, endpoint: str, connection: Connection, data: bytes) -> None:
        """An endpoint sent something that no request had asked for: count and log it, and use none of its
        connections twice for a while."""
        self.unrequested += 1
        log_unrequested(endpoint, connection, data)
        self.reuse.note_unrequested(endpoint, data, self.loop.time())
        if self.reuse.is_suspended(endpoint, self.loop.time()):
            for entry in list(self.idle.get(endpoint, ())):
                self.drop_idle(endpoint, entry, CloseReason.OUT_OF_STEP)

    def close_idle(self, endpoint: str, reason: CloseReason = CloseReason.IDLE) -> None:
        for entry in list(self.idle.get(endpoint, ())):
            self.remove_idle(endpoint, entry)
            self.close(endpoint, entry[0], reason)

    def close(self, endpoint: str, connection: Connection, reason: CloseReason) -> None:
        connection.close()
        self.connections -= 1
        log_closed(endpoint, connection, reason)

    async def connect(self, endpoint: str) -> Connection:
        if self.connections >= self.max_connections:
            self.evict_idle(f"{self.max_connections} connections are open")
        self.connections += 1
        try:
            async with asyncio.timeout(self.settings.connect_timeout_ms / 1000.0):
                while True:
                    try:
                        return await Connection.open(self.entries[endpoint].address)
                    except OSError as error:
                        if error.errno not in DESCRIPTORS_EXHAUSTED:
                            raise
                        self.evict_idle(str(error))
        except BaseException:
            self.connections -= 1
            raise

    def evict_idle(self, why: str) -> None:
        """Evict the connection that has been idle longest. Raises `NoConnectionAvailable` if none is idle."""
        if not self.idle:
            raise NoConnectionAvailable(why)
        longest = min(self.idle, key=lambda name: self.idle[name][0][1])
        self.drop_idle(longest, self.idle[longest][0], CloseReason.EVICTED)

    # Calls

    def send(self, endpoint: str, attempts: list[Attempt]) -> None:
        """Group the attempts of one turn at an endpoint into calls and start them."""
        if self.frozen or endpoint not in self.entries or endpoint in self.banned:
            for attempt in attempts:
                self.report(Result(attempt, endpoint, Outcome.NOT_EXECUTED, 0.0))
            return
        listed = self.entries[endpoint]
        size = listed.codec.max_batch_size(listed.batch)
        for start in range(0, len(attempts), size):
            self.start_call(endpoint, attempts[start : start + size])

    def start_call(self, endpoint: str, attempts: list[Attempt]) -> None:
        open_ = {(a.message, a.number): a for a in attempts}
        first_due = min(attempt.due for attempt in attempts)
        codec = self.entries[endpoint].codec
        call = Call(
            endpoint,
            self.loop.time(),
            open_,
            [attempt.id for attempt in attempts],
            codec,
            all(attempt.repeatable for attempt in attempts),
            first_due,
        )
        self.calls.update(dict.fromkeys(call.open, call))
        call.task = self.start_task(endpoint, self.run(call, attempts))

    def start_task(self, endpoint: str, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        self.busy[endpoint] += 1
        task.add_done_callback(lambda task: self.on_task_done(endpoint, task))
        return task

    def on_task_done(self, endpoint: str, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.busy[endpoint] -= 1
        self.forget(endpoint)

    def cancel(self, message: int, number: int) -> None:
        call = self.calls.get((message, number))
        if call is None:
            return
        if len(call.open) > 1 and self.has_unread_answer(call):
            # Most probably the answer ends it; an interim response, or a copy that is passed over, does not.
            self.loop.call_later(ARRIVED_ANSWER_S, self.cancel, message, number)
        elif len(call.open) > 1:
            self.end(call, call.open[message, number], AttemptResult(Outcome.CANCELLED))
        elif call.task is not None:
            call.task.cancel()

    def end(self, call: Call, attempt: Attempt, message_end: AttemptResult) -> None:
        key = (attempt.message, attempt.number)
        if call.open.pop(key, None) is None:
            return
        del self.calls[key]
        took = (self.loop.time() - call.started) * 1000.0
        self.report(
            Result(
                attempt,
                call.endpoint,
                message_end.outcome,
                took,
                call.wait,
                message_end.delivered,
                call.idled_ms,
                call.kept,
                call.first_due,
                message_end.delivered and call.later,
                message_end.final,
            )
        )

    def end_all(self, call: Call, message_end: AttemptResult) -> None:
        for attempt in list(call.open.values()):
            self.end(call, attempt, message_end)

    async def run(self, call: Call, attempts: list[Attempt]) -> None:
        """Run a call from its connection to its outcome. Each attempt gets a result, whatever fails."""
        connection, ends = None, None
        broken = Outcome.RESET
        try:
            # A batch times out as a whole with its earliest deadline: once one message is given up, no answer
            # proves anything for the others, and waiting on would only occupy the slot.
            async with asyncio.timeout_at(min(attempt.stop_at for attempt in attempts)) as limit:
                while connection is None:
                    connection = call.connection = await self.obtain_connection(call)
                    attempts = self.discard_ended(call, attempts)
                    if self.must_not_start(connection, call, attempts):
                        broken = Outcome.NOT_EXECUTED
                        break
                    self.follow_response(connection, call, limit)
                    try:
                        await self.request(connection, call, attempts)
                    except OSError:
                        if not call.idled_ms:
                            raise
                        # The idle connection was dead: retry on another.
                        self.close(call.endpoint, connection, CloseReason.BROKEN)
                        self.dropped(call.endpoint)
                        connection = None
                else:
                    call.written = True
                    self.written += len(attempts)
                    ends = await self.read_answer(connection, call)
        except TimeoutError:
            broken = Outcome.TIMEOUT
        except asyncio.CancelledError:
            sent = connection is not None and connection.written
            broken = Outcome.NOT_EXECUTED if call.aborted and not sent else Outcome.CANCELLED
        except NoConnectionAvailable as error:
            log.warning("call to %s not started: %s", call.endpoint, error)
            broken = Outcome.NOT_EXECUTED
        except NotSent as error:
            self.held_back += 1
            log.info("a call was held back", extra={"endpoint": call.endpoint, "reason": str(error)})
            broken, call.aborted = Outcome.NOT_EXECUTED, True  # partly written: no reuse of the connection
        except h11.ProtocolError as error:
            log.debug("invalid answer from %s: %r", call.endpoint, error)
            broken = Outcome.ERROR
        except OSError as error:
            log.debug("connection of call to %s failed: %r", call.endpoint, error)
        except Exception:
            log.exception("call to %s failed", call.endpoint)
        finally:
            if broken in (Outcome.TIMEOUT, Outcome.CANCELLED):
                ends = await self.read_arrived_answer(call)
            if connection is not None:
                self.finish_exchange(connection, call, broken)
            if ends is not None:
                for attempt in list(call.open.values()):
                    self.end(call, attempt, ends[attempt.id])
            self.end_all(call, self.broken_call_end(connection, call, broken))

    async def obtain_connection(self, call: Call) -> Connection:
        if taken := self.acquire(call):
            connection, idled = taken
            call.idled_ms = max(idled * 1000.0, 1e-3)
        else:
            call.idled_ms = 0.0
            connection = await self.connect(call.endpoint)
        connection.written, connection.response_start = False, b""
        return connection

    def follow_response(self, connection: Connection, call: Call, limit: asyncio.Timeout) -> None:
        """Bound the time of the answer once it has begun. Of one that belongs to no request only the wait
        counts: it may be the endpoint's only word."""
        stop = limit.when()

        def unattributed(response: h11.Response, start: bytes) -> None:
            limit.reschedule(stop)
            self.heed_wait(call, call.codec.wait_ms(response, time.time()))
            self.note_unrequested(call.endpoint, connection, start)

        connection.on_response_start = lambda: self.limit_remaining_time(limit)
        connection.on_unattributed = unattributed

    def limit_remaining_time(self, limit: asyncio.Timeout) -> None:
        """Bound the time for the rest of an answer that has begun, since it might never end."""
        stop = limit.when()
        assert stop is not None, "a call always has a timeout"
        limit.reschedule(min(stop, self.loop.time() + RESPONSE_REMAINDER_S))

    def finish_exchange(self, connection: Connection, call: Call, broken: Outcome) -> None:
        """Keep the connection if its HTTP exchange is complete or nothing was written; else close it."""
        connection.on_response_start = connection.on_unattributed = None
        unused = broken is Outcome.NOT_EXECUTED and not call.aborted  # an aborted call may be partly written
        call.kept = connection.prepare_next_request() if connection.written else unused
        took_s = self.loop.time() - call.started
        log_exchange(call.endpoint, connection, call.ids, took_s, broken.name.lower(), call.kept)
        if connection.exchanges.ended_unmarked:
            self.reuse.note_unmarked(call.codec)
        if call.kept:
            self.release(call.endpoint, connection)
            return
        if data := connection.http.trailing_data[0]:
            self.note_unrequested(call.endpoint, connection, data)
        self.close(call.endpoint, connection, CloseReason.ENDED)

    @staticmethod
    def broken_call_end(connection: Connection | None, call: Call, broken: Outcome) -> AttemptResult:
        """The end of each message of a call without a complete answer."""
        if broken is Outcome.NOT_EXECUTED:
            return AttemptResult(Outcome.NOT_EXECUTED)
        if connection is None or not connection.written:
            return AttemptResult(broken if broken is Outcome.CANCELLED else Outcome.CONNECT_FAILED)
        delivered = len(call.ids) == 1 and call.codec.delivered(connection.response_start)
        if delivered and connection.exchanges.first_line_counts:
            call.later = call.codec.expects_acknowledgement(int(connection.response_start[9:12]))
            return AttemptResult(Outcome.OK, delivered=True)
        # A first line that may be a copy's proves no delivery, but most probably the message was delivered.
        final = delivered or call.codec.final(connection.response_start)
        if broken is Outcome.TIMEOUT and connection.response_start:
            return AttemptResult(Outcome.ERROR, final=final)  # its answer began and did not end
        return AttemptResult(broken, final=final)

    async def record(self, call: Call, attempts: list[Attempt]) -> bool:
        """Record the call's attempts in the journal right before the last byte, so that after a crash a
        message that was never sent is not taken for one that may have run. Returns whether it had to wait for
        the disk; without syncs it does not. Raises `NotSent` if the disk rejects it or one of the messages
        has ended."""
        if call.recorded:
            return False
        if any((attempt.message, attempt.number) not in call.open for attempt in attempts):
            raise NotSent("a message of the call has ended")
        call.recorded = True
        recorded: asyncio.Future[list[Attempt]] = self.loop.create_future()
        self.begin(call.endpoint, attempts, lambda allowed: recorded.done() or recorded.set_result(allowed))
        waited = not recorded.done()
        if len(await recorded) < len(attempts):
            raise NotSent("not recorded: a message of the call has ended, or the journal cannot be written")
        return waited

    def discard_ended(self, call: Call, attempts: list[Attempt]) -> list[Attempt]:
        """The attempts that may still be sent; the others end as NOT_EXECUTED. Checked after each connect,
        since messages may end meanwhile."""
        for attempt in list(call.open.values()):
            if not self.may_send(attempt):
                self.end(call, attempt, AttemptResult(Outcome.NOT_EXECUTED))
        attempts = [attempt for attempt in attempts if (attempt.message, attempt.number) in call.open]
        call.ids = [attempt.id for attempt in attempts]
        return attempts

    def confirm_send(self, connection: Connection, call: Call, attempts: list[Attempt]) -> None:
        """The final check, in the step in which the last byte is written. Raises `NotSent` if it must not be.
        The bytes before it contain all messages of the call, so one that has ended stops the others too; they
        have not run and are sent in another call."""
        if call.aborted or self.is_blocked(call.endpoint, connection):
            raise NotSent("the endpoint is not available")
        # Not the loop time, which uvloop caches.
        if time.monotonic() + connection.last_byte_delay_s > start_by(attempts):
            raise NotSent("the start deadline has passed")
        for attempt in attempts:
            if (attempt.message, attempt.number) not in call.open or not self.may_send(attempt):
                raise NotSent(f"message {attempt.message} has ended")

    def must_not_start(self, connection: Connection, call: Call, attempts: list[Attempt]) -> bool:
        return (
            not attempts
            or self.is_blocked(call.endpoint, connection)
            or self.is_too_late(connection, attempts)
        )

    def is_blocked(self, endpoint: str, connection: Connection) -> bool:
        """Whether the endpoint may no longer be called on this connection. While it was being established,
        the endpoint may have sent a retry-after, been banned, started draining or changed its address."""
        listed = self.entries[endpoint]
        if endpoint in self.banned or connection.address != listed.address:
            return True
        return listed.state is not State.READY or self.retry_after.get(listed.lane, 0.0) > self.loop.time()

    def is_too_late(self, connection: Connection, attempts: list[Attempt]) -> bool:
        """Whether too little time is left before the start deadline. A retry that starts after the window of
        its key would count twice at the partner; connecting may have used up the time that the decision left.
        `confirm_send` checks again before the last byte."""
        return self.loop.time() + START_MARGIN_DELAYS * connection.last_byte_delay_s >= start_by(attempts)

    async def request(self, connection: Connection, call: Call, attempts: list[Attempt]) -> None:
        left = min(attempt.stop_at for attempt in attempts) - self.loop.time()
        written = call.codec.write(attempts, left * 1000.0)
        confirm = functools.partial(self.confirm_send, connection, call, attempts)
        record = functools.partial(self.record, call, attempts)
        await connection.send("POST", written.target, written.headers, written.body, confirm, record)

    async def read_answer(self, connection: Connection, call: Call) -> ResultsById:
        """Read the answer and return the end of each message. Only an answer that was read in full counts."""
        response = await connection.response()
        if connection.exchanges.last:
            self.reuse.note_marked(call.codec)
        self.heed_wait(call, call.codec.wait_ms(response, time.time()))
        body = await connection.body(MAX_RESPONSE_BYTES)
        call.later = call.codec.expects_acknowledgement(response.status_code)
        if call.codec.withdrawn(response):
            self.withdrawn(call.endpoint)
        ends = call.codec.results(response, body, call.ids)
        if len(call.open) < len(call.ids):
            # One message of the batch was given up. The partner may then discard the whole call, so the
            # answer proves neither that the others ran nor that they did not; trusting it could lose them.
            # Messages that the partner reports as finished are not sent again.
            return {
                name: AttemptResult(Outcome.ERROR, final=end.final or end.delivered)
                for name, end in ends.items()
            }
        return ends

    @staticmethod
    def has_unread_answer(call: Call) -> bool:
        """Whether an answer, or its start, has arrived of which nothing has been read."""
        connection = call.connection
        if connection is None or not call.written or connection.response_start:
            return False
        return not connection.has_no_input()

    async def read_arrived_answer(self, call: Call) -> ResultsById | None:
        """The answer to a call that is given up, if it has arrived and the event loop had no time to read it.
        Unread, a message that was delivered would be sent again, or end as failed."""
        connection = call.connection
        if connection is None or not self.has_unread_answer(call):
            return None
        try:
            async with asyncio.timeout(ARRIVED_ANSWER_S) as limit:
                self.follow_response(connection, call, limit)
                return await self.read_answer(connection, call)
        except (TimeoutError, asyncio.CancelledError, OSError, h11.ProtocolError) as error:
            log.debug("no whole answer from %s as its call was given up: %r", call.endpoint, error)
        except Exception:
            log.exception("reading the answer from %s failed", call.endpoint)
        return None

    def heed_wait(self, call: Call, wait_ms: float) -> None:
        """Send nothing to the lane of the call for so long."""
        call.wait = max(call.wait, wait_ms)
        if wait_ms:
            lane, until = self.entries[call.endpoint].lane, self.loop.time() + wait_ms / 1000.0
            self.retry_after[lane] = max(self.retry_after.get(lane, 0.0), until)

    # Requests without a message

    def call_without_message(self, endpoint: str) -> Call:
        return Call(endpoint, self.loop.time(), {}, [], self.entries[endpoint].codec)

    async def exchange(
        self, connection: Connection, method: str, target: str, headers: Headers
    ) -> h11.Response:
        await connection.send(method, target, headers)
        response = await connection.response()
        await connection.body(MAX_RESPONSE_BYTES)
        return response

    async def ask(self, endpoint: str, method: str, target: str, headers: Headers) -> h11.Response:
        """Send a request without a message and return the head of its answer. Raises `OSError`,
        `TimeoutError`, `h11.ProtocolError`, or `KeyError` if the endpoint is not listed."""
        call, connection = self.call_without_message(endpoint), None
        try:
            async with asyncio.timeout(ASK_S):
                connection = await self.obtain_connection(call)
                return await self.exchange(connection, method, target, headers)
        finally:
            if connection is not None:
                self.finish_exchange(connection, call, Outcome.ERROR)

    def probe(self, endpoint: str, report: Callable[[str, Outcome, float], None]) -> None:
        if endpoint in self.entries and endpoint not in self.banned:
            self.start_task(endpoint, self.run_probe(endpoint, report))
        else:
            report(endpoint, Outcome.NOT_EXECUTED, 0.0)

    async def run_probe(self, endpoint: str, report: Callable[[str, Outcome, float], None]) -> None:
        call, connection, outcome = self.call_without_message(endpoint), None, Outcome.CONNECT_FAILED
        try:
            async with asyncio.timeout(self.settings.connect_timeout_ms / 1000.0):
                connection = await self.obtain_connection(call)
                outcome = Outcome.NOT_EXECUTED
                if not self.is_blocked(endpoint, connection):
                    outcome = Outcome.RESET
                    response = await self.exchange(connection, "GET", "/alive", [])
                    outcome = result_from_head(response).outcome
        except TimeoutError:
            outcome = Outcome.TIMEOUT if connection is not None else outcome
        except (OSError, h11.ProtocolError) as error:
            log.debug("probe of %s got no valid answer: %r", endpoint, error)
        except Exception:
            log.exception("probe of %s failed", endpoint)
        finally:
            if connection is not None:
                self.finish_exchange(connection, call, outcome)
            report(endpoint, outcome, (self.loop.time() - call.started) * 1000.0)
