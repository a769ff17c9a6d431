"""What the small model of requests is made of: messages, their clients, the disk, calls and the platform.
What happens to them, and what is not modelled, is in `lab.lifecycle_explorer`."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum
from functools import cache
from operator import attrgetter
from typing import Any, NamedTuple, get_type_hints

from rushhitch.core.lifecycle import Stage


class Look(Enum):
    """What is looked at in the step of an effect, and can be taken out."""

    UNANSWERED = "what was recorded and not answered is dropped at the start"
    IN_DOUBT = "what was being answered at a kill ends by a refusal, and is not sent"
    ORDER = "answers go in the order of the numbers"
    ENDS_FIRST = "ends are on the disk before a later answer is begun"
    LAST_BYTE = "a call's last byte goes only for messages that are open"
    REACHABLE = "a message is accepted only where the connection to its client is open"
    BEFORE_ANSWER = "a message is accepted only where no end of its client's connection waits to be read"
    END_OF_INPUT = "what a client leaves behind is refused, not accepted"
    CLOSE = "a connection is closed only once its requests have their answers"
    EXIT = "what is read at the exit is answered"
    FAILED_RECORD = "a record that the disk did not take is not written later"
    NOTICE = "the platform is told of an end after the journal has it"
    LOSS = "the loss of a client that may not have heard abandons its message"
    LOSS_BEFORE_LAST_BYTE = "that loss is looked for in the step of a call's last byte as well"
    ABANDONED_ON_DISK = "the disk has a notice for an abandoned message while its call is out"
    OUTCOME = "an abandoned message ends only once the calls that are out have their outcomes"
    OWN_CALLS = "it waits for the calls of its own process, not for those that an earlier one left"
    FINAL = "a final answer abandons the message"
    UNWRITTEN = "a notice that the disk does not take is told as the next process would tell it"
    SAME_ID = "what is handed in once more under an id whose end is due or told hears of that end"
    EARLIER_ATTEMPT = "an attempt that an earlier process left without an outcome may have run"


class Disk(IntEnum):
    """What the journal has of a message."""

    NOTHING = 0
    RECORDED = 1  # whether it was answered the marks tell
    NOTICE = 2  # a notice is due; `Message.notice` says which


class Client(IntEnum):
    """What a client knows of its message."""

    IDLE = 0
    WAITS = 1
    ANSWERED = 2  # `+OK` is with its system, and it has not read it
    ACCEPTED = 3  # it has heard `+OK`
    ACCEPTED_AND_GONE = 4  # likewise, and has left since
    REFUSED = 5
    LEFT = 6  # by itself, and has heard nothing
    CUT = 7  # its connection was closed with no answer


HEARD = (Client.ACCEPTED, Client.ACCEPTED_AND_GONE)
GONE = (Client.LEFT, Client.ACCEPTED_AND_GONE)


class News(IntEnum):
    """How far the end of a client's connection has come."""

    NONE = 0
    ARRIVED = 1  # it has reached the system of the process, which has not read it
    READ = 2  # the process has had it; there is no connection any more


class Notice(IntEnum):
    """The end that the platform is told of."""

    NONE = 0
    BOUNCED = 1  # it has not run, and may be handed in again
    DEAD = 2  # it may have run


class CallStage(IntEnum):
    """How far a call has come."""

    BEGUN = 0  # all but its last byte may be written
    RECORDED = 1  # the journal tells of its attempts
    OUT = 2  # its last byte is written


CALL_STAGES = tuple(CallStage)


@dataclass
class Call:
    """One call; `carried` are the indices of the messages that have no outcome in it yet."""

    carried: list[int]
    stage: CallStage = CallStage.BEGUN

    def __reduce__(self) -> tuple[Any, ...]:
        return unpacked_call, (bytes([self.stage, *self.carried]),)


@dataclass
class Message:
    """One message: in the process, on the disk, at its client, at the endpoints and at the platform."""

    index: int
    stage: Stage = Stage.RECEIVED
    number: int = 0  # given as it is read
    known: bool = False  # to the process that runs
    connected: bool = False  # that process has, or had, its client's connection
    late_record: bool = False  # a record that failed is still to be written
    notified: bool = False  # by the process that runs; the platform's answer has not come

    disk: Disk = Disk.NOTHING
    end_pending: bool = False  # its end is noted, and not written
    notice: Notice = Notice.NONE  # that the journal has
    tries: int = 0  # attempts that the journal has
    open_tries: int = 0  # those of them without an outcome, also of earlier processes
    ran: bool = False  # the journal has an outcome by which it may have run

    client: Client = Client.IDLE
    news: News = News.NONE
    killed_unheard: bool = False
    # What only an observer of all sides can tell
    answer_written: bool = False
    left_before_answer: bool = False  # the end of its client's connection was there as the answer was begun
    known_over: bool = False  # a process knew that its client left unheard, or that an answer was final
    sent: bool = False
    may_have_run: bool = False
    delivered: bool = False
    told: Notice = Notice.NONE

    @property
    def id(self) -> bytes:
        return b"m%d" % self.index

    @property
    def end_given(self) -> bool:
        """Whether it was delivered, or the platform has heard of its end."""
        return self.delivered or self.told is not Notice.NONE

    @property
    def settled(self) -> bool:
        """Whether nothing can happen to it any more, but for what a call that carries it does."""
        idle = self.disk is Disk.NOTHING and not self.late_record
        over = self.stage >= Stage.ENDED or (not self.known and self.client is not Client.IDLE)
        return idle and over and self.client not in (Client.WAITS, Client.ANSWERED)

    def reduce(self) -> None:
        """Forget what tells nothing any more, so that more states are equal."""
        self.connected = self.known = self.notified = self.ran = self.may_have_run = False
        self.left_before_answer = self.known_over = self.sent = False
        self.news, self.notice, self.open_tries = News.NONE, Notice.NONE, 0

    def __reduce__(self) -> tuple[Any, ...]:
        """Packed in a byte for each value: the search packs and unpacks every state."""
        return unpacked, (bytes(VALUES(self)),)


TYPES = get_type_hints(Message)
VALUES = attrgetter(*TYPES)


def possible(kind: type) -> Sequence[Any]:
    """What a value of that type may be, each at the place of its number."""
    if issubclass(kind, IntEnum):
        return tuple(kind)
    return (False, True) if kind is bool else range(256)


POSSIBLE = [possible(kind) for kind in TYPES.values()]


@cache
def named(values: bytes) -> dict[str, Any]:
    """Packed values by name; messages are alike in most states, so each is read once."""
    return {name: all_[value] for name, all_, value in zip(TYPES, POSSIBLE, values, strict=True)}


def unpacked(values: bytes) -> Message:
    message = Message.__new__(Message)
    message.__dict__.update(named(values))
    return message


def unpacked_call(values: bytes) -> Call:
    return Call(list(values[1:]), CALL_STAGES[values[0]])


class Bounds(NamedTuple):
    """How much of each may happen, so that the search ends."""

    messages: int = 2
    kills: int = 2
    calls: int = 1  # out at a time
    tries: int = 2  # of one message
