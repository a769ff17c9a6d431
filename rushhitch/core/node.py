"""The core of a dispatcher: passes events to the decision module in turns and carries out its actions."""

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
from rushhitch.core.health_log import log_health
from rushhitch.core.lifecycle import Effect, Lifecycle, Phase, Stage
from rushhitch.core.limits import RateLimits
from rushhitch.core.messages import BUSY_MS, InheritedAttempt, Message, PendingNotice
from rushhitch.core.metrics import Metrics
from rushhitch.core.recent_ends import RecentEnds
from rushhitch.core.remembered_ends import MAX_REMEMBERED_ENDS, RETENTION_S, End, RememberedEnds
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

WITHDRAWN = Reply("refused")  # it was not accepted: the client may resubmit
OVERDUE_GRACE_S = 0.1  # after its deadline, a message that the decision module has not ended is failed here
CLIENT_CLOCK_MARGIN_S = (
    0.1  # bound on the age of a message on arrival: the client's clock started before ours
)
REMEMBERED_ENDS_SHARE = (
    0.5  # largest part of the journal's room for live messages that remembered ids may take
)
HTTP_ACCEPTED = 202
OUTCOME_BY_VERDICT = {
    Verdict.NOT_RUN: Outcome.NOT_EXECUTED,
    Verdict.RAN: Outcome.ERROR,
}  # outcomes of attempts by negative acknowledgement
ACKNOWLEDGEMENT_MARGIN_S = (
    0.1  # before its deadline, a message that still lacks its acknowledgement is failed
)
REFUSED_NOTICE, FAILED_NOTICE = "bounced", "dead"  # results in notices to the platform
COMMIT_RETRY_S = 0.25  # interval of retries after a failed journal write


class Node:
    """One dispatcher. Events are collected by `note` and processed together in `turn`, once per tick.

    `notify` sends a notice to the platform (number, id, result, wait in ms); `keep_s` is how long past its
    deadline an id is remembered; `connections` limits open connections to endpoints."""

    def __init__(
        self,
        settings: Settings,
        dispatcher: Dispatcher,
        journal: Journal,
        notify: Callable[[int, bytes, str, float], None],
        connections: int = 256,
        codecs: Mapping[int, Codec] | None = None,
        keep_s: float = RETENTION_S,
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
        self.history = history or SettingsHistory()  # of settings, for messages accepted under earlier ones
        self.metrics = Metrics(self.classes)
        self.bans = bans  # endpoints detached by operators
        self.limits = RateLimits(settings.dispatchers, self.note, dispatcher.held_by_destination)
        self.registry = EndpointRegistry(
            settings, codecs or {}, self.endpoints, journal, self.limits, self.note
        )
        self.inherited: dict[tuple[int, int], InheritedAttempt] = {}  # still run by an earlier process
        self.cancel_inherited: Callable[[int, int], None] = lambda message, attempt: None  # one of these
        self.abandon_elsewhere: Callable[[int, str], None] = lambda message, why: None  # once relinquished
        self.ahead_s: float | None = None  # steady time minus loop time, see `journal.steady_clock`
        self.ages_as_of: dict[int, float] = {}  # loop time of the ages in a pending `MessageAccepted`
        self.messages: dict[int, Message] = {}
        self.by_id: dict[bytes, Message] = {}
        self.numbers = journal.highest
        self.committer = Committer(journal)
        self.notices: list[PendingNotice] = []  # to be sent once the journal holds the ends
        self.remembered_ends = RememberedEnds(
            min(MAX_REMEMBERED_ENDS, int(REMEMBERED_ENDS_SHARE * journal.space.max_live_bytes / RECORD_ROOM))
        )
        self.sinks: Sinks | None = None  # set if clients may have ends reported by messages to sinks
        self.end_history = EndHistory()
        self.start_report = StartReport()
        self.recent_ends = RecentEnds()
        self.completions: list[tuple[ReplyCallback, Reply]] = []  # likewise, for callers waiting for an end
        self.retrying: asyncio.TimerHandle | None = None
        self.new_bytes = 0
        self.reminder: asyncio.TimerHandle | None = None
        self.events: list[api.Event] = []
        self.new_messages: list[Message] = []
        self.turn_scheduled = False
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
        """Numbers of messages and calls by state; `newest` is the number of the newest message, `out` counts
        messages in calls and `calls` the calls, `cold` the endpoints that are tripped or in slow start."""
        return {
            "newest": self.numbers,
            "held": len(self.by_id),
            "unanswered": len(self.journal.unanswered),
            "out": len(self.endpoints.calls),
            "calls": self.dispatcher.slots_in_use,
            "cold": self.dispatcher.count_in_slow_start(),
            "notices": len(self.notices),
            "refused_effects": self.lifecycle.refused.total(),
            "unrequested": self.endpoints.unrequested,
        }

    def note(self, event: api.Event) -> None:
        if self.relinquished:
            return
        self.events.append(event)
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.loop.call_later(self.settings.tick_ms / 1000.0, self.turn)

    def reconfigure(self, settings: Settings, history: SettingsHistory) -> None:
        """Apply new settings to messages accepted from now on; `history` includes them. Raises `ValueError`
        and changes nothing if they differ in kinds or zones."""
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
        """Set the number of dispatchers that share limits and slots, including this one."""
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
        """Submit a message; it is answered at the end of the turn. See `Acceptor.offer`."""
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
            if send_acceptance(answer):  # a duplicate of an accepted message
                held.informed_clients += 1
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
            size += RECORD_ROOM + self.sinks.room  # for the message that reports its end
        room = self.new_bytes + size
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
        message = self.add_message(kept, answer)
        message.stage = Stage.RECEIVED
        message.reachable, message.check_client = reachable, check_client
        if ended is not None:
            message.completion_listeners.append(ended)
        if self.limits.counts is not None:
            self.limits.counts.arrived(offer.destination)
        self.new_messages.append(message)
        self.new_bytes += RECORD_ROOM + size
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
        """The tenant's position; past the last one for a message without a tenant, which has no allowance."""
        return self.tenants.get(name, len(self.settings.tenants))

    def steady_time(self) -> float:
        """Unix time in seconds by a clock that is not stepped while this process runs, nor across a restart
        if `ahead_s` was stored. All times in the journal are steady times."""
        if self.ahead_s is None:
            self.ahead_s = time.time() - self.loop.time()
        return self.loop.time() + self.ahead_s

    def loop_deadline(self, kept: JournalEntry) -> float:
        """The deadline of the message in loop time."""
        return self.loop.time() + max(kept.deadline - self.steady_time(), 0.0)

    def to_wall_time(self, due: float) -> float:
        """Convert loop time to Unix time in seconds by the current wall clock."""
        return time.time() + due - self.loop.time()

    def add_message(self, kept: JournalEntry, answer: ReplyCallback | None = None) -> Message:
        due = self.loop_deadline(kept)
        message = Message(kept.number, kept, kept.attempts, due, answer)
        if self.sinks is not None and self.sinks.named(kept.attributes):
            message.sink = kept.attributes
        self.messages[message.number] = self.by_id[kept.id] = message
        self.set_watchdog(message, due + OVERDUE_GRACE_S, self.overdue)
        self.idle.clear()
        return message

    def set_watchdog(self, message: Message, at: float, ends: Callable[[Message], None]) -> None:
        """Call `ends` at that loop time unless the message has ended; replaces the watchdog."""
        if message.watchdog is not None:
            message.watchdog.cancel()
        message.watchdog = self.loop.call_at(at, ends, message)

    def withdraw(self, number: int) -> None:
        """See `Acceptor`. The client may resubmit the message, so nothing is owed."""
        message = self.messages.get(number)
        if message is not None and message.answer is not None and not self.relinquished:
            message.answer = None
            self.close_unanswered(message)

    def close_unanswered(self, message: Message) -> None:
        """Close a message whose client disconnected unanswered, without an end."""
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
        message.informed_clients -= 1
        if message.informed_clients > 0:
            return
        self.stop_sending(message, why)
        if not message.awaits_outcome:
            self.end_abandoned(message)
            self.note(api.Withdrawn(number))
        self.commit()

    def stop_sending(self, message: Message, why: str) -> None:
        """Start no further call. While calls are in flight the journal holds a "dead" notice, the weakest
        promise, so that a process that starts meanwhile sends nothing either."""
        log_abandoned(message, why)
        if self.lifecycle.advance(message, Effect.ABANDON) and message.awaits_outcome:
            self.journal.record_notice(message.number, FAILED_NOTICE, 0.0)

    def end_abandoned(self, message: Message) -> None:
        """End an abandoned message that has no call in flight and was not delivered."""
        if message.kept.first_run is None:
            self.finish(message, REFUSED_NOTICE, BUSY_MS)
        else:
            self.finish(message, FAILED_NOTICE, 0.0)

    def overdue(self, message: Message) -> None:
        """Watchdog: fail a message that the decision module did not end by its deadline."""
        if not message.over:
            log.error("message %d is past its deadline without an end; failing it", message.number)
            self.finish(message, "dead", 0.0)
            self.commit()
            self.note(api.Withdrawn(message.number))

    def announce(
        self, message: Message, loans: Sequence[InheritedAttempt] = (), untried: bool = False
    ) -> None:
        """Announce to the decision module a message that was resumed or acknowledged negatively. `loans` are
        its attempts in flight in an earlier process. Attempts of unknown age count as past every window."""
        kept, now = message.kept, self.steady_time()
        terms, out = self.history.terms_of(kept.number, kept.cls), {loan.attempt for loan in loans}
        runs = [where for attempt, where in kept.out.items() if attempt not in out]
        ran = min([*runs, *([kept.ran] if kept.ran else [])], key=itemgetter(1), default=None)
        age = self.steady_time() - ran[1] if ran else 0.0
        self.ages_as_of[message.number] = self.loop.time()
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

    def acknowledges_later(self, destination: int) -> bool:
        """Whether the partner of the destination may answer 202 and acknowledge later."""
        return self.registry.codecs.get(destination, PLATFORM).expects_acknowledgement(HTTP_ACCEPTED)

    def is_repeatable(self, kept: JournalEntry) -> bool:
        """Whether a second delivery of the message has no effect."""
        terms = self.history.terms_of(kept.number, kept.cls)
        message_class = terms.cls if terms is not None else self.settings.classes[self.classes[kept.cls]]
        return message_class.effect is api.Effect.SAFE

    def is_ordered(self, kept: JournalEntry) -> bool:
        """Whether messages with its key are delivered in order."""
        if not kept.key:
            return False
        if (terms := self.history.terms_of(kept.number, kept.cls)) is not None:
            return terms.cls.in_order
        return self.settings.classes[self.classes[kept.cls]].in_order

    def await_acknowledgement(self, message: Message) -> None:
        """The call was answered with 202: wait for the acknowledgement, or fail the message before its
        deadline."""
        message.handed = True
        self.set_watchdog(message, message.due - ACKNOWLEDGEMENT_MARGIN_S, self.unacknowledged)

    def return_to_module(self, message: Message) -> None:
        """The decision module is responsible for the message again."""
        message.handed = False
        self.set_watchdog(message, message.due + OVERDUE_GRACE_S, self.overdue)

    def unacknowledged(self, message: Message) -> None:
        """Watchdog: fail a message whose acknowledgement did not arrive."""
        if not message.over:
            log.info("message %d was not acknowledged in time", message.number)
            self.finish(message, "dead", 0.0)
            if message.deferred_result is not None:
                self.attempt_ended(replace(message.deferred_result, later=False))
            self.commit()

    def acknowledge(self, acknowledgement: Acknowledgement, answer: ReplyCallback) -> None:
        """See `Acceptor`. Answered once the journal holds its effect."""
        message = self.by_id.get(acknowledgement.message)
        if message is None or message.kept.destination != acknowledgement.destination:
            answer(self.end_history.answer(acknowledgement, self.steady_time()))
            return
        kept, heard = message.kept, message.verdict is not None
        found = effect(acknowledgement, kept.marks, message.attempts, len(message.out), message.handed, heard)
        if found is Acknowledged.UNKNOWN:
            answer(UNKNOWN)
            return
        if found is Acknowledged.LATER:
            answer(Reply("refused", BUSY_MS))
            return
        if found is Acknowledged.DELIVER:
            self.close(message, Effect.DELIVER)
            if message.deferred_result is not None:
                self.attempt_ended(replace(message.deferred_result, later=False))
            elif not message.handed:
                self.note(api.Withdrawn(message.number))
        elif found in (Acknowledged.RETRY, Acknowledged.AWAIT):
            (attempt,) = (kept.awaiting_ack,) if message.handed else message.out
            if acknowledgement.verdict is Verdict.NOT_RUN:
                self.journal.record_not_run(message.number, attempt, acknowledgement.mark)
            else:
                kept.marks.append(acknowledgement.mark)
                if message.handed:
                    self.journal.record_outcome(message.number, attempt, may_have_run=True)
            if message.handed:
                self.return_to_module(message)
                if message.deferred_result is not None:
                    ran = OUTCOME_BY_VERDICT[acknowledgement.verdict]
                    self.attempt_ended(replace(message.deferred_result, outcome=ran, over=False, later=False))
                elif message.stage is Stage.ABANDONED:
                    if not message.awaits_outcome:
                        self.end_abandoned(message)
                elif not message.out:
                    self.announce(message)
                else:
                    message.announce_later = True
            else:
                message.verdict = acknowledgement.verdict
        self.commit(lambda: answer(ACKNOWLEDGED), lambda: answer(Reply("refused", BUSY_MS)))

    def leaving(self, at: float) -> None:
        """The process will end at that loop time."""
        self.note(api.ShutdownScheduled((at - self.loop.time()) * 1000.0))

    def attempt_ended(self, result: Result) -> None:
        """Handle the result of an attempt, of this process or an inherited one."""
        message = self.messages[result.attempt.message]
        if message.verdict is not None:  # an acknowledgement arrived first and takes precedence
            result = replace(result, outcome=OUTCOME_BY_VERDICT[message.verdict], over=False, later=False)
            message.verdict = None
        if (
            message.deferred_result is not None
            and message.deferred_result.attempt.number == result.attempt.number
        ):
            message.deferred_result = None
        if result.over and self.loop.time() >= result.first_due - CLIENT_CLOCK_MARGIN_S:
            # The client's clock started earlier, so for it the message may have ended before this answer,
            # which then proves nothing for any message of the call. The message is reported as failed, which
            # is harmless if it was delivered; another call could come after its end at the client.
            result = replace(result, over=False, final=True)
        kept, later = message.kept, result.over and result.later and not message.over
        if later:
            if message.number in self.journal.live:
                self.journal.record_awaiting_ack(message.number, result.attempt.number)
            self.await_acknowledgement(message)
            if self.is_ordered(kept):
                message.deferred_result = result  # in flight for the module: the next of its key must wait
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
                message.over
                or message.announce_later
                or (message.handed and message.deferred_result is None),
                result.wait_ms,
                result.idled_ms,
                result.kept,
            )
        )
        if message.announce_later and not (message.out or message.over):
            message.announce_later = False
            self.announce(message)
        self.release(message)

    def dropped(self, endpoint: str) -> None:
        self.note(api.IdleConnectionClosed(endpoint))

    def withdrawn(self, endpoint: str) -> None:
        if (gate := self.registry.gate) is not None and endpoint in self.registry.rows:
            gate.withdrawn(endpoint)

    def set_gate(self, gate: Gate) -> None:
        """Set the gate that decides which endpoints of the destinations that it covers may be called."""
        self.registry.gate, self.limits.may_be_stated = gate, True

    # Actions

    def turn(self) -> None:
        """Pass the collected events to the decision module and carry out its actions."""
        if self.relinquished:
            return
        self.turn_scheduled = False
        events, self.events = self.events, []
        new_messages, self.new_messages, self.new_bytes = self.new_messages, [], 0
        now = self.loop.time()
        if self.ages_as_of:
            ages_as_of, self.ages_as_of = self.ages_as_of, {}
            events = [
                aged(event, (now - ages_as_of[event.message]) * 1000.0)
                if isinstance(event, api.MessageAccepted) and event.message in ages_as_of
                else event
                for event in events
            ]
        try:
            actions = self.dispatcher.handle(now * 1000.0, events)
        except Exception:
            log.exception("the decision module failed on %d events", len(events))
            actions = [api.Refuse(message.number) for message in new_messages if not message.over]
            for message in new_messages:
                self.note(api.Withdrawn(message.number))
        sends: dict[str, list[Attempt]] = {}
        for action in actions:
            try:
                self.carry_out_action(action, sends)
            except Exception:
                log.exception("action failed: %r", action)
        for message in new_messages:
            if not message.over and self.lifecycle.advance(message, Effect.RECORD):
                self.journal.record_received(message.kept)
        self.commit(
            lambda: self.carry_out_turn(new_messages, sends),
            lambda: self.reject_uncommitted(new_messages, sends),
        )

    def carry_out_turn(self, new_messages: list[Message], sends: dict[str, list[Attempt]]) -> None:
        """The turn's records are committed: answer the clients, then start the calls."""
        writable = True
        for message in new_messages:
            if message.over or message.answer is None:
                continue
            if writable and message.reachable():
                writable = self.accept(message)
            if not message.over and message.answer is not None:
                self.reject(message)
        if self.journal.pending:  # ends of refused messages: older builds ignore acceptance marks
            self.commit()
        for endpoint, attempts in sends.items():
            wanted = []
            for attempt in attempts:
                if self.messages[attempt.message].stage is not Stage.ACCEPTED:  # ended during the commit
                    self.attempt_ended(Result(attempt, endpoint, Outcome.NOT_EXECUTED, 0.0))
                else:
                    wanted.append(attempt)
            if wanted:
                if self.limits.counts is not None and endpoint in self.endpoints.entries:
                    calls = -(-len(wanted) // self.endpoints.entries[endpoint].batch)
                    self.limits.counts.sent(endpoint, len(wanted), calls)
                self.endpoints.send(endpoint, wanted)

    def accept(self, message: Message) -> bool:
        """Answer the client of a recorded message that it is accepted. The journal is written before and
        after the answer, so that a crash leaves in doubt only the message being answered at that moment.
        Returns False if the journal cannot be written; then no client is answered."""
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
        if not send_acceptance(answer):  # the connection broke: the client cannot have received it
            self.close_unanswered(message)
            self.commit()
            return True
        self.journal.finish_answer(message.number)
        self.lifecycle.advance(message, Effect.ACCEPT)
        return True

    def reject(self, message: Message) -> None:
        """Refuse a message that is not accepted; its client may resubmit."""
        self.finish(message, "bounced", BUSY_MS)
        self.note(api.Withdrawn(message.number))

    def may_send(self, attempt: Attempt) -> bool:
        """Whether the last byte of a call with this attempt may be written now. Checks its client first."""
        message = self.messages.get(attempt.message)
        if message is None:
            return False
        message.check_client()
        return self.lifecycle.permits(message, Effect.SEND)

    def begin(self, endpoint: str, attempts: list[Attempt], go: Callable[[list[Attempt]], None]) -> None:
        """Record a call's attempts right before its last byte is written. `go` is called after the commit
        with the attempts whose messages have not ended, or with none if the journal cannot be written. A
        record made earlier would mark a message that was never sent as one that may have run."""

        def open_attempts() -> list[Attempt]:
            return [attempt for attempt in attempts if self.may_send(attempt)]

        for attempt in open_attempts():
            self.journal.record_attempt(attempt.message, attempt.number, endpoint, self.steady_time())
        self.commit(lambda: go(open_attempts()), lambda: go([]))

    def reject_uncommitted(self, new_messages: list[Message], sends: dict[str, list[Attempt]]) -> None:
        """The turn's records could not be committed: accept nothing and send nothing."""
        for message in new_messages:
            if not message.over:
                self.reject(message)
        for endpoint, attempts in sends.items():
            for attempt in attempts:
                self.attempt_ended(Result(attempt, endpoint, Outcome.NOT_EXECUTED, 0.0))

    def carry_out_action(self, action: api.Action, sends: dict[str, list[Attempt]]) -> None:
        """Carry out an action; attempts to send are collected in `sends`, by endpoint."""
        match action:
            case api.Send() if self.lifecycle.phase is not Phase.SERVING:
                pass  # the successor decides again
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
                        self.to_wall_time(message.due),
                        kept.idempotency,
                        self.is_repeatable(kept),
                        start_by_ms / 1000.0,
                    )
                )
            case api.Fail(number):
                self.finish(self.messages[number], "dead", 0.0)
            case api.Refuse(number, retry_after_ms):
                self.finish(self.messages[number], "bounced", retry_after_ms)
            case api.Cancel(number, attempt):
                held = self.messages.get(number)
                if held is not None and (result := held.deferred_result) and result.attempt.number == attempt:
                    if not held.over:
                        self.return_to_module(held)
                    cancelled = replace(result, outcome=Outcome.CANCELLED, over=False, later=False)
                    self.attempt_ended(cancelled)
                elif (number, attempt) in self.inherited:
                    self.cancel_inherited(number, attempt)
                else:
                    self.endpoints.cancel(number, attempt)
            case api.SetTimer(in_ms, token):
                if self.reminder is not None:  # the module asks again only for an earlier time
                    self.reminder.cancel()
                self.reminder = self.loop.call_later(in_ms / 1000.0, self.note, api.TimerFired(token))
            case api.Probe(endpoint):
                self.endpoints.probe(endpoint, self.probe_ended)
            case api.CloseIdleConnections(endpoint):
                self.endpoints.close_idle(endpoint)
            case api.RecordColdState(endpoint, cold, pace_per_s):
                if cold:
                    self.journal.record_cold(endpoint, pace_per_s)
                else:
                    self.journal.record_warm(endpoint)
                if self.limits.counts is not None:
                    self.limits.counts.chilled(endpoint, cold)
            case api.HealthChanged():
                log_health(action)
            case api.Subscribe():
                pass  # discovery keeps its watch open by itself
            case api.Log(text):
                log.info("module: %s", text)

    def probe_ended(self, endpoint: str, outcome: Outcome, took_ms: float) -> None:
        self.note(api.ProbeEnded(endpoint, outcome, took_ms))

    def finish(self, message: Message, result: str, wait_ms: float) -> None:
        """End the message as "bounced" or "dead": answer its client if it still waits, else owe a notice."""
        if message.over:
            return
        if message.answer is not None:
            answer, message.answer = message.answer, None
            message.completion_listeners.clear()  # it was never accepted
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
        """Apply the effect that ends the message. If a notice is owed, the journal keeps the message until
        the platform confirms it. Callers that wait for the end are called once it is committed."""
        if not self.lifecycle.permits(message, effect):
            return
        reported = end in (DELIVERED, FAILED) or message.stage is Stage.ABANDONED
        if reported and effect is not Effect.REJECT and not message.kept.remember:
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
        if message.attempts and self.acknowledges_later(message.kept.destination):
            self.end_history.add(message.kept.id, end.status, message.kept.deadline + self.keep_s)
        if message.number in self.journal.live:
            if message.kept.remember and end.status != WITHDRAWN.status:
                if not noticed:
                    self.journal.record_notice(message.number, end.status, 0.0)
                self.remember_end(message.kept, end)
            elif not noticed:
                self.journal.record_end(message.number)
        self.by_id.pop(message.kept.id, None)
        self.release(message)
        if not self.by_id:
            self.idle.set()

    def notify_sink(self, message: Message, end: Reply) -> None:
        """Accept the message that reports this end to the client's sink, if it asked for one. It is written
        to the journal before the end, so that a crash between the two cannot lose the report."""
        attributes, message.sink = message.sink, b""
        if not attributes or self.sinks is None:
            return
        at = datetime.now(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
        report = self.sinks.end_notice(attributes, end.status, at)
        if report.id in self.by_id:  # an earlier process reported it but crashed before recording the end
            return
        self.numbers += 1
        now = self.steady_time()
        most = self.settings.classes[self.classes[report.cls]].deadline_ms / 1000.0
        fields = (report.id, report.cls, report.destination, now + most, report.body)
        kept = JournalEntry(self.numbers, *fields, accepted_at=now, attributes=report.attributes)
        self.journal.record_accepted(kept)
        self.announce(self.add_message(kept))

    def remember_end(self, kept: JournalEntry, end: Reply) -> None:
        """Remember the id of an ended message; the journal keeps it without its body until it expires."""
        self.remembered_ends.add(kept.id, End(kept.number, end, kept.deadline + self.keep_s))
        for number in self.remembered_ends.forget(self.steady_time()):
            self.journal.record_end(number)

    def release(self, message: Message) -> None:
        if message.over and not message.out:
            self.messages.pop(message.number, None)

    def notice_heard(self, number: int) -> None:
        """The platform confirmed the notice of that message."""
        if number in self.remembered_ends.numbers:
            self.journal.record_notice(number, FAILED.status, 0.0)  # keep the id, but send no notice again
            self.commit()
        elif number in self.journal.live:
            self.journal.record_end(number)
            self.commit()

    def commit(
        self, on_committed: Callable[[], None] = lambda: None, on_failed: Callable[[], None] = lambda: None
    ) -> None:
        """Commit the pending journal records. Notices and ends are delivered and `on_committed` is called
        only after that: an end reported but not stored would be lost in a crash, and the message sent again.
        If the write fails, `on_failed` is called and the commit is retried after `COMMIT_RETRY_S`."""
        if self.relinquished:  # another process owns the folder
            return
        notices, self.notices = self.notices, []
        ends, self.completions = self.completions, []

        def done() -> None:
            for notice in notices:
                self.send_notice(notice)
            for ended, end in ends:
                ended(end)
            on_committed()

        def failed() -> None:
            self.notices[:0] = notices
            self.completions[:0] = ends
            on_failed()
            self.send_expired_notices()
            if self.retrying is None:
                dues = [notice.due - self.loop.time() for notice in self.notices]
                self.retrying = self.loop.call_later(min([COMMIT_RETRY_S, *dues]), self.retry)

        self.committer.commit(done, failed)

    def retry(self) -> None:
        self.retrying = None
        self.commit()

    def send_notice(self, notice: PendingNotice) -> None:
        """Send a notice to the platform, unless its request has not ended."""
        message = self.messages.get(notice.number)
        if message is not None and not self.lifecycle.permits(message, Effect.NOTIFY):
            return
        self.notify(notice.number, notice.id, notice.result, notice.wait_ms)

    def send_expired_notices(self) -> None:
        """Send notices past the message's deadline although the journal cannot be written. This is safe: a
        process that starts from that journal ends such a message too, and does not send it."""
        now = self.loop.time()
        expired = [notice for notice in self.notices if notice.due <= now]
        self.notices = [notice for notice in self.notices if notice.due > now]
        for notice in expired:
            self.send_notice(self.notice_after_crash(notice))

    def notice_after_crash(self, notice: PendingNotice) -> PendingNotice:
        """The notice that a process recovering from the stored journal would send: an attempt whose outcome
        could not be written may have run, so "bounced" becomes "dead"."""
        kept = self.journal.live.get(notice.number)
        if notice.result != REFUSED_NOTICE or kept is None or not kept.attempts:
            return notice
        self.journal.record_notice(notice.number, FAILED_NOTICE, 0.0)
        return replace(notice, result=FAILED_NOTICE, wait_ms=0.0)


def send_acceptance(answer: ReplyCallback) -> bool:
    """Send the acceptance to the client. Returns whether it was passed to the operating system in full."""
    try:
        return answer(ACCEPTED) is not False
    except Exception:  # a bug here must not leave the other clients of the turn unanswered
        log.exception("could not answer a client")
        return False


def aged(event: api.MessageAccepted, by_ms: float) -> api.MessageAccepted:
    """The event with its ages advanced by the time until the turn that passes it to the module. At a start
    with many messages this can be long, and windows would otherwise seem to last longer than they do."""
    ran_ago_ms = None if event.ran_ago_ms is None else event.ran_ago_ms + by_ms
    out = tuple(replace(lent, sent_ago_ms=lent.sent_ago_ms + by_ms) for lent in event.out)
    return replace(event, left_ms=max(event.left_ms - by_ms, 0.0), ran_ago_ms=ran_ago_ms, out=out)
