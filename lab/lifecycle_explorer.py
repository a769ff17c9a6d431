"""A small model of requests in one process, to walk every interleaving of with `lab.explorer`.

Clients hand in a message each; what the process does goes through the real `Lifecycle`, and what the next one
makes of a record through the real `Marks`. Around it are a disk, which outlasts the process, calls that carry
all messages that may be sent, the endpoints' answers, the clients and the platform. A kill may fall between
any two steps, and a client may leave there: its process learns of that in two further steps, or never.
`without` names looks that are taken out: each must then be missed, or it would prove nothing.

**Allowed, since it cannot be known**: a client leaves without having heard, the news of it has not reached
the system of the process (or the process is killed before it has read it), and the message is sent. The
protocol page grants that by its row "410: not sent, the message is over (withdrawn, or out of time); nothing
more is owed; it has never run". So a message is wrongly sent only where something told of it: the news, a
final answer, or the folder.

**Read as one step**: the look for the news and the system call behind it (news that comes between the two
cannot be told from news that comes behind both); an event and the record that the process writes on it (a
kill between is a kill before the event); an outcome and its record (likewise). An attempt's record and the
last byte of its call are two steps, between which anything may happen, as with a disk that is synced.

**Not modelled**: time (a notice as time is up may come whenever a message is open, and a final answer
whenever a call is out); a loss that does not tell whether its client has heard and is taken for none, which
is as if the news never came; clients that ask on, or half-close; acknowledgements. A disk that fails for
longer than one record, and a handover to another process, are in `lab.lifecycle_disk` and
`lab.lifecycle_handover`.
"""

from __future__ import annotations

import pickle
from collections.abc import Iterable
from dataclasses import dataclass, field

from lab.explorer import Step
from lab.lifecycle_model import (
    GONE,
    HEARD,
    Bounds,
    Call,
    CallStage,
    Client,
    Disk,
    Look,
    Message,
    News,
    Notice,
)
from rushhitch.core.lifecycle import Effect, Lifecycle, Phase, Stage
from rushhitch.journal.answers import Answered, Marks

OUTCOMES = ("answer_ok", "answer_may_have_run", "answer_never_ran", "answer_final")


@dataclass
class Requests:
    """The model; see `lab.explorer.Model`."""

    without: frozenset[Look] = frozenset()
    bounds: Bounds = Bounds()
    messages: list[Message] = field(default_factory=list)
    phase: Phase = Phase.SERVING
    alive: bool = True
    kills: int = 0
    numbers: int = 0
    marks: tuple[int, int] = (0, 0)  # as `Marks` has them: answered, and its answer begun
    calls: list[Call] = field(default_factory=list)
    answering: int | None = None  # the message whose answer is under way in this step
    answer_written: bool = False
    wrong: str = ""

    def __post_init__(self) -> None:
        self.messages = self.messages or [Message(index) for index in range(self.bounds.messages)]

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

    def found_wrong(self, why: str) -> None:
        self.wrong = self.wrong or why

    # What may happen

    def steps(self) -> list[Step]:
        found = [(what, m.index) for m in self.messages for what in self.steps_of_client(m)]
        if all(message.settled for message in self.messages) and not self.calls:
            return []
        if not self.alive:
            return [("restart", 0), *found]
        if self.kills < self.bounds.kills:
            found.append(("kill", 0))
        if self.answering is not None:
            return found + [(what, self.answering) for what in self.steps_of_answer()]
        found.append(("leave", 0) if self.phase is Phase.SERVING else ("exit", 0))
        unread = [message.index for message in self.messages if message.client is Client.IDLE]
        found += [("read", index) for index in unread[:1]]  # they are alike: the order tells nothing
        for message in self.messages:
            found += [(what, message.index) for what in self.steps_of(message)]
        if any(message.end_pending for message in self.messages):
            found.append(("flush", 0))
        if len(self.calls) < self.bounds.calls and self.sendable():
            found.append(("begin_call", 0))
        for position, call in enumerate(self.calls):
            found += self.steps_of_call(position, call)
        return found

    def steps_of_client(self, message: Message) -> list[str]:
        """What happens at the client and on its way, in any moment."""
        found = []
        client = message.client
        if client is Client.ANSWERED:
            found.append("client_reads")
        if client in (Client.WAITS, Client.ANSWERED):
            found.append("client_leaves")
        if client is Client.ACCEPTED and message.connected and message.stage is Stage.ACCEPTED:
            found.append("client_leaves")
        if client in GONE and message.connected and message.news is News.NONE:
            if message.stage <= Stage.ACCEPTED:
                found.append("news_arrives")
        return found

    def steps_of_answer(self) -> list[str]:
        """Within the step of an answer."""
        assert self.answering is not None, "an answer is under way"
        if self.answer_written:
            return ["mark_answered"]
        if self.messages[self.answering].news is News.ARRIVED:
            return ["write_answer", "fail_answer"]  # behind a reset the system takes nothing
        return ["write_answer"]

    def steps_of(self, message: Message) -> list[str]:
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
            found += ["close"]
        if message.news is News.ARRIVED:
            found += ["read_news"]
        if message.stage in (Stage.ACCEPTED, Stage.ABANDONED):
            found += ["expire"]
        if message.late_record:
            found += ["write_late"]
        if message.disk is Disk.NOTICE:  # of an abandoned message it is not told yet
            found += ["notice_heard" if message.notified else "notify"]
        return found

    def steps_of_call(self, position: int, call: Call) -> list[Step]:
        if call.stage is CallStage.BEGUN:
            return [("record_attempts", position)]
        if call.stage is CallStage.RECORDED:
            return [("last_byte", position)]
        base = position * len(self.messages)
        return [(what, base + index) for index in call.carried for what in OUTCOMES]

    def is_next(self, message: Message) -> bool:
        """Whether all messages before it have their answers."""
        before = [other for other in self.messages if other.known and 0 < other.number < message.number]
        return not self.has(Look.ORDER) or all(other.stage > Stage.RECORDED for other in before)

    def sendable(self) -> list[int]:
        """Messages that a call may be begun for."""
        return [
            message.index
            for message in self.messages
            if message.known and message.stage is Stage.ACCEPTED and message.tries < self.bounds.tries
            if not any(call.stage is CallStage.BEGUN and message.index in call.carried for call in self.calls)
        ]

    def take(self, what: str, index: int) -> None:
        if what in OUTCOMES:
            position, index = divmod(index, len(self.messages))
            getattr(self, what)(self.calls[position], self.messages[index])
        elif what in ("record_attempts", "last_byte"):
            getattr(self, what)(self.calls[index])
        else:
            getattr(self, what)(self.messages[index])
        for message in self.messages:
            if message.settled and not any(message.index in call.carried for call in self.calls):
                message.reduce()

    # Clients

    def client_reads(self, message: Message) -> None:
        message.client = Client.ACCEPTED

    def client_leaves(self, message: Message) -> None:
        message.client = Client.ACCEPTED_AND_GONE if message.client is Client.ACCEPTED else Client.LEFT

    def news_arrives(self, message: Message) -> None:
        message.news = News.ARRIVED

    def read_news(self, message: Message) -> None:
        """The loop tells the process that the connection is lost."""
        message.news = News.READ
        if message.stage <= Stage.RECORDED:
            if self.has(Look.END_OF_INPUT):
                self.withdraw(message)
        elif message.stage is Stage.ACCEPTED:
            self.lose(message, acted_on=self.has(Look.LOSS))

    def lose(self, message: Message, acted_on: bool) -> None:
        """Its client may not have heard that it is accepted."""
        message.known_over |= message.client is Client.LEFT
        if acted_on:
            self.abandon(message)

    # Requests

    def read(self, message: Message) -> None:
        if self.phase >= Phase.CLOSED:
            message.client = Client.REFUSED
            return
        self.numbers += 1
        message.number = self.numbers
        message.client, message.stage = Client.WAITS, Stage.RECEIVED
        message.known = message.connected = True

    def record(self, message: Message) -> None:
        """Of a tick: all that has come is recorded together."""
        for other in self.messages:
            if other.known and other.stage is Stage.RECEIVED and self.advance(other, Effect.RECORD):
                other.disk = Disk.RECORDED

    def begin_answer(self, message: Message) -> None:
        open_ = message.client is not Client.CUT and message.news is not News.READ
        if self.has(Look.REACHABLE) and not open_:
            self.withdraw(message)
            return
        message.left_before_answer = message.news is not News.NONE
        if self.has(Look.BEFORE_ANSWER) and message.news is News.ARRIVED:
            self.withdraw(message)
            return
        if not self.advance(message, Effect.ANSWER):
            return
        if self.has(Look.ENDS_FIRST):
            self.flush(message)
        self.marks = message.number - 1, message.number
        self.answering, self.answer_written = message.index, False

    def write_answer(self, message: Message) -> None:
        """The system takes the answer, whether or not there is still a client to hear it."""
        self.answer_written = message.answer_written = True
        if message.client is Client.WAITS:
            message.client = Client.ANSWERED

    def fail_answer(self, message: Message) -> None:
        self.answering = None
        self.withdraw(message)

    def mark_answered(self, message: Message) -> None:
        self.answering = None
        self.marks = message.number, message.number
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
            if message.client is Client.WAITS:
                message.client = Client.REFUSED
            message.late_record = not self.has(Look.FAILED_RECORD)

    def write_late(self, message: Message) -> None:
        message.disk, message.late_record = Disk.RECORDED, False

    def close(self, message: Message) -> None:
        """The process closes the connection: it is idle, makes room, or finishes."""
        if self.has(Look.CLOSE):
            self.withdraw(message)
            if message.stage is Stage.WITHDRAWN:
                message.client = Client.REFUSED
            return
        message.client = Client.CUT

    # Calls

    def begin_call(self, message: Message) -> None:
        self.calls.append(Call(self.sendable()))

    def record_attempts(self, call: Call) -> None:
        """The journal has them before the last byte. What has ended since is left out; the call goes on."""
        call.stage = CallStage.RECORDED
        for index in call.carried:
            message = self.messages[index]
            if message.stage < Stage.ENDED:
                message.tries += 1
                message.open_tries += 1

    def last_byte(self, call: Call) -> None:
        carried = [self.messages[index] for index in call.carried]
        if self.has(Look.LOSS_BEFORE_LAST_BYTE):
            for message in carried:
                if message.news is News.ARRIVED and message.stage is Stage.ACCEPTED:
                    self.lose(message, acted_on=True)
        if self.has(Look.LAST_BYTE) and not all(self.permits(m, Effect.SEND) for m in carried):
            for message in carried:
                self.end_attempt(call, message)
            return
        call.stage = CallStage.OUT
        for message in carried:
            self.send(message)

    def send(self, message: Message) -> None:
        """An endpoint has the message: from here on it may run."""
        message.sent = True
        if message.told is not Notice.NONE:
            self.found_wrong("sent after its end was told")
        elif message.disk is Disk.NOTICE:
            self.found_wrong("sent though the folder tells of its end")
        elif not message.answer_written:
            self.found_wrong(f"sent though its client is {message.client.name.lower()} and was not answered")
        elif message.left_before_answer:
            self.found_wrong("sent though its client's end was there before the answer")
        elif message.known_over:
            self.found_wrong("sent though it was known to be over")
        elif message.client is Client.LEFT and message.news is News.ARRIVED:
            self.found_wrong("sent though the news that its client left was there")

    def out_of(self, message: Message) -> int:
        """How many calls of this process have an attempt of it with a record and without an outcome."""
        return sum(c.stage >= CallStage.RECORDED and message.index in c.carried for c in self.calls)

    def end_attempt(self, call: Call, message: Message) -> None:
        """An attempt has its outcome, and the journal tells of it."""
        if call.stage >= CallStage.RECORDED and message.open_tries:
            message.open_tries -= 1
        call.carried.remove(message.index)
        if not call.carried:
            self.calls.remove(call)
        if message.stage is Stage.ABANDONED:
            self.settle(message)

    def answer_ok(self, call: Call, message: Message) -> None:
        message.may_have_run = message.delivered = True
        if message.stage in (Stage.ACCEPTED, Stage.ABANDONED) and self.advance(message, Effect.DELIVER):
            message.disk = Disk.NOTHING
        self.end_attempt(call, message)

    def answer_may_have_run(self, call: Call, message: Message) -> None:
        """An error, a reset, or nothing in time."""
        message.may_have_run = message.ran = True
        self.end_attempt(call, message)

    def answer_never_ran(self, call: Call, message: Message) -> None:
        self.end_attempt(call, message)

    def answer_final(self, call: Call, message: Message) -> None:
        """No call of it can succeed any more, and this one did not run."""
        message.known_over = True
        if self.has(Look.FINAL) and message.stage is Stage.ACCEPTED:
            self.advance(message, Effect.ABANDON)
            self.end_attempt(call, message)
            return
        self.end_attempt(call, message)

    # Ends

    def abandon(self, message: Message) -> None:
        if self.advance(message, Effect.ABANDON):
            self.settle(message)

    def settle(self, message: Message) -> None:
        """The end of an abandoned message, or what stands in for it while calls are out."""
        out = self.out_of(message) if self.has(Look.OWN_CALLS) else message.open_tries
        if not out:
            self.end_by(message, Notice.DEAD if message.ran or message.open_tries else Notice.BOUNCED)
        elif not self.has(Look.OUTCOME):
            self.end_by(message, Notice.DEAD if message.ran or message.open_tries > out else Notice.BOUNCED)
        elif self.has(Look.ABANDONED_ON_DISK):
            message.disk, message.notice = Disk.NOTICE, Notice.DEAD

    def expire(self, message: Message) -> None:
        """Its time is up. The decision module fails whatever has had an attempt."""
        self.end_by(message, Notice.DEAD if message.tries else Notice.BOUNCED)

    def end_by(self, message: Message, notice: Notice) -> None:
        if not self.advance(message, Effect.EXPIRE):
            return
        if self.has(Look.NOTICE):
            message.disk, message.notice = Disk.NOTICE, notice
        else:
            self.tell(message, notice)  # the journal does not have it yet

    def notify(self, message: Message) -> None:
        if self.permits(message, Effect.NOTIFY):
            message.notified = True
            self.tell(message, message.notice)

    def tell(self, message: Message, notice: Notice) -> None:
        """The platform hears of an end; the client may hand in anew what has bounced."""
        out = any(c.stage is CallStage.OUT and message.index in c.carried for c in self.calls)
        if notice is Notice.BOUNCED and (message.may_have_run or out):
            self.found_wrong("told as bounced, and it may have run")
        if message.told not in (Notice.NONE, notice):
            self.found_wrong(f"told as {message.told.name.lower()} and then as {notice.name.lower()}")
        message.told = notice

    def notice_heard(self, message: Message) -> None:
        message.disk, message.notice, message.notified = Disk.NOTHING, Notice.NONE, False

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
                self.found_wrong("closed with no answer at the exit")

    def kill(self, message: Message) -> None:
        self.kills += 1
        for other in self.messages:
            other.killed_unheard |= other.client is Client.WAITS
        self.end()

    def end(self) -> None:
        """The process is gone, and so are its connections; what it has sent may run. An answer that is with a
        client's system can still be read."""
        for call in self.calls:
            for index in call.carried:
                self.messages[index].may_have_run |= call.stage is CallStage.OUT
        self.alive, self.calls, self.answering = False, [], None
        for other in self.messages:
            other.known = other.late_record = other.end_pending = other.connected = other.notified = False
            other.news = News.NONE
            if other.client is Client.WAITS:
                other.client = Client.CUT

    def restart(self, message: Message) -> None:
        self.alive, self.phase = True, Phase.SERVING
        for other in self.messages:
            if other.disk is Disk.RECORDED:
                self.resume(other)
            other.known = other.disk is not Disk.NOTHING
            if other.known:
                other.stage = Stage.ENDED if other.disk is Disk.NOTICE else Stage.ACCEPTED
            if not self.has(Look.EARLIER_ATTEMPT):
                other.open_tries = 0

    def resume(self, message: Message) -> None:
        """What a start makes of a record, by the marks."""
        state = Marks(b"", *self.marks).state(message.number)
        if state is Answered.NO and self.has(Look.UNANSWERED):
            message.disk = Disk.NOTHING
        if state is Answered.IN_DOUBT and self.has(Look.IN_DOUBT):
            message.disk, message.notice = Disk.NOTICE, Notice.BOUNCED

    # What has to hold

    def broken(self) -> str | None:
        if self.wrong:
            return self.wrong
        for message in self.messages:
            if why := self.broken_of(message):
                return why
        return None

    def broken_of(self, message: Message) -> str | None:
        if message.client in HEARD and not message.end_given:
            if message.disk is Disk.NOTHING:
                return "accepted, and the journal does not have it"
            if not self.will_end(message):
                return "accepted, and it will have no end"
        if message.client is Client.CUT and not message.killed_unheard:
            return "closed with no answer"
        if message.stage is Stage.ABANDONED and message.known and not self.out_of(message):
            return "abandoned, and nothing is waited for"
        return None

    def will_end(self, message: Message) -> bool:
        """Progress: if nothing fails from here on and its time runs out, it is delivered, or the platform
        hears of its end."""
        later = pickle.loads(pickle.dumps(self))
        later.run_out()
        return later.messages[message.index].end_given

    def run_out(self) -> None:
        """One way on to quiescence, as a fair machine would take it."""
        if not self.alive:
            self.take("restart", 0)
        if self.answering is not None:
            if not self.answer_written:
                self.take("write_answer", self.answering)
            self.take("mark_answered", self.answering)
        for message in self.messages:
            for what in ("read_news", "expire", "notify"):
                if what in self.steps_of(message):
                    self.take(what, message.index)

    def tells(self) -> Iterable[str]:
        for message in self.messages:
            yield message.client.name.lower()
            if message.sent:
                yield f"sent {message.index}"
            if message.stage is Stage.ABANDONED:
                yield "abandoned"
            if message.told is not Notice.NONE:
                yield f"told {message.told.name.lower()}"
            if message.delivered:
                yield f"delivered {message.index}"
            if message.client is Client.LEFT and message.sent:
                yield "sent and unheard"  # allowed: nobody could know
        yield self.phase.name.lower()
