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
from rushhitch.fronts.admission import Standing
from rushhitch.fronts.receipts import BLIND_DOUBT_S, SLACK_S, Ending, Receipts
from rushhitch.fronts.socket_state import ending_of, unacknowledged, unsent

log = logging.getLogger(__name__)

MOST_REQUEST = 69_632  # bytes of a request of one message: its body and 4 KiB
NOT_CONFIRMED = "its client's system did not confirm the answer in time"
MOST_UNSENT = 256  # bytes of answers to a burst of requests: beyond that, the client does not read them


class ConnectionOwner(Protocol):
    """What holds the connections of all fronts, within bounds that they share."""

    acceptor: Acceptor
    begun: int  # bytes of requests that are half sent
    most_begun: int
    clients: dict[ClientConnection, None]  # in the order in which they were last heard
    coming: dict[ClientConnection, None]  # accepted, and not set up yet
    closed: Counter[str]  # connections, by why this side closed them

    def used(self, client: ClientConnection) -> None:
        """Bytes of it have come."""

    def make_room(self) -> bool:
        """Whether there is room for one more."""


class Slot:
    """The place of one request's answer among those of its connection."""

    def __init__(self) -> None:
        self.answer = b""
        self.accepted = False  # its message was, by an answer that is in the system's hands
        self.handles: list[int] = []  # of offers that have no answer yet


class Fault(Enum):
    """Why a connection is ended with an error."""

    BAD = "it sent what cannot be read"
    LATE = "what was due of it did not come"
    CROWD = "there are too many of them"
    LEAVING = "the process ends"


class Close(Enum):
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
    (`data_received`, which tells `half_sent` what it holds) and how an error looks (`error`)."""

    name = ""  # of the front

    def __init__(self, server: ConnectionOwner) -> None:
        self.server, self.acceptor = server, server.acceptor
        self.loop = asyncio.get_running_loop()
        self.slots: deque[Slot] = deque()
        self.transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None  # that of the transport
        self.resting: asyncio.TimerHandle | None = None  # until then nothing more of it is served
        self.heard_at = self.loop.time()  # when it connected, began a request or had its last answer
        self.connected_at = self.moved_at = self.heard_at
        self.size = 0  # bytes of a request that has not come whole
        self.asked = False  # it has made a request that makes sense
        self.full = False  # it does not take its answers
        self.deaf = False  # it sent what can't be read: nothing more is
        self.finishing = False  # it is closed as soon as no request is under way
        self.serving = False  # in the middle of taking requests from its reader
        self.why = Close.LEAVING  # it finishes
        self.input_closed = False  # the client has ended its sending, or nothing more is read of it
        self.placed: bool | None = None  # whether there was room for it as it was accepted
        self.receipts = Receipts()
        self.confirming: asyncio.TimerHandle | None = None  # the next look at what is in doubt
        self.broken = False  # the client does not take what is written
        self.left_in_order = False  # it ended its sending, and nothing has been written to it since

    def error(self, text: str, fault: Fault) -> bytes:
        """An error as the front's protocol has it, for what cannot be read."""
        raise NotImplementedError

    def turned_away(self) -> bytes:
        """The answer to a request that is refused: nothing was done for it, and it may come again."""
        raise NotImplementedError

    def serve_out(self) -> None:
        """Answer the requests that were read whole and not taken yet, in this step."""

    def half_sent(self, size: int) -> bool:
        """So many bytes of a request have come without its end; False if all together hold too many."""
        self.server.begun += size - self.size
        self.size = size
        return self.server.begun <= self.server.most_begun

    def heard(self) -> None:
        """Bytes have come."""
        self.server.used(self)
        self.moved_at = self.loop.time()
        if not self.size:
            self.heard_at = self.moved_at

    @property
    def standing(self) -> Standing:
        waits = bool(self.slots or self.resting)
        return Standing(
            self.connected_at, self.heard_at, self.moved_at, self.size, self.asked, waits and not self.deaf
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.server.coming.pop(self, None)
        if not (self.server.make_room() if self.placed is None else self.placed):
            self.refuse("too many clients are connected", Fault.CROWD)
        self.server.clients[self] = None

    def connection_lost(self, error: Exception | None) -> None:
        self.server.clients.pop(self, None)
        self.half_sent(0)
        if self.resting is not None:
            self.resting.cancel()
        for slot in self.slots:
            for handle in slot.handles:
                self.acceptor.withdraw(handle)
        self.slots.clear()
        if self.confirming is not None:
            self.confirming.cancel()
        if error is not None or self.broken:
            self.abandon_unheard(Ending.RESET)

    def abandon_unheard(self, ending: Ending) -> None:
        """The client has gone: tell the core which acceptances it may not have heard."""
        if not self.receipts.doubtful:
            return
        assert self.sock is not None, "it has had answers"
        for handle in self.receipts.unheard(ending, unacknowledged(self.sock)):
            self.acceptor.abandon(handle, ending.value)

    def watch_receipts(self) -> None:
        """Look soon whether the client is still there, where one of its answers is in doubt."""
        if self.receipts.doubtful and self.confirming is None:
            self.confirming = self.loop.call_later(BLIND_DOUBT_S, self.confirm_heard)

    def confirm_heard(self) -> None:
        """A timer, so that the loop has read by now what had come of the connection."""
        self.confirming = None
        if self.sock is None or not self.open():
            return
        self.check_client()  # what has come may be unread, while the connection rests
        now, unconfirmed = self.loop.time(), unacknowledged(self.sock)
        for handle in self.receipts.overdue(unconfirmed, now):
            self.acceptor.abandon(handle, NOT_CONFIRMED)
        again_at = self.receipts.still_there(unconfirmed, now)
        if again_at is not None:
            self.confirming = self.loop.call_at(again_at, self.confirm_heard)

    def check_client(self, seen: Ending | None = None) -> None:
        """See whether the client has gone in the meantime, before anything is done for it; `seen` is how, as
        far as that was read. A reset may stand behind an end of input, which is read first."""
        if not self.receipts.doubtful:
            return
        assert self.sock is not None, "it has had answers"
        if (ending := ending_of(self.sock) or seen) is not None:
            self.abandon_unheard(ending)

    def read_on(self) -> None:
        """Read, or stop reading, as its state has it."""
        if self.transport is not None and not self.transport.is_closing():
            if self.deaf or self.full or self.resting:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def open(self) -> bool:
        """Whether answers can be written."""
        return self.transport is not None and not self.transport.is_closing()

    def reachable(self, slot: Slot) -> bool:
        """Whether an answer to that request would reach the system in this step, for a client that is still
        there and reads: none stands before it, and the client has not ended its side."""
        if not self.open() or not self.slots or self.slots[0] is not slot:
            return False
        assert self.transport is not None and self.sock is not None, "it is open"
        if self.transport.get_write_buffer_size():
            return False
        if (ending := ending_of(self.sock)) is not None:
            self.abandon_unheard(ending)
            self.left_in_order = ending is Ending.INPUT_ENDED
            return False
        return unsent(self.sock) <= MOST_UNSENT

    def reply(self, slot: Slot, answer: bytes) -> bool:
        """Answer a request, once those before it have their answers. False where the connection is gone, also
        if that shows only as this answer is written."""
        slot.answer = answer
        slot.handles.clear()
        if not self.open():
            return False
        self.heard_at = self.loop.time()
        return self.write_answers()

    def reply_at_once(self, slot: Slot, answer: bytes) -> bool:
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
            self.reply(slot, self.turned_away())
            return False
        except OSError:
            sent = 0
        self.slots.popleft()
        if sent < len(answer):
            self.end(Close.STUCK, abort=True)
            return False
        self.receipts.wrote(sent)
        slot.accepted = True
        for handle in handles:
            self.receipts.accepted(handle, self.heard_at)
        self.watch_receipts()
        if self.slots or self.finishing:
            self.write_answers()
        return True

    def write_answers(self) -> bool:
        """Write the answers that no other stands before. False where the connection broke under them."""
        assert self.transport is not None, "it is open"
        while self.slots and self.slots[0].answer:
            answer = self.slots.popleft().answer
            self.receipts.wrote(len(answer))
            left, self.left_in_order = self.left_in_order, False
            if left:
                self.check_client()
            self.transport.write(answer)
            if left:
                self.excuse_reset()
        written = self.open()
        if self.finishing:
            self.close_between()
        return written

    def excuse_reset(self) -> None:
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
            self.reply(slot, self.turned_away())

    def eof_received(self) -> bool:
        """The client has ended its sending. It may have gone, and have handed its requests in elsewhere: what
        is not accepted yet is refused, which is right for one that still listens as well. Where it may not
        have read its last answer the connection stays a moment: its client may close over that."""
        self.input_closed = True
        self.check_client(Ending.INPUT_ENDED)
        self.serve_out()
        self.left_in_order = True
        self.withdraw_requests()
        if self.receipts.doubtful:
            self.loop.call_later(SLACK_S, self.end_input)
            return True
        self.end_input()
        return False

    def end_input(self) -> None:
        self.check_client()
        self.end(Close.ENDED)  # once its answers are written

    def refuse(self, text: str, fault: Fault) -> None:
        """Say what is wrong, after the answers that are due, and close."""
        self.serve_out()
        slot = Slot()
        self.slots.append(slot)
        self.deaf = self.finishing = True
        self.why = Close.REFUSED
        self.read_on()
        self.reply(slot, self.error(text, fault))

    def unread(self) -> bool:
        """Whether something waits to be read."""
        assert self.transport is not None, "there is no connection yet"
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def between(self) -> bool:
        """Whether it stands between two requests, as far as they were read."""
        return self.deaf or not (self.slots or self.size or self.resting or self.serving)

    def finish(self, why: Close = Close.LEAVING) -> bool:
        """Close between requests: at once if none is under way, nor waits to be read."""
        if not self.finishing:
            self.finishing, self.why = True, why
        if self.transport is not None and not self.transport.is_closing() and not self.unread():
            self.close_between()
        return self.transport is None or self.transport.is_closing()

    def give_way(self) -> bool:
        """Make room for another. One that has stopped within a request hears why."""
        if self.size and not self.deaf:
            if not self.unread():
                self.refuse("too many clients are connected", Fault.CROWD)
        else:
            self.finish(Close.MADE_ROOM)
            if self.transport is not None and self.transport.is_closing():
                if self.transport.get_write_buffer_size():
                    self.end(Close.STUCK, abort=True)  # it would keep its descriptor
        return self.transport is None or self.transport.is_closing()

    def close_between(self) -> None:
        if not self.slots and self.between():
            self.end(self.why)

    def end(self, why: Close, abort: bool = False) -> None:
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
            self.broken = True
            self.transport.abort()
        else:
            self.transport.close()

    def leave(self) -> None:
        """The process ends: in this step, all that was read is answered and the connection is closed. A
        request of which only a part has come is refused."""
        self.finishing = True
        self.check_client()
        self.serve_out()
        self.withdraw_requests()
        if self.size and not self.deaf and self.open():
            self.refuse("the process ends", Fault.LEAVING)
        self.end(Close.LEAVING)

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
        self.watch_receipts()
        if adopted.tail:
            self.data_received(adopted.tail)
        self.heard_at = adopted.heard_at

    def end_waiting(self, now: float) -> None:
        """Guards against clients that say nothing, or half a request, or keep a connection for good."""
        standing = self.standing
        if self.transport is None:
            return
        if self.transport.is_closing() or self.deaf:
            unanswered = any(not slot.answer for slot in self.slots)
            if now - self.heard_at >= admission.SILENT_S and not unanswered:
                self.end(Close.STUCK, abort=True)  # it does not take its last answers
        elif standing.overdue(now):
            if self.unread():
                return
            text = "the rest of the request did not come" if self.size else "no request came that makes sense"
            self.refuse(text, Fault.LATE)
        elif standing.idle(now) and not self.unread():
            self.finish(Close.IDLE)

    def pause_writing(self) -> None:
        """Guards against a client that asks on and on but takes no answers."""
        self.full = True
        self.read_on()

    def resume_writing(self) -> None:
        self.full = False
        self.read_on()
