"""The CloudEvents front: takes events by HTTP/1.1 (HTTP binding 1.0.2) and answers by status, with problem
documents (RFC 9457) and `Prefer: wait` (RFC 7240). Imported only if enabled.

h11 parses the requests: pipelining, keep-alive, chunked bodies, `Expect: 100-continue`, wrong lengths.
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
from rushhitch.fronts.client_connection import (
    ClientConnection,
    CloseReason,
    ConnectionOwner,
    ErrorReason,
    ResponseSlot,
)

MAX_PIPELINED_BYTES = 65_536  # read ahead while a request is open
MAX_HEAD_BYTES = 32_768  # 64 attributes as headers, most of them short
PENDING_RETRY_MS = 1_000.0  # while the same event is being accepted, which is done by then
REFUSED_RETRY_MS = 1_000.0  # for refusals for which the core gives no time
MAX_WAIT_S = 60.0  # no message lives longer here
PROBLEM, JSON = b"application/problem+json", b"application/json"
WAIT_PREFERENCE = re.compile(r"(?:^|[,;\s])wait\s*=\s*\"?(\d{1,6})\"?(?:$|[,;\s])", re.IGNORECASE)
_json = msgspec.json.Encoder().encode

STATUS = {"taken": 202, "delivered": 200, "failed": 502, "refused": 503}
STATUS |= {"acknowledged": 200, "unknown": 404, "differs": 409, "late": 410}
ERROR_STATUS = {
    ErrorReason.MALFORMED: 400,
    ErrorReason.TIMED_OUT: 408,
    ErrorReason.TOO_MANY_CLIENTS: 503,
    ErrorReason.SHUTDOWN: 503,
}
DETAIL = {
    "failed": "the event was not delivered, or may have been: to send it again as a new event may repeat it",
    "refused": "the event was not taken on, or never left: to send it again does no harm",
    "unknown": "no event of that name was sent, or it ended long ago",
    "differs": "the event has ended otherwise",
    "late": "the event was told as failed before this came",
}


@dataclass(slots=True)
class EventResult:
    """The answer for one event: an HTTP status (0 until the core has answered) and a JSON object."""

    status: int
    body: dict[str, Any]
    wait_ms: float = 0.0
    settled: bool = False  # final

    @classmethod
    def problem(cls, status: int, detail: str, wait_ms: float = 0.0, **extra: str) -> EventResult:
        """A problem document (RFC 9457), whose type is given by the status."""
        body = {"title": HTTPStatus(status).phrase, "status": status, "detail": detail}
        return cls(status, body | {name: value for name, value in extra.items() if value}, wait_ms, True)


def result_of(reply: Reply, event: Event) -> EventResult:
    """The answer to a client for a reply of the core."""
    source, name = event.identity
    body: dict[str, Any] = {"source": source, "id": name, "state": reply.status}
    if reply.status in DETAIL:
        body = EventResult.problem(STATUS[reply.status], DETAIL[reply.status]).body | body
    wait_ms = (reply.wait_ms or REFUSED_RETRY_MS) if reply.status == "refused" else 0.0
    return EventResult(STATUS[reply.status], body, wait_ms, reply.status != "taken")


def preferred_wait(headers: list[tuple[str, str]]) -> float:
    """Seconds of `Prefer: wait=N` (RFC 7240, section 4.3); 0 without one."""
    for name, value in headers:
        if name == "prefer" and (found := WAIT_PREFERENCE.search(value)):
            return min(float(found[1]), MAX_WAIT_S)
    return 0.0


class RequestEvents:
    """The events of one request while the core processes them. `on_done` is called once, when the core has
    answered each and, with a wait, each message has ended or the wait has expired."""

    def __init__(self, acceptor: Acceptor, rules: Rules, on_done: Callable[[], None]) -> None:
        self.acceptor, self.rules, self.on_done = acceptor, rules, on_done
        self.loop = asyncio.get_running_loop()
        self.results: list[EventResult] = []
        self.handles: dict[int, int] = {}  # of submissions not answered yet, by index of the event
        self.unsettled: set[int] = set()  # indices of events without a final result
        self.wait_s = 0.0
        self.duplicates: dict[int, int] = {}  # index of an event to the earlier one with the same identity
        self.wait_timer: asyncio.TimerHandle | None = None
        self.all_submitted = self.finished = False

    def start(self, events: list[Event | BadEvent], wait_s: float) -> None:
        self.wait_s = wait_s
        self.results = [EventResult(0, {}) for _ in events]
        self.unsettled = set(range(len(events)))
        if wait_s:
            self.wait_timer = self.loop.call_later(wait_s, self.finish)
        first_index: dict[bytes, int] = {}
        for index, event in enumerate(events):
            if isinstance(event, BadEvent):
                self.settle(index, EventResult.problem(event.status, event.detail, attribute=event.attribute))
                continue
            try:
                acknowledged = acknowledgement(event, self.rules.acks)
                if acknowledged is not None:
                    self.acceptor.acknowledge(
                        acknowledged, lambda reply, at=index, of=event: self.on_reply(at, reply, of)
                    )
                    continue
                submission = self.submission_of(event)
            except BadEvent as error:
                self.settle(index, EventResult.problem(error.status, error.detail, attribute=error.attribute))
                continue
            if submission.id in first_index:
                self.duplicates[index] = first_index[submission.id]
                self.unsettled.discard(index)
                continue
            first_index[submission.id] = index
            self.submit(index, event, submission)
        self.all_submitted = True
        self.finish_if_settled()

    def submission_of(self, event: Event) -> Submission:
        placement = place_event(event, self.rules, time.time())
        return Submission(
            placement.id,
            placement.cls,
            placement.destination,
            placement.left_ms,
            event.data or b"",
            placement.key,
            attributes=_json(event.attributes),
            remember=True,
        )

    def submit(self, index: int, event: Event, submission: Submission) -> None:
        def answered(reply: Reply) -> None:
            self.handles.pop(index, None)
            self.on_reply(index, reply, event)

        try:
            handle = self.acceptor.offer(submission, answered, lambda end: self.on_reply(index, end, event))
        except Pending as error:
            self.settle(index, EventResult.problem(503, str(error), PENDING_RETRY_MS))
        except BadRequest as error:
            self.settle(index, EventResult.problem(400, str(error)))
        else:
            if self.results[index].status == 0:
                self.handles[index] = handle

    def on_reply(self, index: int, reply: Reply, event: Event) -> None:
        """Called with each reply of the core for one event; ignored once the request is answered."""
        if self.finished:
            return
        result = result_of(reply, event)
        self.results[index] = result
        if result.settled or not self.wait_s:
            self.unsettled.discard(index)
            self.finish_if_settled()

    def settle(self, index: int, result: EventResult) -> None:
        self.results[index] = result
        self.unsettled.discard(index)

    def finish_if_settled(self) -> None:
        if self.all_submitted and not self.unsettled and not self.finished:
            self.finish()

    def finish(self) -> None:
        """Stop waiting and answer with the current states. The request stays open while the core has not
        answered each event."""
        if self.finished:
            return
        self.wait_s = 0.0
        self.unsettled = {index for index in self.unsettled if not self.results[index].status}
        if self.unsettled:
            return
        self.finished = True
        if self.wait_timer is not None:
            self.wait_timer.cancel()
        for index, original in self.duplicates.items():
            self.results[index] = self.results[original]
        self.on_done()


class CloudEventsConnection(ClientConnection):
    """A client connection that speaks HTTP/1.1. Pipelined requests are served one at a time, in order."""

    name = "cloudevents"

    def __init__(self, server: ConnectionOwner, rules: Rules) -> None:
        super().__init__(server)
        self.rules = rules
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.request_events: RequestEvents | None = None
        self.input_ended = False

    def error(self, text: str, reason: ErrorReason) -> bytes:
        return self.response(EventResult.problem(ERROR_STATUS[reason], text), close=True)

    def connection_lost(self, error: Exception | None) -> None:
        if self.request_events is not None and not self.request_events.finished:
            self.request_events.finished = True
            if self.request_events.wait_timer is not None:
                self.request_events.wait_timer.cancel()
            for slot in self.slots:
                slot.handles = list(self.request_events.handles.values())
        super().connection_lost(error)

    def data_received(self, data: bytes) -> None:
        if self.ignores_input:
            return
        self.mark_received()
        self.http.receive_data(data)
        self.serve()

    def transferable_input(self) -> bytes | None:
        """Between requests only, since h11 does not give back input it has buffered."""
        if self.request_events is not None and not self.request_events.finished:
            self.request_events.finish()  # answers a waiting client with the current states
        idle = self.http.our_state is h11.IDLE and not (self.slots or self.size or self.input_ended)
        return b"" if idle and not (self.ignores_input or self.write_paused or self.draining) else None

    def refusal(self) -> bytes:
        return self.response(EventResult.problem(503, "the process ends", REFUSED_RETRY_MS), close=True)

    def withdraw_requests(self) -> None:
        """Answer the open request with the current states and withdraw the events not answered yet. The
        client may post all of them again: an accepted one is recognised by its identity."""
        request_events = self.request_events
        if request_events is not None and not request_events.finished:
            request_events.finish()
        if request_events is not None and not request_events.finished:
            request_events.finished = True
            for handle in list(request_events.handles.values()):
                self.acceptor.withdraw(handle)
        super().withdraw_requests()

    def eof_received(self) -> bool:
        """Keep the connection open for the answer that is due."""
        self.input_ended = True
        return bool(self.slots)

    def serve(self) -> None:
        """Process input until a request is complete or more input is needed."""
        while not self.slots and not self.ignores_input:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                self.reject(EventResult.problem(error.error_status_hint, f"not HTTP/1.1: {error}"))
                return
            if event is h11.NEED_DATA:
                if self.request is not None and self.http.they_are_waiting_for_100_continue:
                    self.write(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))
                break
            if isinstance(event, h11.Request):
                self.request = event
                if problem := self.check_head(event):
                    self.reject(problem)
                    return
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > MAX_BATCH_BYTES:
                    detail = f"a body of more than {MAX_BATCH_BYTES} bytes: send several"
                    self.reject(EventResult.problem(413, detail))
                    return
            elif isinstance(event, h11.EndOfMessage):
                self.take_request()
            else:  # h11 is paused until the answer is sent, or the connection is closed
                break
        if self.input_ended and not self.slots:  # no further request can follow
            self.close_after_answer()
            return
        fits = self.set_incomplete_size(len(self.body) + len(self.http.trailing_data[0]))
        if not fits and not self.slots:
            self.reject(EventResult.problem(503, "too many requests are half sent", REFUSED_RETRY_MS))
        self.update_reading()

    def update_reading(self) -> None:
        """Also stops reading when a client with an open request has sent `MAX_PIPELINED_BYTES` ahead."""
        super().update_reading()
        if self.slots and self.size > MAX_PIPELINED_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def check_head(self, request: h11.Request) -> EventResult | None:
        """Check a request before its body arrives; returns the problem, None if it is acceptable."""
        if request.method != b"POST":
            return EventResult.problem(405, f"{request.method[:20].decode('latin-1')}: use POST")
        names = [name for name, _ in request.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # Request smuggling: a proxy may frame such a request differently (RFC 9112, section 6.1).
            return EventResult.problem(400, "Content-Length beside Transfer-Encoding: send one of them")
        for name, value in request.headers:
            if name == b"content-length" and int(value) > MAX_BATCH_BYTES:
                return EventResult.problem(413, f"a body of {int(value)} bytes, more than {MAX_BATCH_BYTES}")
        return None

    def take_request(self) -> None:
        """Submit the events of a complete request."""
        assert self.request is not None, "h11 yields the head first"
        headers = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in self.request.headers]
        body, self.body = bytes(self.body), bytearray()
        slot = ResponseSlot()
        self.slots.append(slot)
        try:
            mode, events = decode(headers, body)
        except BadEvent as error:
            problem = EventResult.problem(error.status, error.detail, attribute=error.attribute)
            self.reply(slot, self.response(problem))
            return
        self.asked = True
        wait_s = preferred_wait(headers)
        self.request_events = RequestEvents(
            self.acceptor, self.rules, lambda: self.answer(slot, mode, wait_s)
        )
        self.request_events.start(events, wait_s)

    def answer(self, slot: ResponseSlot, mode: str, wait_s: float) -> None:
        assert self.request_events is not None, "the events were submitted"
        results = self.request_events.results
        applied = [(b"Preference-Applied", b"wait=%d" % wait_s)] if wait_s else []
        if mode == "batch":
            waits = [result.wait_ms for result in results if result.wait_ms]
            rows = [result.body | {"status": result.status} for result in results]
            statuses = {result.status for result in results}
            status = statuses.pop() if len(statuses) == 1 else 207 if statuses else 200
            self.reply(slot, self.respond(status, JSON, _json(rows), max(waits, default=0.0), applied))
        else:
            self.reply(slot, self.response(results[0], headers=applied))

    def reply(self, slot: ResponseSlot, answer: bytes) -> bool:
        written = super().reply(slot, answer)
        if not self.is_open() or self.ignores_input:
            return written
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE and not self.draining:
            self.http.start_next_cycle()
            self.request = None
            self.loop.call_soon(self.serve)  # not by recursion, which would grow with the pipeline
        else:
            self.close_after_answer()
        return written

    def close_after_answer(self) -> None:
        """Read no further request; close once the answer is sent."""
        self.ignores_input = True
        self.update_reading()
        self.close(CloseReason.SHUTDOWN if self.draining else CloseReason.ENDED)

    def reject(self, result: EventResult) -> None:
        """Answer a request that was not read to its end, and close, since its remaining bytes are unknown."""
        slot = ResponseSlot()
        self.slots.append(slot)
        self.set_incomplete_size(0)
        self.body.clear()
        self.draining = self.ignores_input = True
        self.update_reading()
        super().reply(slot, self.response(result, close=True))

    def response(
        self, result: EventResult, close: bool = False, headers: list[tuple[bytes, bytes]] | None = None
    ) -> bytes:
        content_type = PROBLEM if result.status >= 400 else JSON
        return self.respond(
            result.status, content_type, _json(result.body), result.wait_ms, headers or [], close
        )

    def respond(
        self,
        status: int,
        content_type: bytes,
        body: bytes,
        wait_ms: float,
        headers: list[tuple[bytes, bytes]],
        close: bool = False,
    ) -> bytes:
        """The bytes of an answer, with `Retry-After` rounded up to seconds (RFC 9110, section 10.2.3)."""
        answer_headers = [(b"Content-Type", content_type), (b"Content-Length", b"%d" % len(body)), *headers]
        if status == 405:
            answer_headers.append((b"Allow", b"POST"))
        if wait_ms:
            answer_headers.append((b"Retry-After", b"%d" % math.ceil(wait_ms / 1000.0)))
        if close or self.draining:
            answer_headers.append((b"Connection", b"close"))
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b""
        parts = (
            self.http.send(
                h11.Response(status_code=status, headers=answer_headers, reason=HTTPStatus(status).phrase)
            ),
            self.http.send(h11.Data(data=body)),
            self.http.send(h11.EndOfMessage()),
        )
        return b"".join(chunk for chunk in parts if chunk)

    def write(self, data: bytes | None) -> None:
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)


def front(rules: Rules) -> Callable[[ConnectionOwner], CloudEventsConnection]:
    """Return the factory of a listener's connections."""
    return lambda server: CloudEventsConnection(server, rules)
