"""A small model of requests in one process, to walk every interleaving of with `lab.explorer`.

Two clients hand in a message each; what the process does goes through the real `Lifecycle`. Around it are a
disk, which outlasts the process, a call that carries both messages, the clients and the platform. `without`
names looks that are taken out: each must then be missed, or it would prove nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from lab.explorer import Step
from rushhitch.core.lifecycle import Effect, Lifecycle, Phase, Stage

MOST_KILLS = 2


class Look(Enum):
    """What is looked at in the step of an effect, and can be taken out."""

    RECORD_WITH_ANSWER = "each message is recorded in the step of its own answer"
    LAST_BYTE = "a call's last byte goes only for messages that are open"
    REACHABLE = "a message is accepted only where its client can hear it"
    END_OF_INPUT = "what a client leaves behind is refused, not accepted"
    CLOSE = "a connection is closed only once its requests have their answers"
    EXIT = "what is read at the exit is answered"
    FAILED_RECORD = "a record that the disk did not take is not written later"
    NOTICE = "the platform is told of an end after the journal has it"
    OFFERS = "what was recorded and not accepted is dropped at the start"


class Disk(Enum):
    """What the journal has of a message."""

    NOTHING = 0
    OFFERED = 1
    ACCEPTED = 2
    ENDED = 3  # a notice is due


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

    number: int
    stage: Stage = Stage.RECEIVED
    known: bool = False  # to the process that runs
    disk: Disk = Disk.NOTHING
    client: Client = Client.IDLE
    killed_unheard: bool = False
    late_record: bool = False  # a record that failed is still to be written
    notified: bool = False

    @property
    def id(self) -> bytes:
        return b"m%d" % self.number


@dataclass
class Requests:
    """The model; see `lab.explorer.Model`."""

    syncs: bool = False
    without: frozenset[Look] = frozenset()
    messages: list[Message] = field(default_factory=lambda: [Message(0), Message(1)])
    phase: Phase = Phase.SERVING
    alive: bool = True
    kills: int = 0
    half: list[int] = field(default_factory=list)  # messages in the call whose last byte is held back
    answering: int | None = None  # recorded as accepted, and its answer follows in this step
    unheard: list[int] = field(default_factory=list)  # sent, and their clients were cut by a kill
    sent: list[int] = field(default_factory=list)
    wrong: str = ""

    def has(self, look: Look) -> bool:
        return look not in self.without

    def advance(self, message: Message, effect: Effect) -> bool:
        lifecycle = Lifecycle()
        lifecycle.enter(self.phase)
        return lifecycle.advance(message, effect)

    def permits(self, message: Message, effect: Effect) -> bool:
        lifecycle = Lifecycle()
        lifecycle.enter(self.phase)
        return lifecycle.permits(message, effect)

    # What may happen

    def steps(self) -> list[Step]:
        if not self.alive:
            return [("restart", 0)]
        kill = [("kill", 0)] if self.kills < MOST_KILLS else []
        if self.answering is not None:
            return [("answer", self.answering), *kill]
        found = kill + ([("leave", 0)] if self.phase is Phase.SERVING else [("exit", 0)])
        for message in self.messages:
            found += [(what, message.number) for what in self.steps_of(message)]
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
            found += ["record"] if self.syncs else ["accept", "fail_record"]
        if message.stage is Stage.RECORDED:
            found += ["accept"]
        if message.stage <= Stage.RECORDED and message.client is Client.WAITS:
            found += ["client_leaves", "close"]
        if message.stage is Stage.ACCEPTED:
            found += ["expire"]
        if message.late_record:
            found += ["write_late"]
        if message.stage is Stage.ENDED and message.disk is Disk.ENDED and not message.notified:
            found += ["notify"]
        return found

    def take(self, what: str, index: int) -> None:
        getattr(self, what)(self.messages[index])

    # Requests

    def read(self, message: Message) -> None:
        if self.phase >= Phase.CLOSED:
            message.client = Client.REFUSED
            return
        message.client, message.known, message.stage = Client.WAITS, True, Stage.RECEIVED

    def record(self, message: Message) -> None:
        """Of a tick: all that has come is recorded, and made safe, together."""
        for other in self.messages:
            if other.known and other.stage is Stage.RECEIVED and self.advance(other, Effect.RECORD):
                other.disk = Disk.OFFERED

    def accept(self, message: Message) -> None:
        if self.has(Look.REACHABLE) and message.client is not Client.WAITS:
            self.advance(message, Effect.WITHDRAW)
            return
        if not self.permits(message, Effect.ACCEPT):
            return
        message.disk = Disk.ACCEPTED
        if not self.has(Look.RECORD_WITH_ANSWER):
            for other in self.messages:
                if other.known and other.stage <= Stage.RECORDED:
                    other.disk = Disk.ACCEPTED
        self.answering = message.number

    def answer(self, message: Message) -> None:
        self.answering = None
        if message.client is Client.WAITS:
            message.client = Client.ACCEPTED
        self.advance(message, Effect.ACCEPT)

    def fail_record(self, message: Message) -> None:
        """The disk does not take the record of its acceptance."""
        if self.advance(message, Effect.REJECT):
            message.client = Client.REFUSED
            message.late_record = not self.has(Look.FAILED_RECORD)

    def write_late(self, message: Message) -> None:
        message.disk, message.late_record = Disk.ACCEPTED, False

    def client_leaves(self, message: Message) -> None:
        message.client = Client.LEFT
        if self.has(Look.END_OF_INPUT) and self.advance(message, Effect.WITHDRAW):
            message.disk = Disk.NOTHING

    def close(self, message: Message) -> None:
        """The process closes the connection: it is idle, makes room, or finishes."""
        if self.has(Look.CLOSE):
            if self.advance(message, Effect.WITHDRAW):
                message.client, message.disk = Client.REFUSED, Disk.NOTHING
            return
        message.client = Client.CUT

    # Calls

    def first_bytes(self, message: Message) -> None:
        self.half = [m.number for m in self.messages if m.known and m.stage is Stage.ACCEPTED]

    def last_byte(self, message: Message) -> None:
        carried, self.half = self.half, []
        if self.has(Look.LAST_BYTE):
            if not all(self.permits(self.messages[number], Effect.SEND) for number in carried):
                return
        for number in carried:
            self.send(self.messages[number])

    def send(self, message: Message) -> None:
        self.sent.append(message.number)
        if message.notified:
            self.wrong = "sent after its end was told"
        elif message.client in (Client.REFUSED, Client.LEFT):
            self.wrong = f"sent though its client has {message.client.name.lower()}"
        elif message.client is Client.CUT:
            if not message.killed_unheard:
                self.wrong = "sent though its connection was closed with no answer"
            elif message.number not in self.unheard:
                self.unheard.append(message.number)
                if len(self.unheard) > self.kills:
                    self.wrong = "more messages sent that no client was told of than there were kills"

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
                if self.advance(other, Effect.REJECT):
                    other.client, other.disk = Client.REFUSED, Disk.NOTHING
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
            other.known = other.late_record = False
            if other.client is Client.WAITS:
                other.client = Client.CUT

    def restart(self, message: Message) -> None:
        self.alive, self.phase = True, Phase.SERVING
        for other in self.messages:
            if other.disk is Disk.OFFERED:
                other.disk = Disk.NOTHING if self.has(Look.OFFERS) else Disk.ACCEPTED
            other.known = other.disk in (Disk.ACCEPTED, Disk.ENDED)
            other.stage = Stage.ENDED if other.disk is Disk.ENDED else Stage.ACCEPTED

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
        yield from (f"sent {number}" for number in set(self.sent))
        yield from (message.client.name.lower() for message in self.messages)
        yield self.phase.name.lower()
