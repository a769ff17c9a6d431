"""Notices of ends to the platform: what goes into which request, and sending it until it is acknowledged."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import h11

from rushhitch.connection import Connection

log = logging.getLogger(__name__)

# A notice must be received within 350 ms after its message's time, also right after a disruption of the
# platform: the next request that can be answered begins within this time, whatever became of earlier ones.
PACE_S = 0.15
RETRY_S = 0.05  # the same behind a request that failed at once; doubled with each, up to `PACE_S`
# The platform may answer slowly. One request at a time is given that long for its answer and carries every
# notice that waits for one; requests beside it only find out whether the platform answers sooner again.
PATIENCE_S, SHORT_PATIENCE_S = 10.0, 1.0
CONNECT_TIMEOUT_S = 2.0
MAX_OPEN_REQUESTS = 2 + math.ceil(SHORT_PATIENCE_S / PACE_S)  # the patient one, the others, one being closed
ASIDE_S = 10.0  # before a notice that the platform could not read is sent again: its end is still due
MAX_NOTICES_PER_REQUEST = 500
MAX_REQUEST_BYTES = 65_536  # protocol: of a body
MAX_RESPONSE_BYTES = 65_536
EXPECTED_ERRORS = (OSError, TimeoutError, h11.ProtocolError, ValueError)


@dataclass(slots=True, eq=False)
class Notice:
    """The end of one message, as a line of a request. It replaces an earlier notice of the same message."""

    number: int  # of the message; its id may be reused
    line: bytes


@dataclass(slots=True, eq=False)
class NoticeRequest:
    """One request with notices."""

    serial: int  # rises from request to request
    began: float  # loop time in seconds
    notices: list[Notice]
    patient: bool  # is given `PATIENCE_S` for its answer
    answered: bool = False  # with 204 or 400: the platform can be heard


class NoticeSchedule:
    """Decides which notices go into which request and when the next request may begin. No I/O, no clock.

    A request without an answer holds up nothing but itself: `PACE_S` after it began the next may begin, with
    the notices that are new. Once any request is acknowledged, all notices that were last sent before it are
    sent again at once, since the answers to their requests are probably lost. Repeated notices do no harm."""

    def __init__(self) -> None:
        self.pending: dict[int, Notice] = {}  # by message number
        self.unsent: dict[int, Notice] = {}  # of these, to be sent next; oldest first
        self.unanswered: dict[int, int] = {}  # of these, the latest request; least recently sent first
        self.suspects: deque[list[Notice]] = deque()  # rejected together; each group is sent by itself
        self.open: dict[int, NoticeRequest] = {}  # requests by serial
        self.latest: NoticeRequest | None = None
        self.serial = self.failures = 0  # of the latest request; requests that failed in a row
        self.sent_before: set[int] = set()  # numbers of pending notices
        self.sent = self.repeated = 0  # notices sent, and those of them that were not sent for the first time

    def add(self, notice: Notice) -> None:
        """Send the notice with the next request."""
        self.drop(notice.number)
        self.pending[notice.number] = self.unsent[notice.number] = notice

    def drop(self, number: int) -> Notice | None:
        """Send no notice of that message any more; returns the one that was pending."""
        self.unsent.pop(number, None)
        self.unanswered.pop(number, None)
        self.sent_before.discard(number)
        return self.pending.pop(number, None)

    def restart(self) -> None:
        """All requests were ended, or go to an address that no longer counts: send everything again."""
        self.open.clear()
        self.suspects.clear()
        self.unanswered.clear()
        self.latest, self.failures = None, 0
        self.unsent = dict(self.pending)

    def next_start(self) -> float | None:
        """The loop time from which the next request may begin; None if there is nothing to send."""
        if not self.pending:
            return None
        if self.latest is None or self.latest.answered:
            return -math.inf
        if self.latest.serial in self.open or not self.failures:
            return self.latest.began + PACE_S
        return self.latest.began + min(RETRY_S * 2.0 ** min(self.failures - 1, 16), PACE_S)

    def begin(self, now: float) -> NoticeRequest:
        """The next request, begun at `now` in seconds of loop time. Call it only once `next_start` allows."""
        self.serial += 1
        patient = not any(request.patient for request in self.open.values())
        request = NoticeRequest(self.serial, now, self.choose(patient), patient)
        for notice in request.notices:
            self.unsent.pop(notice.number, None)
            self.unanswered.pop(notice.number, None)
            self.unanswered[notice.number] = request.serial
            self.repeated += notice.number in self.sent_before
            self.sent_before.add(notice.number)
        self.sent += len(request.notices)
        self.open[request.serial] = self.latest = request
        return request

    def choose(self, patient: bool) -> list[Notice]:
        """The notices of the next request: new ones, else a group of suspects, else the one that was sent
        least recently. A patient request also carries those that no open request carries."""
        if not self.unsent:
            while self.suspects:
                group = [notice for notice in self.suspects.popleft() if self.is_pending(notice)]
                if group:
                    return group
        if patient:
            left = [self.pending[n] for n, serial in self.unanswered.items() if serial not in self.open]
            chosen = fitting([*self.unsent.values(), *left])
        else:
            chosen = fitting(self.unsent.values())
        return chosen or [self.pending[next(iter(self.unanswered))]]

    def is_pending(self, notice: Notice) -> bool:
        """Whether this notice, and none that has replaced it, is still to be acknowledged."""
        return self.pending.get(notice.number) is notice

    def acknowledged(self, request: NoticeRequest) -> list[int]:
        """The request was answered 204: returns the numbers of the messages whose notices are done."""
        if not self.end(request, answered=True):
            return []
        done = [notice.number for notice in request.notices if self.is_pending(notice)]
        for number in done:
            self.drop(number)
        for number, serial in list(self.unanswered.items()):
            if serial >= request.serial:
                break
            del self.unanswered[number]
            self.unsent[number] = self.pending[number]
        return done

    def rejected(self, request: NoticeRequest) -> Notice | None:
        """The request was answered 400: something in it cannot be read. Its halves are sent each by itself;
        a notice that was alone in its request is returned, and no longer pending."""
        if not self.end(request, answered=True):
            return None
        left = [notice for notice in request.notices if self.is_pending(notice)]
        if len(request.notices) == 1:
            return self.drop(left[0].number) if left else None
        for notice in left:
            self.unanswered.pop(notice.number, None)
        half = len(left) // 2
        self.suspects += [group for group in (left[:half], left[half:]) if group]
        return None

    def failed(self, request: NoticeRequest) -> None:
        """The request ended in any other way: the platform may have read it or not."""
        self.end(request, answered=False)

    def end(self, request: NoticeRequest, answered: bool) -> bool:
        """Returns whether the request still counts."""
        request.answered = answered
        self.failures = 0 if answered else self.failures + 1
        return self.open.pop(request.serial, None) is not None

    def moot(self) -> list[NoticeRequest]:
        """Open requests whose notices have all been acknowledged by the answers to others."""
        return [request for request in self.open.values() if not any(map(self.is_pending, request.notices))]


def fitting(notices: Iterable[Notice]) -> list[Notice]:
    """As many of the notices, in their order, as one request holds."""
    found: list[Notice] = []
    size = 0
    for notice in notices:
        size += len(notice.line)
        if found and (len(found) == MAX_NOTICES_PER_REQUEST or size > MAX_REQUEST_BYTES):
            break
        found.append(notice)
    return found


class NoticeSender:
    """Sends the end of each message to the platform until the platform acknowledges it with 204, and then
    calls `on_acknowledged` with the message's number. Each request has a connection of its own: a 204 names
    no notice, so on a connection that has carried one it might be a copy of the earlier answer."""

    def __init__(self, address: tuple[str, int], on_acknowledged: Callable[[int], None]) -> None:
        self.address, self.on_acknowledged = address, on_acknowledged
        self.schedule = NoticeSchedule()
        self.changed = asyncio.Event()  # the schedule has
        self.empty = asyncio.Event()  # nothing is pending
        self.empty.set()

    def add(self, number: int, message: bytes, result: str, wait_ms: float) -> None:
        """Notify the platform of the end of the message with that number and id. `wait_ms` tells the client
        when to come again, 0 for nothing."""
        notice: dict[str, Any] = {"ref": message.decode("latin-1"), "result": result}
        if wait_ms > 0:
            notice["wait_ms"] = int(wait_ms)
        self.enqueue(Notice(number, json.dumps(notice).encode() + b"\n"))

    def enqueue(self, notice: Notice) -> None:
        self.schedule.add(notice)
        self.empty.clear()
        self.changed.set()

    def move(self, address: tuple[str, int]) -> None:
        """Use this address from the next `run` on, which sends all pending notices, also those that the old
        address may have received."""
        self.address = address

    async def run(self) -> None:
        """Begin each request as soon as it may begin; when cancelled, end all that are open."""
        loop = asyncio.get_running_loop()
        self.schedule.restart()
        tasks: dict[int, asyncio.Task[None]] = {}  # by serial of the request
        try:
            while True:
                self.changed.clear()
                start_at = self.schedule.next_start()
                if start_at is not None and start_at <= loop.time():
                    request = self.schedule.begin(loop.time())
                    task = tasks[request.serial] = loop.create_task(self.perform(request))
                    task.add_done_callback(lambda _, serial=request.serial: tasks.pop(serial))
                    continue
                try:
                    async with asyncio.timeout_at(start_at):
                        await self.changed.wait()
                except TimeoutError:
                    pass
                for request in self.schedule.moot():
                    self.schedule.failed(request)
                    tasks[request.serial].cancel()
        finally:
            for task in tasks.values():
                task.cancel()

    async def perform(self, request: NoticeRequest) -> None:
        """Send one request and apply its outcome to the schedule."""
        try:
            status = await self.exchange(request)
            if status == 204:
                for number in self.schedule.acknowledged(request):
                    self.on_acknowledged(number)
            elif status == 400:
                if (notice := self.schedule.rejected(request)) is not None:
                    self.set_aside(notice)
            else:
                raise ConnectionError(f"the platform answered notices with {status}")
        except EXPECTED_ERRORS as error:
            self.schedule.failed(request)
            log.info("sending notices failed, retrying: %r", error, extra=self.state(request))
        except Exception:
            self.schedule.failed(request)
            log.exception("sending notices failed, retrying")
        if not self.schedule.pending:
            self.empty.set()
        self.changed.set()

    async def exchange(self, request: NoticeRequest) -> int:
        """Send the request on a new connection and return the status of its answer. Raises one of
        `EXPECTED_ERRORS`."""
        connection = None
        try:
            async with asyncio.timeout(PATIENCE_S if request.patient else SHORT_PATIENCE_S):
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    connection = await Connection.open(self.address)
                    body = b"".join(notice.line for notice in request.notices)
                    await connection.send("POST", "/status", [], body)
                response = await connection.response()
                await connection.body(MAX_RESPONSE_BYTES)
                return response.status_code
        finally:
            if connection is not None:
                connection.close()

    def state(self, request: NoticeRequest) -> dict[str, Any]:
        """The fields of a log line on a request."""
        return {
            "request": request.serial,
            "took_ms": round((asyncio.get_running_loop().time() - request.began) * 1000.0),
            "notices": len(request.notices),
            "pending": len(self.schedule.pending),
            "open_requests": len(self.schedule.open),
        }

    def set_aside(self, notice: Notice) -> None:
        """Retry an unreadable notice later; meanwhile it does not delay shutdown. The journal keeps it."""
        log.error("a notice is sent again in %g s: the platform answered 400: %r", ASIDE_S, notice.line)
        asyncio.get_running_loop().call_later(ASIDE_S, self.requeue, notice)

    def requeue(self, notice: Notice) -> None:
        if notice.number not in self.schedule.pending:  # else replaced meanwhile
            self.enqueue(notice)
