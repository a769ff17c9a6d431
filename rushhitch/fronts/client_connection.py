"""What the client connections of all fronts have in common: answers in order, bounds, and how they end."""

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
from rushhitch.fronts.receipts import BLIND_DOUBT_S, SLACK_S, Ending, Receipts
from rushhitch.fronts.socket_state import ending_of, unacknowledged, unsent

log = logging.getLogger(__name__)

MAX_REQUEST_BYTES = 69_632  # bytes of a request of one message: its body and 4 KiB
NOT_CONFIRMED = "its client's system did not confirm the answer in time"
MAX_UNSENT_BYTES = 256  # bytes of answers to a burst of requests: beyond that, the client does not read them


class ConnectionOwner(Protocol):
    """What holds the connections of all fronts, within bounds that they share."""

    acceptor: Acceptor
    incomplete_bytes: int  # bytes of requests that are half sent
    max_incomplete_bytes: int
    clients: dict[ClientConnection, None]  # in the order in which they were last heard
    connecting: dict[ClientConnection, None]  # accepted, and not set up yet
    closed: Counter[str]  # connections, by why this side closed them

    def mark_active(self, client: ClientConnection) -> None:
        """Bytes of it have come."""

    def make_room(self) -> bool:
        """Whether there is room for one more."""


class ResponseSlot:
    """The place of one request's answer among those of its connection."""

    def __init__(self) -> None:
        self.answer = b""
        self.accepted = False  # its message was, by an answer that is in the system's hands
        self.handles: list[int] = []  # of offers that have no answer yet


class ErrorReason(Enum):
    """Why a connection is ended with an error."""

    BAD = "it sent what cannot be read"
    LATE = "what was due of it did not come"
    CROWD = "there are too many of them"
    LEAVING = "the process ends"


class CloseReason(Enum):
    """Why a client's connection is closed by this side."""

    REFUSED = "refused"  # it sent what cannot be read, or too slowly, or there was no room for it
    IDLE = "idle"  # it stood between requests for long
    MADE_ROOM = "made_room"  # another came, and it stood between requests
    ENDED = "ended"  # its client has ended its sending, or asked for the end
    STUCK = "stuck"  # it does not take its answers
    LEAVING = "leaving"  # the process ends


@dataclass(frozen=True, slots=True)
class TransferredConnection:
    """What goes with a client's connection that another process passes on: the part of a request that has
    come, whether it has made one before, when it was last heard (by the clock that both processes have), and
    the messages whose acceptances it may not have heard."""

    tail: bytes
    asked: bool
    heard_at: float
    doubtful: list[int]


class ClientConnection(asyncio.Protocol):
    """One client connection; answers go out in the order of the requests. A front says how requests are read
    (`data_received`, which tells `set_incomplete_size` what it holds) and how an error looks (`error`)."""

    name = ""  # of the front

    def __init__(self, server: ConnectionOwner) -> None:
        self.server, self.acceptor = server, server.acceptor
        self.loop = asyncio.get_running_loop()
        self.slots: deque[ResponseSlot] = deque()
        self.transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None  # that of the transport
        self.resting: asyncio.TimerHandle | None = None  # until then nothing more of it is served
        self.heard_at = self.loop.time()  # when it connected, began a request or had its last answer
        self.connected_at = self.last_byte_at = self.heard_at
        self.size = 0  # bytes of a request that has not come whole
        self.asked = False  # it has made a request that makes sense
        self.write_paused = False  # it does not take its answers
        self.ignores_input = False  # it sent what can't be read: nothing more is
        self.draining = False  # it is closed as soon as no request is under way
        self.serving = False  # in the middle of taking requests from its reader
        self.close_reason = CloseReason.LEAVING  # it finishes
        self.input_closed = False  # the client has ended its sending, or nothing more is read of it
        self.has_room: bool | None = None  # whether there was room for it as it was accepted
        self.receipts = Receipts()
        self.receipt_check_timer: asyncio.TimerHandle | None = None  # the next look at what is in doubt
        self.write_failed = False  # the client does not take what is written
        self.half_closed = False  # it ended its sending, and nothing has been written to it since

    def error(self, text: str, fault: ErrorReason) -> bytes:
        """An error as the front's protocol has it, for what cannot be read."""
        raise NotImplementedError

    def refusal(self) -> bytes:
        """The answer to a request that is refused: nothing was done for it, and it may come again."""
        raise NotImplementedError

    def answer_unserved(self) -> None:
        """Answer the requests that were read whole and not taken yet, in this step."""

    def set_incomplete_size(self, size: int) -> bool:
        """So many bytes of a request have come without its end; False if all together hold too many."""
        self.server.incomplete_bytes += size - self.size
        self.size = size
        return self.server.incomplete_bytes <= self.server.max_incomplete_bytes

    def mark_received(self) -> None:
        """Bytes have come."""
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
        self.transport = transport  # type: ignore[assignment]
        self.server.connecting.pop(self, None)
        if not (self.server.make_room() if self.has_room is None else self.has_room):
            self.refuse("too many clients are connected", ErrorReason.CROWD)
        self.server.clients[self] = None

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
        """The client has gone: tell the core which acceptances it may not have heard."""
        if not self.receipts.doubtful:
            return
        assert self.sock is not None, "it has had answers"
        for handle in self.receipts.unheard(ending, unacknowledged(self.sock)):
            self.acceptor.abandon(handle, ending.value)

    def schedule_receipt_check(self) -> None:
        """Look soon whether the client is still there, where one of its answers is in doubt."""
        if self.receipts.doubtful and self.receipt_check_timer is None:
            self.receipt_check_timer = self.loop.call_later(BLIND_DOUBT_S, self.check_receipts)

    def check_receipts(self) -> None:
        """A timer, so that the loop has read by now what had come of the connection."""
        self.receipt_check_timer = None
        if self.sock is None or not self.is_open():
            return
        self.check_client()  # what has come may be unread, while the connection rests
        now, unconfirmed = self.loop.time(), unacknowledged(self.sock)
        for handle in self.receipts.overdue(unconfirmed, now):
            self.acceptor.abandon(handle, NOT_CONFIRMED)
        again_at = self.receipts.still_there(unconfirmed, now)
        if again_at is not None:
            self.receipt_check_timer = self.loop.call_at(again_at, self.check_receipts)

    def check_client(self, seen: Ending | None = None) -> None:
        """See whether the client has gone in the meantime, before anything is done for it; `seen` is how, as
        far as that was read. A reset may stand behind an end of input, which is read first."""
        if not self.receipts.doubtful:
            return
        assert self.sock is not None, "it has had answers"
        if (ending := ending_of(self.sock) or seen) is not None:
            self.abandon_unconfirmed(ending)

    def update_reading(self) -> None:
        """Read, or stop reading, as its state has it."""
        if self.transport is not None and not self.transport.is_closing():
            if self.ignores_input or self.write_paused or self.resting:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def is_open(self) -> bool:
        """Whether answers can be written."""
        return self.transport is not None and not self.transport.is_closing()

    def reachable(self, slot: ResponseSlot) -> bool:
        """Whether an answer to that request would reach the system in this step, for a client that is still
        there and reads: none stands before it, and the client has not ended its side."""
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
        """Answer a request, once those before it have their answers. False where the connection is gone, also
        if that shows only as this answer is written."""
        slot.answer = answer
        slot.handles.clear()
        if not self.is_open():
            return False
        self.heard_at = self.loop.time()
        return self.write_answers()

    def reply_now(self, slot: ResponseSlot, answer: bytes) -> bool:
        """Answer a request that is `reachable` in this step, past all buffers of the process. False where the
        system does not take the whole of the answer: then the client is refused or, where it had a part, sees
        its connection end."""
        assert self.sock is not None, "it is reachable"
        handles, slot.handles = slot.handles, []
        self.heard_at = self.loop.time()
        try:
            sent = self.sock.send(
                answer
            )  # as little as may be follows: until the core notes it, it is in doubt
        except BlockingIOError:
            self.reply(slot, self.refusal())
            return False
        except OSError:
            sent = 0
        self.slots.popleft()
        if sent < len(answer):
            self.close(CloseReason.STUCK, abort=True)
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
        """Write the answers that no other stands before. False where the connection broke under them."""
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
        """A client that has left in order meets what is written to it with a reset, which proves nothing; one
        that still listens does not."""
        if self.sock is not None and ending_of(self.sock) is Ending.RESET:
            self.receipts.left()

    def withdraw_requests(self) -> None:
        """Nobody may hear the answers to what was read: nothing is done for it, and whoever still listens is
        told so."""
        for slot in list(self.slots):
            if slot.answer:
                continue
            handles, slot.handles = slot.handles, []
            for handle in handles:
                self.acceptor.withdraw(handle)
            self.reply(slot, self.refusal())

    def eof_received(self) -> bool:
        """The client has ended its sending. It may have gone, and have handed its requests in elsewhere: what
        is not accepted yet is refused, which is right for one that still listens as well. Where it may not
        have read its last answer the connection stays a moment: its client may close over that."""
        self.input_closed = True
        self.check_client(Ending.INPUT_ENDED)
        self.answer_unserved()
        self.half_closed = True
        self.withdraw_requests()
        if self.receipts.doubtful:
            self.loop.call_later(SLACK_S, self.finish_input)
            return True
        self.finish_input()
        return False

    def finish_input(self) -> None:
        self.check_client()
        self.close(CloseReason.ENDED)  # once its answers are written

    def refuse(self, text: str, fault: ErrorReason) -> None:
        """Say what is wrong, after the answers that are due, and close."""
        self.answer_unserved()
        slot = ResponseSlot()
        self.slots.append(slot)
        self.ignores_input = self.draining = True
        self.close_reason = CloseReason.REFUSED
        self.update_reading()
        self.reply(slot, self.error(text, fault))

    def has_unread_input(self) -> bool:
        """Whether something waits to be read."""
        assert self.transport is not None, "there is no connection yet"
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def is_idle(self) -> bool:
        """Whether it stands between two requests, as far as they were read."""
        return self.ignores_input or not (self.slots or self.size or self.resting or self.serving)

    def close_when_idle(self, why: CloseReason = CloseReason.LEAVING) -> bool:
        """Close between requests: at once if none is under way, nor waits to be read."""
        if not self.draining:
            self.draining, self.close_reason = True, why
        if self.transport is not None and not self.transport.is_closing() and not self.has_unread_input():
            self.close_if_idle()
        return self.transport is None or self.transport.is_closing()

    def evict(self) -> bool:
        """Make room for another. One that has stopped within a request hears why."""
        if self.size and not self.ignores_input:
            if not self.has_unread_input():
                self.refuse("too many clients are connected", ErrorReason.CROWD)
        else:
            self.close_when_idle(CloseReason.MADE_ROOM)
            if self.transport is not None and self.transport.is_closing():
                if self.transport.get_write_buffer_size():
                    self.close(CloseReason.STUCK, abort=True)  # it would keep its descriptor
        return self.transport is None or self.transport.is_closing()

    def close_if_idle(self) -> None:
        if not self.slots and self.is_idle():
            self.close(self.close_reason)

    def close(self, why: CloseReason, abort: bool = False) -> None:
        """Close the connection; the only place that does. With `abort`, what was not taken of its answers is
        given up. A request that was read has its answer before."""
        if self.transport is None:
            return
        if any(not slot.answer for slot in self.slots):
            self.server.closed["with_requests"] += 1
            log.error("a connection is closed under its requests", extra={"reason": why.value})
            self.withdraw_requests()
        if not self.transport.is_closing():
            self.server.closed[why.value] += 1
            log.debug("a connection is closed", extra={"reason": why.value})
        if abort:
            self.write_failed = True
            self.transport.abort()
        else:
            self.transport.close()

    def shut_down(self) -> None:
        """The process ends: in this step, all that was read is answered and the connection is closed. A
        request of which only a part has come is refused."""
        self.draining = True
        self.check_client()
        self.answer_unserved()
        self.withdraw_requests()
        if self.size and not self.ignores_input and self.is_open():
            self.refuse("the process ends", ErrorReason.LEAVING)
        self.close(CloseReason.LEAVING)

    def transferable_input(self) -> bytes | None:
        """What was read of a request that has not come whole, for another process to read on; None where the
        connection cannot be passed on as it stands."""
        return None

    def resume(self, adopted: TransferredConnection) -> None:
        """Go on where another process stopped reading."""
        self.asked = adopted.asked
        for handle in adopted.doubtful:
            self.receipts.accepted(handle, self.loop.time())
            self.acceptor.set_client_check(handle, self.check_client)
        self.schedule_receipt_check()
        if adopted.tail:
            self.data_received(adopted.tail)
        self.heard_at = adopted.heard_at

    def enforce_timeouts(self, now: float) -> None:
        """Guards against clients that say nothing, or half a request, or keep a connection for good."""
        activity = self.activity
        if self.transport is None:
            return
        if self.transport.is_closing() or self.ignores_input:
            unanswered = any(not slot.answer for slot in self.slots)
            if now - self.heard_at >= admission.SILENT_S and not unanswered:
                self.close(CloseReason.STUCK, abort=True)  # it does not take its last answers
        elif activity.overdue(now):
            if self.has_unread_input():
                return
            text = "the rest of the request did not come" if self.size else "no request came that makes sense"
            self.refuse(text, ErrorReason.LATE)
        elif activity.idle(now) and not self.has_unread_input():
            self.close_when_idle(CloseReason.IDLE)

    def pause_writing(self) -> None:
        """Guards against a client that asks on and on but takes no answers."""
        self.write_paused = True
        self.update_reading()

    def resume_writing(self) -> None:
        self.write_paused = False
        self.update_reading()
