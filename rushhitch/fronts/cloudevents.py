"""The CloudEvents front: HTTP/1.1 requests with events in, answers by status out (HTTP binding 1.0.2; problem
documents by RFC 9457; `Prefer: wait` by RFC 7240). Imported only where it is on.

h11 reads the requests: pipelining, keep-alive, chunked bodies, `Expect: 100-continue`, lengths that lie.
"""

from __future__ import annotations

import asyncio
import math
import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import h11
import msgspec

from rushhitch.acceptor import Acceptor, BadRequest, Pending, Reply, Submission
from rushhitch.cloudevents.events import BadEvent, Event
from rushhitch.cloudevents.http import MAX_BATCH_BYTES, decode
from rushhitch.cloudevents.mapping import Rules, acknowledgement, place_event
from rushhitch.fronts.client_connection import ClientConnection, Close, ConnectionOwner, Fault, Slot

MOST_AHEAD = 65_536  # bytes of further requests that are read while one is under way
MOST_HEAD = 32_768  # bytes: 64 attributes as headers, most of them short
PENDING_MS = 1_000.0  # told where the same event is being taken on: by then it is
REFUSED_MS = 1_000.0  # told with a refusal for which the core names no time
MOST_WAIT_S = 60.0  # of a client that waits for the end: no message lives longer here
PROBLEM, JSON = b"application/problem+json", b"application/json"
WAIT = re.compile(r"(?:^|[,;\s])wait\s*=\s*\"?(\d{1,6})\"?(?:$|[,;\s])", re.IGNORECASE)
_json = msgspec.json.Encoder().encode

STATUS = {"taken": 202, "delivered": 200, "failed": 502, "refused": 503}
STATUS |= {"acknowledged": 200, "unknown": 404, "differs": 409, "late": 410}
FAULTS = {Fault.BAD: 400, Fault.LATE: 408, Fault.CROWD: 503, Fault.LEAVING: 503}
DETAIL = {
    "failed": "the event was not delivered, or may have been: to send it again as a new event may repeat it",
    "refused": "the event was not taken on, or never left: to send it again does no harm",
    "unknown": "no event of that name was sent, or it ended long ago",
    "differs": "the event has ended otherwise",
    "late": "the event was told as failed before this came",
}


@dataclass(slots=True)
class Outcome:
    """What a request says of one event: an HTTP status, 0 until the core has answered, and a JSON object."""

    status: int
    body: dict[str, Any]
    wait_ms: float = 0.0
    settled: bool = False  # nothing further is to come

    @classmethod
    def problem(cls, status: int, detail: str, wait_ms: float = 0.0, **more: str) -> Outcome:
        """A problem document (RFC 9457); the status tells its type."""
        shown = {"title": HTTPStatus(status).phrase, "status": status, "detail": detail}
        return cls(status, shown | {name: value for name, value in more.items() if value}, wait_ms, True)


def outcome_of(reply: Reply, event: Event) -> Outcome:
    """What a client hears of an event's state."""
    source, name = event.identity
    shown: dict[str, Any] = {"source": source, "id": name, "state": reply.status}
    if reply.status in DETAIL:
        shown = Outcome.problem(STATUS[reply.status], DETAIL[reply.status]).body | shown
    wait_ms = (reply.wait_ms or REFUSED_MS) if reply.status == "refused" else 0.0
    return Outcome(STATUS[reply.status], shown, wait_ms, reply.status != "taken")


def wait_of(headers: list[tuple[str, str]]) -> float:
    """Seconds of `Prefer: wait=N` (RFC 7240, section 4.3); 0 without one."""
    for name, value in headers:
        if name == "prefer" and (found := WAIT.search(value)):
            return min(float(found[1]), MOST_WAIT_S)
    return 0.0


class Intake:
    """The events of one request on their way through the core. `done` is called once, when each has been
    answered, and, with a wait, has ended or the wait is over."""

    def __init__(self, acceptor: Acceptor, rules: Rules, done: Callable[[], None]) -> None:
        self.acceptor, self.rules, self.done = acceptor, rules, done
        self.loop = asyncio.get_running_loop()
        self.outcomes: list[Outcome] = []
        self.handles: dict[int, int] = {}  # of offers without an answer, by place
        self.open: set[int] = set()  # places whose outcome is awaited
        self.wait_s = 0.0
        self.twins: dict[int, int] = {}  # places of an identity that an earlier place has
        self.timer: asyncio.TimerHandle | None = None
        self.started = self.over = False

    def start(self, events: list[Event | BadEvent], wait_s: float) -> None:
        self.wait_s = wait_s
        self.outcomes = [Outcome(0, {}) for _ in events]
        self.open = set(range(len(events)))
        if wait_s:
            self.timer = self.loop.call_later(wait_s, self.finish)
        first: dict[bytes, int] = {}
        for place, event in enumerate(events):
            if isinstance(event, BadEvent):
                self.settle(place, Outcome.problem(event.status, event.detail, attribute=event.attribute))
                continue
            try:
                told = acknowledgement(event, self.rules.acks)
                if told is not None:
                    self.acceptor.acknowledge(
                        told, lambda reply, at=place, of=event: self.told(at, reply, of)
                    )
                    continue
                offer = self.offer_of(event)
            except BadEvent as error:
                self.settle(place, Outcome.problem(error.status, error.detail, attribute=error.attribute))
                continue
            if offer.id in first:
                self.twins[place] = first[offer.id]
                self.open.discard(place)
                continue
            first[offer.id] = place
            self.hand_in(place, event, offer)
        self.started = True
        self.check()

    def offer_of(self, event: Event) -> Submission:
        place = place_event(event, self.rules, time.time())
        return Submission(
            place.id,
            place.cls,
            place.destination,
            place.left_ms,
            event.data or b"",
            place.key,
            attributes=_json(event.attributes),
            remember=True,
        )

    def hand_in(self, place: int, event: Event, offer: Submission) -> None:
        def answered(reply: Reply) -> None:
            self.handles.pop(place, None)
            self.told(place, reply, event)

        try:
            handle = self.acceptor.offer(offer, answered, lambda end: self.told(place, end, event))
        except Pending as error:
            self.settle(place, Outcome.problem(503, str(error), PENDING_MS))
        except BadRequest as error:
            self.settle(place, Outcome.problem(400, str(error)))
        else:
            if self.outcomes[place].status == 0:
                self.handles[place] = handle

    def told(self, place: int, reply: Reply, event: Event) -> None:
        """The core's word on one event; after the request's answer nobody listens any more."""
        if self.over:
            return
        outcome = outcome_of(reply, event)
        self.outcomes[place] = outcome
        if outcome.settled or not self.wait_s:
            self.open.discard(place)
            self.check()

    def settle(self, place: int, outcome: Outcome) -> None:
        self.outcomes[place] = outcome
        self.open.discard(place)

    def check(self) -> None:
        if self.started and not self.open and not self.over:
            self.finish()

    def finish(self) -> None:
        """Tell what is known. An event that the core has not answered yet keeps the request open."""
        if self.over:
            return
        self.wait_s = 0.0
        self.open = {place for place in self.open if not self.outcomes[place].status}
        if self.open:
            return
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        for place, twin in self.twins.items():
            self.outcomes[place] = self.outcomes[twin]
        self.done()


class CloudEventsConnection(ClientConnection):
    """One client connection. Requests are served one after another, in the order in which they came."""

    name = "cloudevents"

    def __init__(self, server: ConnectionOwner, rules: Rules) -> None:
        super().__init__(server)
        self.rules = rules
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.intake: Intake | None = None
        self.ended = False  # the client has ended its sending

    def error(self, text: str, fault: Fault) -> bytes:
        return self.response(Outcome.problem(FAULTS[fault], text), close=True)

    def connection_lost(self, error: Exception | None) -> None:
        if self.intake is not None and not self.intake.over:
            self.intake.over = True
            if self.intake.timer is not None:
                self.intake.timer.cancel()
            for slot in self.slots:
                slot.handles = list(self.intake.handles.values())
        super().connection_lost(error)

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            return
        self.heard()
        self.http.receive_data(data)
        self.serve()

    def transferable_input(self) -> bytes | None:
        """Between requests only: what h11 has read cannot be taken out of it."""
        if self.intake is not None and not self.intake.over:
            self.intake.finish()  # whoever waits for an end hears now what is known
        idle = self.http.our_state is h11.IDLE and not (self.slots or self.size or self.ended)
        return b"" if idle and not (self.deaf or self.full or self.finishing) else None

    def turned_away(self) -> bytes:
        return self.response(Outcome.problem(503, "the process ends", REFUSED_MS), close=True)

    def withdraw_requests(self) -> None:
        """What is known of a request's events is told; those with no answer yet are withdrawn. Its client may
        post all of them again: by their ids, what was taken on is not a new one."""
        intake = self.intake
        if intake is not None and not intake.over:
            intake.finish()
        if intake is not None and not intake.over:
            intake.over = True
            for handle in list(intake.handles.values()):
                self.acceptor.withdraw(handle)
        super().withdraw_requests()

    def eof_received(self) -> bool:
        """A client that has ended its sending still hears the answer that is due."""
        self.ended = True
        return bool(self.slots)

    def serve(self) -> None:
        """Read on until a request is whole, or more must come."""
        while not self.slots and not self.deaf:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                self.turn_away(Outcome.problem(error.error_status_hint, f"not HTTP/1.1: {error}"))
                return
            if event is h11.NEED_DATA:
                if self.request is not None and self.http.they_are_waiting_for_100_continue:
                    self.write(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))
                break
            if isinstance(event, h11.Request):
                self.request = event
                if wrong := self.unwanted(event):
                    self.turn_away(wrong)
                    return
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > MAX_BATCH_BYTES:
                    what = f"a body of more than {MAX_BATCH_BYTES} bytes: send several"
                    self.turn_away(Outcome.problem(413, what))
                    return
            elif isinstance(event, h11.EndOfMessage):
                self.take()
            else:  # paused until the answer is out, or the connection has ended
                break
        if self.ended and not self.slots:  # nothing further can come
            self.finish_up()
            return
        fits = self.half_sent(len(self.body) + len(self.http.trailing_data[0]))
        if not fits and not self.slots:
            self.turn_away(Outcome.problem(503, "too many requests are half sent", REFUSED_MS))
        self.read_on()

    def read_on(self) -> None:
        """Guards against a client that sends on and on while it waits for an answer."""
        super().read_on()
        if self.slots and self.size > MOST_AHEAD and self.transport is not None:
            self.transport.pause_reading()

    def unwanted(self, request: h11.Request) -> Outcome | None:
        """What speaks against a request before its body has come."""
        if request.method != b"POST":
            return Outcome.problem(405, f"{request.method[:20].decode('latin-1')}: use POST")
        names = [name for name, _ in request.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # Guards against requests that a proxy before us takes apart otherwise (RFC 9112, section 6.1).
            return Outcome.problem(400, "Content-Length beside Transfer-Encoding: send one of them")
        for name, value in request.headers:
            if name == b"content-length" and int(value) > MAX_BATCH_BYTES:
                return Outcome.problem(413, f"a body of {int(value)} bytes, more than {MAX_BATCH_BYTES}")
        return None

    def take(self) -> None:
        """A request is whole: hand its events in."""
        assert self.request is not None, "h11 gives the head first"
        headers = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in self.request.headers]
        body, self.body = bytes(self.body), bytearray()
        slot = Slot()
        self.slots.append(slot)
        try:
            mode, events = decode(headers, body)
        except BadEvent as error:
            wrong = Outcome.problem(error.status, error.detail, attribute=error.attribute)
            self.reply(slot, self.response(wrong))
            return
        self.asked = True
        wait_s = wait_of(headers)
        self.intake = Intake(self.acceptor, self.rules, lambda: self.answer(slot, mode, wait_s))
        self.intake.start(events, wait_s)

    def answer(self, slot: Slot, mode: str, wait_s: float) -> None:
        assert self.intake is not None, "an answer follows an intake"
        outcomes = self.intake.outcomes
        applied = [(b"Preference-Applied", b"wait=%d" % wait_s)] if wait_s else []
        if mode == "batch":
            waits = [outcome.wait_ms for outcome in outcomes if outcome.wait_ms]
            rows = [outcome.body | {"status": outcome.status} for outcome in outcomes]
            told = {outcome.status for outcome in outcomes}
            status = told.pop() if len(told) == 1 else 207 if told else 200
            self.reply(slot, self.respond(status, JSON, _json(rows), max(waits, default=0.0), applied))
        else:
            self.reply(slot, self.response(outcomes[0], headers=applied))

    def reply(self, slot: Slot, answer: bytes) -> bool:
        written = super().reply(slot, answer)
        if not self.open() or self.deaf:
            return written
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE and not self.finishing:
            self.http.start_next_cycle()
            self.request = None
            self.loop.call_soon(self.serve)  # not deeper and deeper into a pipeline
        else:
            self.finish_up()
        return written

    def finish_up(self) -> None:
        """No further request is read here; the connection ends with the answer that is out."""
        self.deaf = True
        self.read_on()
        self.end(Close.LEAVING if self.finishing else Close.ENDED)

    def turn_away(self, outcome: Outcome) -> None:
        """An answer to what was not read whole: the rest may be anything, so the connection ends."""
        slot = Slot()
        self.slots.append(slot)
        self.half_sent(0)
        self.body.clear()
        self.finishing = self.deaf = True
        self.read_on()
        super().reply(slot, self.response(outcome, close=True))

    def response(
        self, outcome: Outcome, close: bool = False, headers: list[tuple[bytes, bytes]] | None = None
    ) -> bytes:
        kind = PROBLEM if outcome.status >= 400 else JSON
        return self.respond(outcome.status, kind, _json(outcome.body), outcome.wait_ms, headers or [], close)

    def respond(
        self,
        status: int,
        kind: bytes,
        body: bytes,
        wait_ms: float,
        headers: list[tuple[bytes, bytes]],
        close: bool = False,
    ) -> bytes:
        """The bytes of an answer; `Retry-After` in whole seconds, rounded up (RFC 9110, section 10.2.3)."""
        told = [(b"Content-Type", kind), (b"Content-Length", b"%d" % len(body)), *headers]
        if status == 405:
            told.append((b"Allow", b"POST"))
        if wait_ms:
            told.append((b"Retry-After", b"%d" % math.ceil(wait_ms / 1000.0)))
        if close or self.finishing:
            told.append((b"Connection", b"close"))
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b""
        parts = (
            self.http.send(h11.Response(status_code=status, headers=told, reason=HTTPStatus(status).phrase)),
            self.http.send(h11.Data(data=body)),
            self.http.send(h11.EndOfMessage()),
        )
        return b"".join(part for part in parts if part)

    def write(self, data: bytes | None) -> None:
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)


def front(rules: Rules) -> Callable[[ConnectionOwner], CloudEventsConnection]:
    """Makes the connections of a listener."""
    return lambda server: CloudEventsConnection(server, rules)
