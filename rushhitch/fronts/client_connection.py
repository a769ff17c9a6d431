"""Client connections, the part common to all fronts: ordered answers, resource limits, closing."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from rushhitch.acceptor import Acceptor
from rushhitch.fronts import admission
from rushhitch.fronts.admission import ConnectionActivity
from rushhitch.fronts.receipts import MIN_RECEIPT_DOUBT_S, SLACK_S, Ending, Receipts
from rushhitch.fronts.socket_state import ending_of, unacknowledged, unsent

log = logging.getLogger(__name__)

READ_BYTES = 65_536  # from a socket at once
MAX_REQUEST_BYTES = 69_632  # of a request with one message: its body and 4 KiB
NOT_CONFIRMED = "its client's system did not confirm the answer in time"
MAX_UNSENT_BYTES = 256  # of answers to a pipelined burst; with more unsent, the client is not reading them


class ConnectionOwner(Protocol):
    """Holds the connections of all fronts, within limits that they share."""

    acceptor: Acceptor
    incomplete_bytes: int  # of requests received in part
    max_incomplete_bytes: int
    clients: dict[ClientConnection, None]  # least recently active first
    connecting: dict[ClientConnection, None]  # accepted, transport not set up yet
    closed: Counter[str]  # connections closed by this side, by `CloseReason`

    def mark_active(self, client: ClientConnection) -> None:
        """Called when bytes arrive from the client."""

    def make_room(self) -> bool:
        """Whether there is room for one more connection, evicting one if needed."""


class ResponseSlot:
    """One request's place in the queue of answers of its connection."""

    def __init__(self) -> None:
        self.answer = b""
        self.accepted = False  # the kernel has taken the answer that accepts the message
        self.handles: list[int] = []  # of submissions not answered yet


class ErrorReason(Enum):
    """Why a connection is closed with an error answer."""

    MALFORMED = "it sent what cannot be read"
    TIMED_OUT = "what was due of it did not come"
    TOO_MANY_CLIENTS = "there are too many of them"
    SHUTDOWN = "the process ends"


class CloseReason(Enum):
    """Why this side closes a client's connection; the values appear in counters and logs."""

    REFUSED = "refused"  # input malformed or too slow, or too many connections
    IDLE = "idle"  # no request for `admission.IDLE_S`
    MADE_ROOM = "made_room"  # evicted between requests for a new connection
    ENDED = "ended"  # the client closed its sending side or asked for a close
    NOT_READING = "stuck"  # the client does not read its answers
    SHUTDOWN = "leaving"  # this process shuts down


@dataclass(frozen=True, slots=True)
class TransferredConnection:
    """State that goes with a client's connection handed over by another process."""

    tail: bytes  # of a request received in part
    asked: bool  # it has made a valid request
    heard_at: float  # as in `ClientConnection`, in seconds of the monotonic clock that both processes share
    unconfirmed: list[int]  # handles of messages whose acceptance the client may not have received


class ClientConnection(asyncio.Protocol):
    """One client connection; answers go out in the order of the requests. A front implements
    `data_received`, which must report buffered input by `set_incomplete_size`, and the answers `error` and
    `refusal`."""

    name = ""  # of the front

    def __init__(self, server: ConnectionOwner) -> None:
        self.server, self.acceptor = server, server.acceptor
        self.loop = asyncio.get_running_loop()
        self.slots: deque[ResponseSlot] = deque()
        self.transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None  # of the transport
        self.resting: asyncio.TimerHandle | None = None  # no requests are served until it fires
        self.heard_at = self.loop.time()  # connected, began a request or was last answered
        self.connected_at = self.last_byte_at = self.heard_at
        self.size = 0  # bytes of the request received in part
        self.asked = False  # it has made a valid request
        self.write_paused = False  # the client does not read its answers
        self.ignores_input = False  # after malformed input
        self.draining = False  # closes as soon as no request is open
        self.serving = False  # in the loop that takes requests from the reader
        self.close_reason = CloseReason.SHUTDOWN  # used when draining ends
        self.input_closed = False  # the client closed its sending side
        self.has_room: bool | None = None  # as found at accept; None if not checked
        self.transferred: TransferredConnection | None = None  # set before there is a transport
        self.receipts = Receipts()
        self.receipt_check_timer: asyncio.TimerHandle | None = None
        self.write_failed = False
        self.half_closed = False  # by the client, and nothing was written since

    def error(self, text: str, reason: ErrorReason) -> bytes:
        """The front's error answer, after which the connection is closed."""
        raise NotImplementedError

    def refusal(self) -> bytes:
        """The answer to a request for which nothing was done, so that the client may repeat it."""
        raise NotImplementedError

    def answer_unserved(self) -> None:
        """Answer complete requests that have not been served, without waiting."""

    def set_incomplete_size(self, size: int) -> bool:
        """Note how many bytes of an incomplete request are buffered. Returns False if all connections
        together exceed their limit."""
        self.server.incomplete_bytes += size - self.size
        self.size = size
        return self.server.incomplete_bytes <= self.server.max_incomplete_bytes

    def mark_received(self) -> None:
        self.server.mark_active(self)
        self.last_byte_at = self.loop.time()
        if not self.size:
            self.heard_at = self.last_byte_at

    @property
    def activity(self) -> ConnectionActivity:
        awaiting_answer = bool(self.slots or self.resting)
        return ConnectionActivity(
            self.connected_at,
            self.heard_at,
            self.last_byte_at,
            self.size,
            self.asked,
            awaiting_answer and not self.ignores_input,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Everything that reading depends on is set here: an event loop may read from a transport as soon as
        this returns, before whoever awaits the transport runs."""
        self.transport = transport  # type: ignore[assignment]
        self.server.connecting.pop(self, None)
        has_room = self.server.make_room() if self.has_room is None else self.has_room
        self.server.clients[self] = None
        if self.transferred is not None:
            self.resume(self.transferred)
            self.transferred = None
        if not has_room and self.is_open():
            self.refuse("too many clients are connected", ErrorReason.TOO_MANY_CLIENTS)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.clients.pop(self, None)
        self.set_incomplete_size(0)
        if self.resting is not None:
            self.resting.cancel()
        for slot in self.slots:
            for handle in slot.handles:
                self.acceptor.withdraw(handle)
        self.slots.clear()
        if self.receipt_check_timer is not None:
            self.receipt_check_timer.cancel()
        if error is not None or self.write_failed:
            self.abandon_unconfirmed(Ending.RESET)

    def abandon_unconfirmed(self, ending: Ending) -> None:
        """The client has gone: abandon the messages whose acceptance it may not have received."""
        if not self.receipts.unconfirmed:
            return
        assert self.sock is not None, "it has had answers"
        for handle in self.receipts.take_unconfirmed(ending, unacknowledged(self.sock)):
            self.acceptor.abandon(handle, ending.value)

    def schedule_receipt_check(self) -> None:
        """If receipt of an answer is in doubt, check soon whether the client is still connected."""
        if self.receipts.unconfirmed and self.receipt_check_timer is None:
            self.receipt_check_timer = self.loop.call_later(MIN_RECEIPT_DOUBT_S, self.check_receipts)

    def check_receipts(self) -> None:
        """Runs from a timer, by which time the loop has read the input that had arrived."""
        self.receipt_check_timer = None
        if self.sock is None or not self.is_open():
            return
        self.check_client()  # input stays unread while `resting`
        now, unacknowledged_bytes = self.loop.time(), unacknowledged(self.sock)
        for handle in self.receipts.overdue(unacknowledged_bytes, now):
            self.acceptor.abandon(handle, NOT_CONFIRMED)
        again_at = self.receipts.confirm_older(unacknowledged_bytes, now)
        if again_at is not None:
            self.receipt_check_timer = self.loop.call_at(again_at, self.check_receipts)

    def check_client(self, known_ending: Ending | None = None) -> None:
        """Abandon unconfirmed messages if the client has gone; called before anything is done for it.
        `known_ending` is the ending already read: a reset may follow an end of input, which is read first."""
        if not self.receipts.unconfirmed:
            return
        assert self.sock is not None, "it has had answers"
        if (ending := ending_of(self.sock) or known_ending) is not None:
            self.abandon_unconfirmed(ending)

    def update_reading(self) -> None:
        """Pause or resume reading according to the state."""
        if self.transport is not None and not self.transport.is_closing():
            if self.ignores_input or self.write_paused or self.resting:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def is_open(self) -> bool:
        """Whether answers can be written."""
        return self.transport is not None and not self.transport.is_closing()

    def reachable(self, slot: ResponseSlot) -> bool:
        """Whether the kernel would take an answer to this request now, from a client that is still connected
        and reading: no other answer is due first, and the client has not closed its side."""
        if not self.is_open() or not self.slots or self.slots[0] is not slot:
            return False
        assert self.transport is not None and self.sock is not None, "it is open"
        if self.transport.get_write_buffer_size():
            return False
        if (ending := ending_of(self.sock)) is not None:
            self.abandon_unconfirmed(ending)
            self.half_closed = ending is Ending.INPUT_ENDED
            return False
        return unsent(self.sock) <= MAX_UNSENT_BYTES

    def reply(self, slot: ResponseSlot, answer: bytes) -> bool:
        """Answer a request once those before it are answered. Returns False if the connection is gone, even
        if only this write shows it."""
        slot.answer = answer
        slot.handles.clear()
        if not self.is_open():
            return False
        self.heard_at = self.loop.time()
        return self.write_answers()

    def reply_now(self, slot: ResponseSlot, answer: bytes) -> bool:
        """Answer a `reachable` request directly on the socket, past all buffers of the process. Returns False
        if the kernel does not take the whole answer; the client is then refused or, if part of the answer
        went out, its connection is aborted."""
        assert self.sock is not None, "it is reachable"
        handles, slot.handles = slot.handles, []
        self.heard_at = self.loop.time()
        try:
            # Do little after this: until the core has noted the acceptance, its receipt is in doubt.
            sent = self.sock.send(answer)
        except BlockingIOError:
            self.reply(slot, self.refusal())
            return False
        except OSError:
            sent = 0
        self.slots.popleft()
        if sent < len(answer):
            self.close(CloseReason.NOT_READING, abort=True)
            return False
        self.receipts.wrote(sent)
        slot.accepted = True
        for handle in handles:
            self.receipts.accepted(handle, self.heard_at)
        self.schedule_receipt_check()
        if self.slots or self.draining:
            self.write_answers()
        return True

    def write_answers(self) -> bool:
        """Write the answers whose turn it is. Returns False if the connection broke."""
        assert self.transport is not None, "it is open"
        while self.slots and self.slots[0].answer:
            answer = self.slots.popleft().answer
            self.receipts.wrote(len(answer))
            left, self.half_closed = self.half_closed, False
            if left:
                self.check_client()
            self.transport.write(answer)
            if left:
                self.ignore_expected_reset()
        written = self.is_open()
        if self.draining:
            self.close_if_idle()
        return written

    def ignore_expected_reset(self) -> None:
        """A client that closed in order resets on a later write. That reset must not count as an unread
        answer; a client that is half-closed and still reading sends none."""
        if self.sock is not None and ending_of(self.sock) is Ending.RESET:
            self.receipts.mark_closed_in_order()

    def withdraw_requests(self) -> None:
        """The client may be gone: withdraw the open requests and refuse them, in case it still reads."""
        for slot in list(self.slots):
            if slot.answer:
                continue
            handles, slot.handles = slot.handles, []
            for handle in handles:
                self.acceptor.withdraw(handle)
            self.reply(slot, self.refusal())

    def eof_received(self) -> bool:
        """The client has closed its sending side. It may have gone and submitted its requests elsewhere, so
        what is not accepted yet is refused, which is also valid for a client that still reads. If receipt of
        an answer is in doubt the connection stays open for `SLACK_S`, so that a reset can still show that the
        client closed without reading."""
        self.input_closed = True
        self.check_client(Ending.INPUT_ENDED)
        self.answer_unserved()
        self.half_closed = True
        self.withdraw_requests()
        if self.receipts.unconfirmed:
            self.loop.call_later(SLACK_S, self.finish_input)
            return True
        self.finish_input()
        return False

    def finish_input(self) -> None:
        self.check_client()
        self.close(CloseReason.ENDED)  # once its answers are written

    def refuse(self, text: str, reason: ErrorReason) -> None:
        """Send an error after the answers that are due, and close."""
        self.answer_unserved()
        slot = ResponseSlot()
        self.slots.append(slot)
        self.ignores_input = self.draining = True
        self.close_reason = CloseReason.REFUSED
        self.update_reading()
        self.reply(slot, self.error(text, reason))

    def has_unread_input(self) -> bool:
        """Whether the socket has input (or an end of input) that was not read."""
        assert self.transport is not None, "there is no connection yet"
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def is_idle(self) -> bool:
        """Whether no request is open, as far as input was read."""
        return self.ignores_input or not (self.slots or self.size or self.resting or self.serving)

    def close_when_idle(self, reason: CloseReason = CloseReason.SHUTDOWN) -> bool:
        """Close at once if no request is open or unread, else when the open ones are answered. Returns
        whether the connection is closed."""
        if not self.draining:
            self.draining, self.close_reason = True, reason
        if self.transport is not None and not self.transport.is_closing() and not self.has_unread_input():
            self.close_if_idle()
        return self.transport is None or self.transport.is_closing()

    def evict(self) -> bool:
        """Make room for another connection; a client that stalled within a request gets an error. Returns
        whether the connection is closed."""
        if self.size and not self.ignores_input:
            if not self.has_unread_input():
                self.refuse("too many clients are connected", ErrorReason.TOO_MANY_CLIENTS)
        else:
            self.close_when_idle(CloseReason.MADE_ROOM)
            if self.transport is not None and self.transport.is_closing():
                if self.transport.get_write_buffer_size():
                    self.close(CloseReason.NOT_READING, abort=True)  # else it keeps its file descriptor
        return self.transport is None or self.transport.is_closing()

    def close_if_idle(self) -> None:
        if not self.slots and self.is_idle():
            self.close(self.close_reason)

    def close(self, reason: CloseReason, abort: bool = False) -> None:
        """Close the connection; no other code closes its transport. With `abort`, unsent answers are
        discarded. Callers must have answered every request before."""
        if self.transport is None:
            return
        if any(not slot.answer for slot in self.slots):
            self.server.closed["with_requests"] += 1
            log.error(
                "client connection closed with unanswered requests; refusing them",
                extra={"reason": reason.value},
            )
            self.withdraw_requests()
        if not self.transport.is_closing():
            self.server.closed[reason.value] += 1
            log.debug("client connection closed", extra={"reason": reason.value})
        if abort:
            self.write_failed = True
            self.transport.abort()
        else:
            self.transport.close()

    def shut_down(self) -> None:
        """Answer every request that has arrived and close, without waiting; refuse a partial one. Called as
        the process shuts down."""
        self.read_arrived_input()
        self.draining = True
        self.check_client()
        self.answer_unserved()
        self.withdraw_requests()
        if self.size and not self.ignores_input and self.is_open():
            self.refuse("the process ends", ErrorReason.SHUTDOWN)
        self.close(CloseReason.SHUTDOWN)

    def read_arrived_input(self) -> None:
        """Read what has arrived from the socket itself, since an event loop reads only in a later step."""
        while self.is_open() and self.transport.is_reading():  # type: ignore[union-attr]
            assert self.sock is not None, "it has a transport"
            try:
                data = self.sock.recv(READ_BYTES)
            except OSError:  # nothing there, or a reset, which `check_client` sees
                return
            if not data:
                return
            self.data_received(data)

    def transferable_input(self) -> bytes | None:
        """The bytes read of a partial request, with which another process continues; None while the
        connection cannot be handed over."""
        return None

    def resume(self, adopted: TransferredConnection) -> None:
        """Continue where the process that handed the connection over stopped reading."""
        self.asked = adopted.asked
        for handle in adopted.unconfirmed:
            self.receipts.accepted(handle, self.loop.time())
            self.acceptor.set_client_check(handle, self.check_client)
        self.schedule_receipt_check()
        if adopted.tail:
            self.data_received(adopted.tail)
        self.heard_at = adopted.heard_at

    def enforce_timeouts(self, now: float) -> None:
        """Close the connection of a client that is silent, stalls within a request, idles for too long or
        does not read its last answers. Called periodically; `now` is loop time in seconds."""
        activity = self.activity
        if self.transport is None:
            return
        if self.transport.is_closing() or self.ignores_input:
            unanswered = any(not slot.answer for slot in self.slots)
            if now - self.heard_at >= admission.SILENT_S and not unanswered:
                self.close(CloseReason.NOT_READING, abort=True)
        elif activity.overdue(now):
            if self.has_unread_input():
                return
            text = "the rest of the request did not come" if self.size else "no request came that makes sense"
            self.refuse(text, ErrorReason.TIMED_OUT)
        elif activity.idle(now) and not self.has_unread_input():
            self.close_when_idle(CloseReason.IDLE)

    def pause_writing(self) -> None:
        """Stops reading, since a client that pipelines without reading answers would fill memory."""
        self.write_paused = True
        self.update_reading()

    def resume_writing(self) -> None:
        self.write_paused = False
        self.update_reading()
