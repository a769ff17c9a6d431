"""A small model of requests in one process, to walk every interleaving of with `lab.explorer`.

Two clients hand in a message each; what the process does goes through the real `Lifecycle`, and what the next
one makes of a record through the real `Marks`. Around it are a disk, which outlasts the process, a call that
carries both messages, the clients and the platform. A kill may fall between any two steps. `without` names
looks that are taken out: each must then be missed, or it would prove nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from lab.explorer import Step
from rushhitch.core.lifecycle import Effect, Lifecycle, Phase, Stage
from rushhitch.journal.answers import Answered, Marks

MOST_KILLS = 2


class Look(Enum):
    """What is looked at in the step of an effect, and can be taken out."""

    UNANSWERED = "what was recorded and not answered is dropped at the start"
    IN_DOUBT = "what was being answered at a kill ends by a refusal, and is not sent"
    ORDER = "answers go in the order of the numbers"
    ENDS_FIRST = "ends are on the disk before a later answer is begun"
    LAST_BYTE = "a call's last byte goes only for messages that are open"
    REACHABLE = "a message is accepted only where its client can hear it"
    END_OF_INPUT = "what a client leaves behind is refused, not accepted"
    CLOSE = "a connection is closed only once its requests have their answers"
    EXIT = "what is read at the exit is answered"
    FAILED_RECORD = "a record that the disk did not take is not written later"
    NOTICE = "the platform is told of an end after the journal has it"


class Disk(Enum):
    """What the journal has of a message."""

    NOTHING = 0
    RECORDED = 1  # whether it was answered the marks tell
    ENDED = 2  # a notice is due


class Client(Enum):
    """What a client knows of its message."""

    IDLE = 0
    WAITS = 1
    ACCEPTED = 2
    REFUSED = 3
    LEFT = 4  # by itself, before its answer
    CUT = 5  # its connection was closed with no answer


@dataclass
class Message:
    """One message: in the process, on the disk, at its client and at the platform."""

    index: int
    stage: Stage = Stage.RECEIVED
    number: int = 0  # given as it is read
    known: bool = False  # to the process that runs
    disk: Disk = Disk.NOTHING
    end_pending: bool = False  # noted, and not written
    client: Client = Client.IDLE
    killed_unheard: bool = False
    late_record: bool = False  # a record that failed is still to be written
    notified: bool = False

    @property
    def id(self) -> bytes:
        return b"m%d" % self.index


@dataclass
class Requests:
    """The model; see `lab.explorer.Model`."""

    without: frozenset[Look] = frozenset()
    messages: list[Message] = field(default_factory=lambda: [Message(0), Message(1)])
    phase: Phase = Phase.SERVING
    alive: bool = True
    kills: int = 0
    numbers: int = 0
    marks: Marks = Marks(b"", 0, 0)
    half: list[int] = field(default_factory=list)  # messages in the call whose last byte is held back
    answering: int | None = None  # the message whose answer is under way in this step
    answer_written: bool = False
    sent: list[int] = field(default_factory=list)
    wrong: str = ""

    def has(self, look: Look) -> bool:
        return look not in self.without

    def lifecycle(self) -> Lifecycle:
        made = Lifecycle()
        made.enter(self.phase)
        return made

    def advance(self, message: Message, effect: Effect) -> bool:
        return self.lifecycle().advance(message, effect)

    def permits(self, message: Message, effect: Effect) -> bool:
        return self.lifecycle().permits(message, effect)

    # What may happen

    def steps(self) -> list[Step]:
        if not self.alive:
            return [("restart", 0)]
        kill = [("kill", 0)] if self.kills < MOST_KILLS else []
        if self.answering is not None:
            return [("mark_answered" if self.answer_written else "write_answer", self.answering), *kill]
        found = kill + ([("leave", 0)] if self.phase is Phase.SERVING else [("exit", 0)])
        for message in self.messages:
            found += [(what, message.index) for what in self.steps_of(message)]
        if any(message.end_pending for message in self.messages):
            found.append(("flush", 0))
        if self.half:
            found.append(("last_byte", 0))
        elif any(message.known and message.stage is Stage.ACCEPTED for message in self.messages):
            found.append(("first_bytes", 0))
        return found

    def steps_of(self, message: Message) -> list[str]:
        if message.client is Client.IDLE:
            return ["read"]
        if not message.known:
            return []
        found = []
        if message.stage is Stage.RECEIVED:
            found += ["record", "fail_record"]
        if message.stage is Stage.RECORDED and self.is_next(message):
            found += ["begin_answer"]
        if message.stage is Stage.RECORDED:
            found += ["reject"]
        if message.stage <= Stage.RECORDED and message.client is Client.WAITS:
            found += ["client_leaves", "close"]
        if message.stage is Stage.ACCEPTED:
            found += ["expire"]
        if message.late_record:
            found += ["write_late"]
        if message.stage is Stage.ENDED and message.disk is Disk.ENDED and not message.notified:
            found += ["notify"]
        return found

    def is_next(self, message: Message) -> bool:
        """Whether all messages before it have their answers."""
        before = [other for other in self.messages if other.known and 0 < other.number < message.number]
        return not self.has(Look.ORDER) or all(other.stage > Stage.RECORDED for other in before)

    def take(self, what: str, index: int) -> None:
        getattr(self, what)(self.messages[index])

    # Requests

    def read(self, message: Message) -> None:
        if self.phase >= Phase.CLOSED:
            message.client = Client.REFUSED
            return
        self.numbers += 1
        message.number = self.numbers
        message.client, message.known, message.stage = Client.WAITS, True, Stage.RECEIVED

    def record(self, message: Message) -> None:
        """Of a tick: all that has come is recorded together."""
        for other in self.messages:
            if other.known and other.stage is Stage.RECEIVED and self.advance(other, Effect.RECORD):
                other.disk = Disk.RECORDED

    def begin_answer(self, message: Message) -> None:
        if self.has(Look.REACHABLE) and message.client is not Client.WAITS:
            self.withdraw(message)
            return
        if not self.advance(message, Effect.ANSWER):
            return
        if self.has(Look.ENDS_FIRST):
            self.flush(message)
        self.marks = Marks(b"", message.number - 1, message.number)
        self.answering, self.answer_written = message.index, False

    def write_answer(self, message: Message) -> None:
        self.answer_written = True
        if message.client is Client.WAITS:
            message.client = Client.ACCEPTED

    def mark_answered(self, message: Message) -> None:
        self.answering = None
        self.marks = Marks(b"", message.number, message.number)
        self.advance(message, Effect.ACCEPT)

    def reject(self, message: Message) -> None:
        """It cannot be answered, or the disk takes nothing: its client is refused."""
        if self.advance(message, Effect.REJECT):
            if message.client is Client.WAITS:
                message.client = Client.REFUSED
            message.end_pending = message.disk is not Disk.NOTHING

    def withdraw(self, message: Message) -> None:
        if self.advance(message, Effect.WITHDRAW):
            message.end_pending = message.disk is not Disk.NOTHING

    def flush(self, message: Message) -> None:
        for other in self.messages:
            if other.end_pending:
                other.disk, other.end_pending = Disk.NOTHING, False

    def fail_record(self, message: Message) -> None:
        """The disk does not take its record."""
        if self.advance(message, Effect.REJECT):
            message.client = Client.REFUSED
            message.late_record = not self.has(Look.FAILED_RECORD)

    def write_late(self, message: Message) -> None:
        message.disk, message.late_record = Disk.RECORDED, False

    def client_leaves(self, message: Message) -> None:
        message.client = Client.LEFT
        if self.has(Look.END_OF_INPUT):
            self.withdraw(message)

    def close(self, message: Message) -> None:
        """The process closes the connection: it is idle, makes room, or finishes."""
        if self.has(Look.CLOSE):
            self.withdraw(message)
            if message.stage is Stage.WITHDRAWN:
                message.client = Client.REFUSED
            return
        message.client = Client.CUT

    # Calls

    def first_bytes(self, message: Message) -> None:
        self.half = [m.index for m in self.messages if m.known and m.stage is Stage.ACCEPTED]

    def last_byte(self, message: Message) -> None:
        carried, self.half = self.half, []
        if self.has(Look.LAST_BYTE):
            if not all(self.permits(self.messages[index], Effect.SEND) for index in carried):
                return
        for index in carried:
            self.send(self.messages[index])

    def send(self, message: Message) -> None:
        self.sent.append(message.index)
        if message.notified:
            self.wrong = "sent after its end was told"
        elif message.client is not Client.ACCEPTED:
            self.wrong = f"sent though its client is {message.client.name.lower()}"

    def expire(self, message: Message) -> None:
        if self.has(Look.NOTICE):
            if self.advance(message, Effect.EXPIRE):
                message.disk = Disk.ENDED
        elif self.advance(message, Effect.EXPIRE):
            message.notified = True  # the journal does not have it yet

    def notify(self, message: Message) -> None:
        if self.permits(message, Effect.NOTIFY):
            message.notified = True

    # The process

    def leave(self, message: Message) -> None:
        self.phase = Phase.QUIESCING

    def exit(self, message: Message) -> None:
        """The end in order: what was read is answered, and then the connections are closed."""
        self.phase = Phase.CLOSED
        for other in self.messages:
            if other.known and other.client is Client.WAITS and self.has(Look.EXIT):
                self.reject(other)
        self.flush(message)
        self.end()
        for other in self.messages:
            if other.client is Client.CUT and not other.killed_unheard:
                self.wrong = "closed with no answer at the exit"

    def kill(self, message: Message) -> None:
        self.kills += 1
        for other in self.messages:
            other.killed_unheard |= other.client is Client.WAITS
        self.end()

    def end(self) -> None:
        self.alive, self.half, self.answering = False, [], None
        for other in self.messages:
            other.known = other.late_record = other.end_pending = False
            if other.client is Client.WAITS:
                other.client = Client.CUT

    def restart(self, message: Message) -> None:
        self.alive, self.phase = True, Phase.SERVING
        for other in self.messages:
            if other.disk is Disk.RECORDED:
                other.disk = self.settled(other)
            other.known = other.disk is not Disk.NOTHING
            other.stage = Stage.ENDED if other.disk is Disk.ENDED else Stage.ACCEPTED

    def settled(self, message: Message) -> Disk:
        """What a start makes of a record, by the marks."""
        state = self.marks.state(message.number)
        if state is Answered.NO and self.has(Look.UNANSWERED):
            return Disk.NOTHING
        if state is Answered.IN_DOUBT and self.has(Look.IN_DOUBT):
            return Disk.ENDED
        return Disk.RECORDED

    # What has to hold

    def broken(self) -> str | None:
        if self.wrong:
            return self.wrong
        for message in self.messages:
            if message.client is Client.ACCEPTED and message.disk is Disk.NOTHING:
                return "accepted, and the journal does not have it"
            if message.client is Client.CUT and not message.killed_unheard:
                return "closed with no answer"
        return None

    def tells(self) -> Iterable[str]:
        yield from (f"sent {index}" for index in set(self.sent))
        yield from (message.client.name.lower() for message in self.messages)
        yield self.phase.name.lower()
