"""The loop round `Dispatcher.handle`: gathers the events of one tick, carries out the actions, maps ids."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from datetime import UTC, datetime
from operator import itemgetter
from typing import TYPE_CHECKING

from crowpier import Dispatcher
from crowpier import interface as api
from crowpier.interface import Outcome, Settings
from rushhitch.acceptor import (
    ACCEPTED,
    DELIVERED,
    FAILED,
    Acknowledgement,
    BadRequest,
    ClientCheck,
    Pending,
    ReachabilityCheck,
    Reply,
    ReplyCallback,
    Submission,
    Verdict,
    always_reachable,
    no_client_check,
)
from rushhitch.config.history import SettingsHistory
from rushhitch.control.detached import DetachedEndpoints
from rushhitch.core.acknowledgements import ACKNOWLEDGED, UNKNOWN, EndHistory, effect
from rushhitch.core.acknowledgements import Effect as Acknowledged
from rushhitch.core.endpoint_registry import EndpointRegistry
from rushhitch.core.lifecycle import Effect, Lifecycle, Phase, Stage
from rushhitch.core.limits import RateLimits
from rushhitch.core.messages import BUSY_MS, InheritedAttempt, Message, PendingNotice
from rushhitch.core.metrics import Metrics
from rushhitch.core.recent_ends import RecentEnds
from rushhitch.core.remembered_ends import KEEP_S, MOST, End, RememberedEnds
from rushhitch.core.request_log import FINAL_ANSWER, log_abandoned, log_refusal, log_step, log_untried_end
from rushhitch.core.start_report import StartReport
from rushhitch.endpoints import PLATFORM, EndpointPool, Result
from rushhitch.journal import Journal, JournalEntry
from rushhitch.journal.commit import Committer
from rushhitch.journal.space import RECORD_ROOM
from rushhitch.partners.codec import Attempt, Codec
from rushhitch.partners.gate import Gate

if TYPE_CHECKING:
    from rushhitch.cloudevents.sinks import Sinks

log = logging.getLogger(__name__)

WITHDRAWN = Reply("refused")  # nobody was told that it is taken on: it may come again
OVERDUE_S = 0.1  # after its time is up, a message that the module has not ended is failed here
ANSWER_MARGIN_S = 0.1  # a client's message is so much older than we know, at most: it waited on its way here
ENDED_SHARE = 0.5  # of the room for live messages: identities remembered past their end take no more
HTTP_ACCEPTED = 202
RAN = {
    Verdict.NOT_RUN: Outcome.NOT_EXECUTED,
    Verdict.RAN: Outcome.ERROR,
}  # what a negative acknowledgement means
ACK_MARGIN_S = 0.1  # before its time is up, a message that no acknowledgement has come for is failed
REFUSED_NOTICE, FAILED_NOTICE = "bounced", "dead"  # ends as the platform is told them
RETRY_S = 0.25  # between two tries to write what a full disk did not take


class Node:
    """One dispatcher: everything that happens passes through `turn`."""

    def __init__(
        self,
        settings: Settings,
        dispatcher: Dispatcher,
        journal: Journal,
        notify: Callable[[int, bytes, str, float], None],
        connections: int = 256,
        codecs: Mapping[int, Codec] | None = None,
        keep_s: float = KEEP_S,
        bans: DetachedEndpoints | None = None,
        history: SettingsHistory | None = None,
    ) -> None:
        self.settings, self.dispatcher, self.journal, self.notify = settings, dispatcher, journal, notify
        self.keep_s = keep_s
        self.loop = asyncio.get_running_loop()
        self.lifecycle = Lifecycle(log_refusal, log_step if log.isEnabledFor(logging.DEBUG) else None)
        self.endpoints = EndpointPool(
            settings,
            self.attempt_ended,
            self.dropped,
            connections,
            self.withdrawn,
            self.begin,
            self.may_send,
        )
        self.classes = {cls.name: position for position, cls in enumerate(settings.classes)}
        self.tenants = {tenant.name: position for position, tenant in enumerate(settings.tenants)}
        self.history = history or SettingsHistory()  # of settings: what messages were taken under
        self.metrics = Metrics(self.classes)
        self.bans = bans  # endpoints that operators took out
        self.limits = RateLimits(settings.dispatchers, self.note, dispatcher.held_by_destination)
        self.registry = EndpointRegistry(
            settings, codecs or {}, self.endpoints, journal, self.limits, self.note
        )
        self.inherited: dict[tuple[int, int], InheritedAttempt] = {}  # an earlier process ends them
        self.cancel_inherited: Callable[[int, int], None] = lambda message, attempt: None  # one of them
        self.abandon_elsewhere: Callable[[int, str], None] = lambda message, why: None  # once relinquished
        self.ahead_s: float | None = None  # of the loop's clock is the steady one, `journal.steady`
        self.aging: dict[int, float] = {}  # messages with attempts that the module has yet to hear of: since
        self.messages: dict[int, Message] = {}
        self.by_id: dict[bytes, Message] = {}
        self.numbers = journal.highest
        self.committer = Committer(journal)
        self.notices: list[PendingNotice] = []  # to be told once the journal tells of them
        self.remembered_ends = RememberedEnds(
            min(MOST, int(ENDED_SHARE * journal.space.max_live_bytes / RECORD_ROOM))
        )
        self.sinks: Sinks | None = None  # where clients may have ends told by messages of our own
        self.end_history = EndHistory()
        self.start_report = StartReport()
        self.recent_ends = RecentEnds()
        self.completions: list[tuple[ReplyCallback, Reply]] = []  # likewise, for those who wait
        self.retrying: asyncio.TimerHandle | None = None
        self.fresh_bytes = 0
        self.reminder: asyncio.TimerHandle | None = None
        self.events: list[api.Event] = []
        self.fresh: list[Message] = []
        self.gathering = False
        self.idle = asyncio.Event()
        self.idle.set()
        for endpoint in sorted(bans.ids) if bans is not None else ():
            self.endpoints.ban(endpoint)
            self.note(api.Detached(endpoint))

    # Events

    @property
    def relinquished(self) -> bool:
        """Whether another process owns the journal and all requests."""
        return self.lifecycle.phase is Phase.RELINQUISHED

    def status(self) -> dict[str, int]:
        """What is under way, in numbers of messages; `newest` is the number of the newest one."""
        return {
            "newest": self.numbers,
            "held": len(self.by_id),
            "unanswered": len(self.journal.unanswered),
            "out": len(self.endpoints.calls),
            "notices": len(self.notices),
            "refused_effects": self.lifecycle.refused.total(),
        }

    def note(self, event: api.Event) -> None:
        if self.relinquished:
            return
        self.events.append(event)
        if not self.gathering:
            self.gathering = True
            self.loop.call_later(self.settings.tick_ms / 1000.0, self.turn)

    def reconfigure(self, settings: Settings, history: SettingsHistory) -> None:
        """Take other settings for what comes from now on; `history` tells of them too. Raises `ValueError`
        and changes nothing where they need another process."""
        if settings.kinds != self.settings.kinds or settings.zones != self.settings.zones:
            raise ValueError("settings: kinds and zones change with a restart or an upgrade, not at SIGHUP")
        self.settings, self.history = settings, history
        self.limits.dispatchers = settings.dispatchers
        self.classes = {cls.name: position for position, cls in enumerate(settings.classes)}
        self.tenants = {tenant.name: position for position, tenant in enumerate(settings.tenants)}
        self.metrics.named(self.classes)
        self.endpoints.settings = settings
        self.note(api.Reconfigured(settings))

    def resize(self, dispatchers: int) -> None:
        """So many may be sharing limits and returns from now on, this one among them."""
        if dispatchers != self.settings.dispatchers:
            self.settings = replace(self.settings, dispatchers=dispatchers)
            self.limits.dispatchers = dispatchers
            self.endpoints.settings = self.settings
            self.note(api.Reconfigured(self.settings))

    def offer(
        self,
        offer: Submission,
        answer: ReplyCallback,
        ended: ReplyCallback | None = None,
        reachable: ReachabilityCheck = always_reachable,
        check_client: ClientCheck = no_client_check,
    ) -> int:
        """A client hands a message in; it is answered at the end of the turn. `Acceptor` tells the rest."""
        if not self.lifecycle.accepting():
            answer(Reply("refused", BUSY_MS))
            return 0
        if offer.cls not in self.classes:
            raise BadRequest(f"unknown class {offer.cls[:40]!r}")
        if offer.left_ms > (most := self.settings.classes[self.classes[offer.cls]].deadline_ms):
            raise BadRequest(f"d must be at most {most:g} for class {offer.cls}, not {offer.left_ms:g}")
        if not self.tenants:
            offer = replace(offer, tenant="")
        elif offer.tenant and offer.tenant not in self.tenants:
            raise BadRequest(f"unknown tenant {offer.tenant[:40]!r}")
        if offer.destination not in self.registry.destinations:
            raise BadRequest(f"unknown destination {offer.destination}")
        if held := self.by_id.get(offer.id):
            if held.answer is not None:
                raise Pending("the id is that of a message which is being taken on")
            if told(answer):  # it is accepted already, once
                held.hearers += 1
            if ended is not None:
                held.completion_listeners.append(ended)
            return held.number
        if (recent := self.recent_ends.get(offer.id, self.loop.time())) is not None:
            answer(recent)
            return 0
        if offer.remember and (end := self.remembered_ends.get(offer.id, self.steady_time())) is not None:
            answer(end)
            return 0
        size = len(offer.body) + len(offer.attributes) + len(offer.tenant) + len(offer.idempotency)
        if self.sinks is not None and self.sinks.named(offer.attributes):
            size += RECORD_ROOM + self.sinks.room  # of the message that tells its end
        room = self.fresh_bytes + size
        for gone in self.remembered_ends.forget(self.steady_time()):
            self.journal.record_end(gone)
        full = offer.remember and self.remembered_ends.full(len(self.by_id))
        if full or len(self.by_id) >= self.settings.max_held or not self.journal.has_room(room):
            self.metrics.ended(offer.cls, "refused")
            answer(Reply("refused", BUSY_MS))
            return 0
        self.numbers += 1
        kept = JournalEntry(
            self.numbers,
            offer.id,
            offer.cls,
            offer.destination,
            self.steady_time() + offer.left_ms / 1000.0,
            offer.body,
            offer.key,
            offer.again,
            accepted_at=self.steady_time(),
            remember=offer.remember,
            attributes=offer.attributes,
            tenant=offer.tenant,
            idempotency=offer.idempotency,
        )
        message = self.enter(kept, answer)
        message.stage = Stage.RECEIVED
        message.reachable, message.check_client = reachable, check_client
        if ended is not None:
            message.completion_listeners.append(ended)
        if self.limits.counts is not None:
            self.limits.counts.arrived(offer.destination)
        self.fresh.append(message)
        self.fresh_bytes += RECORD_ROOM + size
        self.note(
            api.MessageAccepted(
                message.number,
                self.classes[offer.cls],
                offer.destination,
                offer.left_ms,
                self.tenant(offer.tenant),
                key=offer.key,
                again=offer.again,
            )
        )
        return message.number

    def tenant(self, name: str) -> int:
        """The tenant's position; past the last one for a message that names none, which has no allowance."""
        return self.tenants.get(name, len(self.settings.tenants))

    def steady_time(self) -> float:
        """Unix time in seconds by a clock that is not stepped while this process runs, nor over a restart
        where `ahead_s` was kept: all that outlasts the process is told by it."""
        if self.ahead_s is None:
            self.ahead_s = time.time() - self.loop.time()
        return self.loop.time() + self.ahead_s

    def due_of(self, kept: JournalEntry) -> float:
        """When the message's time is up, by the clock of the event loop."""
        return self.loop.time() + max(kept.deadline - self.steady_time(), 0.0)

    def wall(self, due: float) -> float:
        """A time of the event loop's clock as others read it now: Unix time in seconds."""
        return time.time() + due - self.loop.time()

    def enter(self, kept: JournalEntry, answer: ReplyCallback | None = None) -> Message:
        due = self.due_of(kept)
        message = Message(kept.number, kept, kept.attempts, due, answer)
        if self.sinks is not None and self.sinks.named(kept.attributes):
            message.sink = kept.attributes
        self.messages[message.number] = self.by_id[kept.id] = message
        self.watch(message, due + OVERDUE_S, self.overdue)
        self.idle.clear()
        return message

    def watch(self, message: Message, at: float, ends: Callable[[Message], None]) -> None:
        """See to it that the message ends by then, by the clock of the event loop."""
        if message.watchdog is not None:
            message.watchdog.cancel()
        message.watchdog = self.loop.call_at(at, ends, message)

    def withdraw(self, number: int) -> None:
        """The client went without its answer and may hand the message in anew: nothing is owed."""
        message = self.messages.get(number)
        if message is not None and message.answer is not None and not self.relinquished:
            message.answer = None
            self.drop(message)

    def drop(self, message: Message) -> None:
        """Its client went without an answer: nothing is done for it."""
        message.completion_listeners.clear()
        message.sink = b""
        self.close(message, Effect.WITHDRAW, end=WITHDRAWN)
        self.note(api.Withdrawn(message.number))

    def set_client_check(self, number: int, check_client: ClientCheck) -> None:
        """See `Acceptor`."""
        if (message := self.messages.get(number)) is not None:
            message.check_client = check_client

    def abandon(self, number: int, why: str) -> None:
        """See `Acceptor`."""
        if self.relinquished:
            self.abandon_elsewhere(number, why)
            return
        message = self.messages.get(number)
        if message is None or message.stage is not Stage.ACCEPTED:
            return
        message.hearers -= 1
        if message.hearers > 0:
            return
        self.stop_sending(message, why)
        if not message.awaits_outcome:
            self.end_abandoned(message)
            self.note(api.Withdrawn(number))
        self.commit()

    def stop_sending(self, message: Message, why: str) -> None:
        """No further call is begun. Until those that are out have their outcomes the journal has the notice
        that promises least, so that a process which starts meanwhile sends nothing either."""
        log_abandoned(message, why)
        if self.lifecycle.advance(message, Effect.ABANDON) and message.awaits_outcome:
            self.journal.record_notice(message.number, FAILED_NOTICE, 0.0)

    def end_abandoned(self, message: Message) -> None:
        """No call of an abandoned message is out, and none delivered it."""
        if message.kept.first_run is None:
            self.finish(message, REFUSED_NOTICE, BUSY_MS)
        else:
            self.finish(message, FAILED_NOTICE, 0.0)

    def overdue(self, message: Message) -> None:
        """Guards against a message that fell through: its end is given even if the module gives none."""
        if not message.over:
            log.error("message %d is overdue and is failed", message.number)
            self.finish(message, "dead", 0.0)
            self.commit()
            self.note(api.Withdrawn(message.number))

    def arrive(self, message: Message, loans: Sequence[InheritedAttempt] = (), untried: bool = False) -> None:
        """Give the module a message that has had attempts; those that are out are in an earlier process. An
        age that no clock tells counts as one past every window."""
        kept, now = message.kept, self.steady_time()
        terms, out = self.history.terms_of(kept.number, kept.cls), {loan.attempt for loan in loans}
        runs = [where for attempt, where in kept.out.items() if attempt not in out]
        ran = min([*runs, *([kept.ran] if kept.ran else [])], key=itemgetter(1), default=None)
        age = self.steady_time() - ran[1] if ran else 0.0
        self.aging[message.number] = self.loop.time()
        self.note(
            api.MessageAccepted(
                message.number,
                self.classes.get(kept.cls, 0),
                kept.destination,
                max((kept.deadline - now) * 1000.0, 0.0),
                self.tenant(kept.tenant),
                key=kept.key,
                again=kept.again,
                attempts=kept.attempts,
                ran_ago_ms=(age * 1000.0 if age >= 0.0 else math.inf) if ran else None,
                ran_endpoint=ran[0] if ran else "",
                untried=untried,
                terms=terms,
                out=tuple(
                    api.AttemptInProgress(
                        o.attempt, o.endpoint, o.call, (self.loop.time() - o.started) * 1000.0
                    )
                    for o in loans
                ),
            )
        )

    # Acknowledgements

    def acknowledges(self, destination: int) -> bool:
        """Whether its answers may only say that an acknowledgement is to come."""
        return self.registry.codecs.get(destination, PLATFORM).expects_acknowledgement(HTTP_ACCEPTED)

    def ordered(self, kept: JournalEntry) -> bool:
        """Whether messages of its key go one after another."""
        if not kept.key:
            return False
        if (terms := self.history.terms_of(kept.number, kept.cls)) is not None:
            return terms.cls.in_order
        return self.settings.classes[self.classes[kept.cls]].in_order

    def hand_over(self, message: Message) -> None:
        """The call was answered; what became of the message is told later, or it fails in time."""
        message.handed = True
        self.watch(message, message.due - ACK_MARGIN_S, self.unacknowledged)

    def take_back(self, message: Message) -> None:
        """It is the module's again."""
        message.handed = False
        self.watch(message, message.due + OVERDUE_S, self.overdue)

    def unacknowledged(self, message: Message) -> None:
        if not message.over:
            log.info("message %d was not acknowledged in time", message.number)
            self.finish(message, "dead", 0.0)
            if message.pending is not None:
                self.attempt_ended(replace(message.pending, later=False))
            self.commit()

    def acknowledge(self, told: Acknowledgement, answer: ReplyCallback) -> None:
        """See `Acceptor`. It is answered once the journal tells of what it did."""
        message = self.by_id.get(told.message)
        if message is None or message.kept.destination != told.destination:
            answer(self.end_history.answer(told, self.steady_time()))
            return
        kept, heard = message.kept, message.verdict is not None
        found = effect(told, kept.marks, message.attempts, len(message.out), message.handed, heard)
        if found is Acknowledged.UNKNOWN:
            answer(UNKNOWN)
            return
        if found is Acknowledged.LATER:
            answer(Reply("refused", BUSY_MS))
            return
        if found is Acknowledged.DELIVER:
            self.close(message, Effect.DELIVER)
            if message.pending is not None:
                self.attempt_ended(replace(message.pending, later=False))
            elif not message.handed:
                self.note(api.Withdrawn(message.number))
        elif found in (Acknowledged.RETRY, Acknowledged.AWAIT):
            (attempt,) = (kept.awaiting_ack,) if message.handed else message.out
            if told.verdict is Verdict.NOT_RUN:
                self.journal.record_not_run(message.number, attempt, told.mark)
            else:
                kept.marks.append(told.mark)
                if message.handed:
                    self.journal.record_outcome(message.number, attempt, may_have_run=True)
            if message.handed:
                self.take_back(message)
                if message.pending is not None:
                    ran = RAN[told.verdict]
                    self.attempt_ended(replace(message.pending, outcome=ran, over=False, later=False))
                elif message.stage is Stage.ABANDONED:
                    if not message.awaits_outcome:
                        self.end_abandoned(message)
                elif not message.out:
                    self.arrive(message)
                else:
                    message.waiting = True
            else:
                message.verdict = told.verdict
        self.commit(lambda: answer(ACKNOWLEDGED), lambda: answer(Reply("refused", BUSY_MS)))

    def leaving(self, at: float) -> None:
        """The process ends at that time of the event loop's clock."""
        self.note(api.ShutdownScheduled((at - self.loop.time()) * 1000.0))

    def attempt_ended(self, result: Result) -> None:
        message = self.messages[result.attempt.message]
        if message.verdict is not None:  # its acknowledgement came first, and counts
            result = replace(result, outcome=RAN[message.verdict], over=False, later=False)
            message.verdict = None
        if message.pending is not None and message.pending.attempt.number == result.attempt.number:
            message.pending = None
        if result.over and self.loop.time() >= result.first_due - ANSWER_MARGIN_S:
            # Guards against a message that is lost: to a client, whose time began earlier, it may have been
            # over before this answer, which then proves nothing, for any message of the call. So it is told
            # as failed, which does no harm where it was delivered; sent again, it would be called behind its
            # end there.
            result = replace(result, over=False, final=True)
        kept, later = message.kept, result.over and result.later and not message.over
        if later:
            if message.number in self.journal.live:
                self.journal.record_awaiting_ack(message.number, result.attempt.number)
            self.hand_over(message)
            if self.ordered(kept):
                message.pending = result  # to the module the attempt stays out: the next of its key must wait
                self.commit()
                return
        message.out.discard(result.attempt.number)
        if self.limits.counts is not None:
            now = self.loop.time() * 1000.0
            self.limits.counts.ended(now, result.endpoint, result.outcome, result.wait_ms)
        if (
            message.number in self.journal.live
            and result.attempt.number in message.kept.out
            and not result.over
        ):
            self.journal.record_outcome(message.number, result.attempt.number, not result.outcome.never_ran)
        if result.over and not later and not message.over:
            self.close(message, Effect.DELIVER)
        if result.final and message.stage is Stage.ACCEPTED:
            self.stop_sending(message, FINAL_ANSWER)
        if message.stage is Stage.ABANDONED and not message.awaits_outcome:
            self.end_abandoned(message)
        self.commit()
        self.note(
            api.AttemptEnded(
                message.number,
                result.attempt.number,
                result.endpoint,
                result.outcome,
                result.took_ms,
                message.over or message.waiting or (message.handed and message.pending is None),
                result.wait_ms,
                result.idled_ms,
                result.kept,
            )
        )
        if message.waiting and not (message.out or message.over):
            message.waiting = False
            self.arrive(message)
        self.forget(message)

    def dropped(self, endpoint: str) -> None:
        self.note(api.IdleConnectionClosed(endpoint))

    def withdrawn(self, endpoint: str) -> None:
        if (gate := self.registry.gate) is not None and endpoint in self.registry.rows:
            gate.withdrawn(endpoint)

    def set_gate(self, gate: Gate) -> None:
        """From now on it says which endpoints of the destinations that it covers may be called."""
        self.registry.gate, self.limits.stating = gate, True

    # Actions

    def turn(self) -> None:
        """Hand the module what has come, and carry out what it says."""
        if self.relinquished:
            return
        self.gathering = False
        events, self.events = self.events, []
        fresh, self.fresh, self.fresh_bytes = self.fresh, [], 0
        now = self.loop.time()
        if self.aging:
            aging, self.aging = self.aging, {}
            events = [
                older(event, (now - aging[event.message]) * 1000.0)
                if isinstance(event, api.MessageAccepted) and event.message in aging
                else event
                for event in events
            ]
        try:
            actions = self.dispatcher.handle(now * 1000.0, events)
        except Exception:
            log.exception("the decision module failed on %d events", len(events))
            actions = [api.Refuse(message.number) for message in fresh if not message.over]
            for message in fresh:
                self.note(api.Withdrawn(message.number))
        sends: dict[str, list[Attempt]] = {}
        for action in actions:
            try:
                self.act(action, sends)
            except Exception:
                log.exception("not carried out: %r", action)
        for message in fresh:
            if not message.over and self.lifecycle.advance(message, Effect.RECORD):
                self.journal.record_received(message.kept)
        self.commit(lambda: self.carry_out(fresh, sends), lambda: self.reject_uncommitted(fresh, sends))

    def carry_out(self, fresh: list[Message], sends: dict[str, list[Attempt]]) -> None:
        """The journal tells of all this now, as far as it is to before anybody is answered."""
        writable = True
        for message in fresh:
            if message.over or message.answer is None:
                continue
            if writable and message.reachable():
                writable = self.accept(message)
            if not message.over and message.answer is not None:
                self.reject(message)
        if self.journal.pending:  # ends of what was refused: a build before knows nothing of marks
            self.commit()
        for endpoint, attempts in sends.items():
            wanted = []
            for attempt in attempts:
                if self.messages[attempt.message].stage is not Stage.ACCEPTED:  # while the disk was at work
                    self.attempt_ended(Result(attempt, endpoint, Outcome.NOT_EXECUTED, 0.0))
                else:
                    wanted.append(attempt)
            if wanted:
                if self.limits.counts is not None and endpoint in self.endpoints.entries:
                    calls = -(-len(wanted) // self.endpoints.entries[endpoint].batch)
                    self.limits.counts.sent(endpoint, len(wanted), calls)
                self.endpoints.send(endpoint, wanted)

    def accept(self, message: Message) -> bool:
        """Tell the client of a recorded message that it is accepted, and the journal so before and behind the
        answer: a kill leaves in doubt what is being answered in that moment, and nothing else. False where
        the disk does not take that: then nobody is told."""
        answer = message.answer
        if answer is None or not self.lifecycle.permits(message, Effect.ANSWER):
            return True
        try:
            self.journal.begin_answer(message.number)
        except OSError as error:
            log.error("the journal cannot be written: %s", error)
            return False
        self.lifecycle.advance(message, Effect.ANSWER)
        message.answer = None
        if not told(answer):  # the connection broke under the answer: its client cannot have heard
            self.drop(message)
            self.commit()
            return True
        self.journal.finish_answer(message.number)
        self.lifecycle.advance(message, Effect.ACCEPT)
        return True

    def reject(self, message: Message) -> None:
        """Refuse what is not accepted; its client may come again."""
        self.finish(message, "bounced", BUSY_MS)
        self.note(api.Withdrawn(message.number))

    def may_send(self, attempt: Attempt) -> bool:
        """Whether the last byte of a call with this attempt may be written in this step."""
        message = self.messages.get(attempt.message)
        if message is None:
            return False
        message.check_client()
        return self.lifecycle.permits(message, Effect.SEND)

    def begin(self, endpoint: str, attempts: list[Attempt], go: Callable[[list[Attempt]], None]) -> None:
        """The last byte of a call is about to be written. `go` hears of which attempts: those whose messages
        are not over, once the journal tells of them, and none where the disk does not take that. An earlier
        record would take a message that never left for one that may have run."""

        def open_attempts() -> list[Attempt]:
            return [attempt for attempt in attempts if self.may_send(attempt)]

        for attempt in open_attempts():
            self.journal.record_attempt(attempt.message, attempt.number, endpoint, self.steady_time())
        self.commit(lambda: go(open_attempts()), lambda: go([]))

    def reject_uncommitted(self, fresh: list[Message], sends: dict[str, list[Attempt]]) -> None:
        """Guards against doing what the journal does not tell: nothing is taken on, nothing is sent."""
        for message in fresh:
            if not message.over:
                self.reject(message)
        for endpoint, attempts in sends.items():
            for attempt in attempts:
                self.attempt_ended(Result(attempt, endpoint, Outcome.NOT_EXECUTED, 0.0))

    def act(self, action: api.Action, sends: dict[str, list[Attempt]]) -> None:
        match action:
            case api.Send() if self.lifecycle.phase is not Phase.SERVING:
                pass  # the process that goes on decides anew
            case api.Send(number, endpoint, timeout_at_ms, start_by_ms):
                message = self.messages[number]
                kept, attempt = message.kept, message.attempts
                message.attempts += 1
                message.out.add(attempt)
                stop_at = min(timeout_at_ms / 1000.0, message.due)
                sends.setdefault(endpoint, []).append(
                    Attempt(
                        number,
                        attempt,
                        kept.id,
                        kept.body,
                        stop_at,
                        message.due,
                        kept.cls,
                        kept.attributes,
                        self.wall(message.due),
                        kept.idempotency,
                        start_by_ms / 1000.0,
                    )
                )
            case api.Fail(number):
                self.finish(self.messages[number], "dead", 0.0)
            case api.Refuse(number, retry_after_ms):
                self.finish(self.messages[number], "bounced", retry_after_ms)
            case api.Cancel(number, attempt):
                held = self.messages.get(number)
                if held is not None and (result := held.pending) and result.attempt.number == attempt:
                    if not held.over:
                        self.take_back(held)
                    cancelled = replace(result, outcome=Outcome.CANCELLED, over=False, later=False)
                    self.attempt_ended(cancelled)
                elif (number, attempt) in self.inherited:
                    self.cancel_inherited(number, attempt)
                else:
                    self.endpoints.cancel(number, attempt)
            case api.SetTimer(in_ms, token):
                if self.reminder is not None:  # the module asks anew only for an earlier time
                    self.reminder.cancel()
                self.reminder = self.loop.call_later(in_ms / 1000.0, self.note, api.TimerFired(token))
            case api.Probe(endpoint):
                self.endpoints.probe(endpoint, self.probe_ended)
            case api.CloseIdleConnections(endpoint):
                self.endpoints.hang_up(endpoint)
            case api.RecordColdState(endpoint, cold, pace_per_s):
                if cold:
                    self.journal.record_cold(endpoint, pace_per_s)
                else:
                    self.journal.record_warm(endpoint)
                if self.limits.counts is not None:
                    self.limits.counts.chilled(endpoint, cold)
            case api.Subscribe():
                pass  # the watch on the list is open always, and keeps itself open
            case api.Log(text):
                log.info("module: %s", text)

    def probe_ended(self, endpoint: str, outcome: Outcome, took_ms: float) -> None:
        self.note(api.ProbeEnded(endpoint, outcome, took_ms))

    def finish(self, message: Message, result: str, wait_ms: float) -> None:
        """The final answer: to the client if it still waits for one, else as a notice."""
        if message.over:
            return
        if message.answer is not None:
            answer, message.answer = message.answer, None
            message.completion_listeners.clear()  # it was never taken on
            end = FAILED if result == "dead" else Reply("refused", wait_ms)
            answer(end)
            message.sink = b""
            self.close(message, Effect.REJECT, end=end)
            return
        if not self.lifecycle.permits(message, Effect.EXPIRE):
            return
        if message.resumed and not message.attempts:
            log_untried_end(message, result, (message.due - self.loop.time()) * 1000.0)
        end = FAILED if result == "dead" else Reply("refused", wait_ms)
        self.notify_sink(message, end)
        if message.number in self.journal.live:
            self.journal.record_notice(message.number, result, wait_ms)
        self.notices.append(PendingNotice(message.number, message.id, result, wait_ms, message.due))
        self.close(message, Effect.EXPIRE, end=end)

    def close(self, message: Message, effect: Effect, end: Reply = DELIVERED) -> None:
        """The message is over; with a notice the journal keeps it until that is heard. Those who wait for its
        end hear it as soon as the journal tells of it."""
        if not self.lifecycle.permits(message, effect):
            return
        told = end in (DELIVERED, FAILED) or message.stage is Stage.ABANDONED
        if told and effect is not Effect.REJECT and not message.kept.remember:
            self.recent_ends.add(message.id, ACCEPTED if end is DELIVERED else end, self.loop.time())
        self.notify_sink(message, end)
        self.lifecycle.advance(message, effect)
        noticed = effect is Effect.EXPIRE
        if end is not WITHDRAWN:
            self.metrics.ended(message.kept.cls, end.status)
        self.completions += [(ended, end) for ended in message.completion_listeners]
        message.completion_listeners.clear()
        if message.watchdog is not None:
            message.watchdog.cancel()
        if message.attempts and self.acknowledges(message.kept.destination):
            self.end_history.add(message.kept.id, end.status, message.kept.deadline + self.keep_s)
        if message.number in self.journal.live:
            if message.kept.remember and end.status != WITHDRAWN.status:
                if not noticed:
                    self.journal.record_notice(message.number, end.status, 0.0)
                self.remember(message.kept, end)
            elif not noticed:
                self.journal.record_end(message.number)
        self.by_id.pop(message.kept.id, None)
        self.forget(message)
        if not self.by_id:
            self.idle.set()

    def notify_sink(self, message: Message, end: Reply) -> None:
        """Take on the message that tells the end of this one, where its client wants that. The journal has it
        before the end, so that a crash between the two cannot leave the end untold."""
        attributes, message.sink = message.sink, b""
        if not attributes or self.sinks is None:
            return
        at = datetime.now(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
        told = self.sinks.end_notice(attributes, end.status, at)
        if told.id in self.by_id:  # told by an earlier process that did not come to the end's record
            return
        self.numbers += 1
        now = self.steady_time()
        most = self.settings.classes[self.classes[told.cls]].deadline_ms / 1000.0
        words = (told.id, told.cls, told.destination, now + most, told.body)
        kept = JournalEntry(self.numbers, *words, accepted_at=now, attributes=told.attributes)
        self.journal.record_accepted(kept)
        self.arrive(self.enter(kept))

    def remember(self, kept: JournalEntry, end: Reply) -> None:
        """The journal keeps the message, without its body, until its identity may be forgotten."""
        self.remembered_ends.add(kept.id, End(kept.number, end, kept.deadline + self.keep_s))
        for number in self.remembered_ends.forget(self.steady_time()):
            self.journal.record_end(number)

    def forget(self, message: Message) -> None:
        if message.over and not message.out:
            self.messages.pop(message.number, None)

    def notice_heard(self, number: int) -> None:
        if number in self.remembered_ends.numbers:
            self.journal.record_notice(number, FAILED.status, 0.0)  # the platform knows now
            self.commit()
        elif number in self.journal.live:
            self.journal.record_end(number)
            self.commit()

    def commit(
        self, on_committed: Callable[[], None] = lambda: None, on_failed: Callable[[], None] = lambda: None
    ) -> None:
        """Write what was noted. `on_committed`, and the notices due, follow once it is there; `on_failed` if
        the disk does not take it, and what was noted is tried again soon. Guards against an end that is told
        and then forgotten: after a restart the message would be sent as if nobody had been told."""
        if self.relinquished:  # the folder is another process's
            return
        notices, self.notices = self.notices, []
        ends, self.completions = self.completions, []

        def done() -> None:
            for notice in notices:
                self.tell(notice)
            for ended, end in ends:
                ended(end)
            on_committed()

        def failed() -> None:
            self.notices[:0] = notices
            self.completions[:0] = ends
            on_failed()
            self.tell_expired()
            if self.retrying is None:
                dues = [notice.due - self.loop.time() for notice in self.notices]
                self.retrying = self.loop.call_later(min([RETRY_S, *dues]), self.retry)

        self.committer.commit(done, failed)

    def retry(self) -> None:
        self.retrying = None
        self.commit()

    def tell(self, notice: PendingNotice) -> None:
        """Hand a notice over to the platform's side, unless its request has not ended."""
        message = self.messages.get(notice.number)
        if message is not None and not self.lifecycle.permits(message, Effect.NOTIFY):
            return
        self.notify(notice.number, notice.id, notice.result, notice.wait_ms)

    def tell_expired(self) -> None:
        """The disk does not take an end: it is told all the same once the message's time is up. A process
        that starts from the journal as it is gives such a message its end as well, and does not send it."""
        now = self.loop.time()
        expired = [notice for notice in self.notices if notice.due <= now]
        self.notices = [notice for notice in self.notices if notice.due > now]
        for notice in expired:
            self.tell(self.as_after_a_kill(notice))

    def as_after_a_kill(self, notice: PendingNotice) -> PendingNotice:
        """The end that a process gives which finds the folder as it is: there, an attempt whose outcome could
        not be written may have run."""
        kept = self.journal.live.get(notice.number)
        if notice.result != REFUSED_NOTICE or kept is None or not kept.attempts:
            return notice
        self.journal.record_notice(notice.number, FAILED_NOTICE, 0.0)
        return replace(notice, result=FAILED_NOTICE, wait_ms=0.0)


def told(answer: ReplyCallback) -> bool:
    """Whether the client's answer, that its message is accepted, is wholly in the system's hands."""
    try:
        return answer(ACCEPTED) is not False
    except Exception:  # guards against a fault of our own, behind which others would wait for their answers
        log.exception("a client was not answered")
        return False


def older(event: api.MessageAccepted, by_ms: float) -> api.MessageAccepted:
    """The same a while later. Guards against windows that seem longer by the time from the look at an age to
    the turn in which the module hears of it: at a start with many messages, that may be long."""
    ran_ago_ms = None if event.ran_ago_ms is None else event.ran_ago_ms + by_ms
    out = tuple(replace(lent, sent_ago_ms=lent.sent_ago_ms + by_ms) for lent in event.out)
    return replace(event, left_ms=max(event.left_ms - by_ms, 0.0), ran_ago_ms=ran_ago_ms, out=out)
