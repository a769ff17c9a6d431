"""Every decision of the delivery service; the types it takes and gives are in `interface.py`.

A message goes to its destination's best-scored endpoint and is retried there, then falls over to greedily
built plans of the remaining endpoints (Algorithm 1 of the rAFCL paper). Messages that cannot be sent yet are
held. An `Endpoint` has a score and a circuit breaker; a `Lane` (a destination, or a single route where routes
are separate) has the waits and the learned rate limit (its pace).
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Collection
from dataclasses import replace

import crowpier.interface as api
from crowpier import learned, slow_start
from crowpier.interface import AttemptEnded, Effect, Health, HealthReason, Outcome, Settings, State
from crowpier.lane import (
    DEFAULT_RATE_PER_S,
    INITIAL_PAUSE_MS,
    JITTER,
    MAX_BACKOFF_MS,
    RATE_WINDOW_MS,
    SERVED_WINDOW_MS,
    Lane,
)

# Endpoint selection
PRIOR_SCORE = 0.5  # score of an endpoint without history: success and failure are equally likely
SCORE_GAIN = 0.2  # weight of the newest outcome: about the last five calls count
SCORE_DECAY_MS = 30_000.0  # time constant with which an unused score returns to the prior
RETRIES_AT_FIRST_ENDPOINT = 2  # the paper's cloud default
TARGET_AVAILABILITY = 0.9  # joint availability of a plan: one healthy endpoint meets it alone
LOAD_PENALTY = 0.1  # of score, for each call in flight: ten calls weigh as much as certain failure
FEE_PENALTY = 2.0  # of score, for each point of fee: decides only between near equals
NEW_CONNECTION_PENALTY = 0.05  # of score, where a connection must be opened: decides only between equals
# Idle connections
KEEP_ALIVE_CUT = 0.5  # of the idle time after which a connection failed: the new limit on idle time
KEEP_ALIVE_CONNECT_FAILED = 0.4  # of the configured idle time: failed connects never cut below half of this
KEEP_ALIVE_MIN = 0.01  # of the configured idle time: never closed sooner
KEEP_ALIVE_DOUBLING_MS = 15_000.0  # a cut idle time doubles in this, up to the configured one
# Slots
DESTINATION_SLOT_SHARE = 0.75  # of all slots: what one destination may hold
UNHEALTHY_SLOT_SHARE = 0.5  # the same while it fails or is slow; also for all slow endpoints together
SLOW_FACTOR = 2.0  # a call is slow after this times its expected time
UNRESPONSIVE_FACTOR = 3.0  # after so many expected times without any answer nothing more is sent
# Call times
INITIAL_CALL_AIMS = 0.15  # of the class's aim: expected call time before one is measured
EXPECTED_GAIN = 0.02  # weight of the newest call in its class's expected time
LATENCY_GAIN = 0.2  # weight of the newest call in a destination's latency: it changes faster
MIN_LATENCY_FACTOR = 0.1  # lower bound where the factor is a divisor
TIMEOUT_EXPECTED_CALLS = 4.0  # time-out in expected call times, but at least the aims below
MIN_TIMEOUT_AIMS = {Effect.SAFE: 2.0, Effect.KEYED: 1.0, Effect.UNSAFE: 8.0}  # a time-out loses an unsafe one
STALE_CONNECTION_TIMEOUT_SHARE = 0.25  # of these aims, on an idle connection while such are known to fail
LOST_CALLS = 6.0  # after so many expected call times an overtaken call may be cancelled for others
MIN_LOST_AIMS = {Effect.SAFE: 0.5, Effect.KEYED: 0.5, Effect.UNSAFE: 1.0}  # cancelling loses an unsafe one
OVERTAKEN_CALLS = 2  # later calls delivered: the endpoint is not slow, this call's connection is dead
SHUTDOWN_MARGIN_CALLS = 4.0  # expected call times before the process ends: no unsafe message is sent then
RETRY_BACKOFF_CALLS = 0.25  # of an expected call time, before the first retry; doubled with each
# Batches
BATCHING_AIM_SHARE = 0.25  # of the shortest aim: the call interval below which batching calls gain nothing
# Circuit breaker
STRIKES_TO_TRIP = 4  # a failure is two strikes unless listed below
UNANSWERED_CONNECT_MS = 500.0  # a connect that fails later was unanswered, not refused: it counts in full
START_CHECK_MS = 100.0  # a connection that comes up so shortly before `start_by_ms` may be left unused too
# Less for failures that a limit or the network may have caused:
STRIKE_WEIGHTS = {Outcome.FULL: 1.0, Outcome.CONNECT_FAILED: 1.0, Outcome.RESET: 0.5}
BRIEF_OUTAGE_MS = 1_000.0  # outages last for seconds: what served so recently was not in one
EARLY_TRIAL_MS = 250.0  # first trial after a warm endpoint trips: the failures may have been chance
COLD_RATE_SHARE = 0.9  # of `fall_multiple` times the known rate: upper bound of what we send a cold lane
MAX_UNOBSERVED_MS = 8_000.0  # an outage is taken to end midway between failure and success, up to this apart
TRIAL_RATE_SHARE = 0.75  # of the cold rate: dispatchers that see the recovery send more in the same period
COLD_RATE_GROWTH_PER_S = 0.2  # exponent of e, for each second in which nothing fails
MAX_TRIAL_GAP_MS = 500.0  # times the dispatchers: longest interval between calls to a cold endpoint
# Held messages
URGENCY_SCALE_AIMS = 0.5  # of the aim: urgency grows e-fold as the slack shrinks by so much
OVERLOAD_URGENCY_SCALE = 8.0  # of the time that the backlog takes past the aim, under an outside allowance
ALLOWANCE_LEAD_MS = 3_000.0  # how far a tenant may be ahead of its allowance
SHED_THRESHOLD = 0.9  # of `max_held`: beyond this the message of least worth is shed
RESUBSCRIBE_MS = 1_000.0  # backoff before a failed directory is asked again, doubled up to the maximum
MAX_RESUBSCRIBE_MS = 8_000.0


class Endpoint:
    """One address of a destination: its score, its calls in flight and its circuit breaker."""

    def __init__(self, entry: api.Entry, lane: Lane, destination: Destination) -> None:
        self.name, self.kind, self.zone = entry.endpoint, entry.kind, entry.zone
        self.state, self.lane, self.destination = State.READY, lane, destination
        self.score, self.scored_at = PRIOR_SCORE, 0.0
        self.calls: dict[int, Call] = {}
        self.idle: list[float] = []
        self.strikes, self.last_strike_at = 0, -math.inf
        self.warm, self.warm_at = 1.0, 0.0
        self.tripped, self.next_call_at, self.answered_at = False, -math.inf, -math.inf
        self.tripped_at = -math.inf  # latest
        self.failed_at = -math.inf  # latest failure of any kind
        self.cold = False  # from tripping until warm again
        self.served_at, self.at_fault = -math.inf, False  # at_fault: it failed since, by its own doing
        self.detached = False  # by operators
        self.connected_late = False  # too late to be used: the next trial has no start limit
        self.calls_since_warm = self.messages_since_warm = self.largest_call = 0  # for the log

    @property
    def health(self) -> Health:
        if self.tripped:
            return Health.TRIPPED
        return Health.SLOW_START if self.cold else Health.WARM

    @property
    def ready(self) -> bool:
        return self.state is State.READY and not self.detached

    def score_at(self, now: float) -> float:
        return PRIOR_SCORE + (self.score - PRIOR_SCORE) * math.exp((self.scored_at - now) / SCORE_DECAY_MS)

    def update_score(self, now: float, success: bool) -> None:
        """Adds an outcome to the decayed success share."""
        old = self.score_at(now)
        self.score, self.scored_at = old + SCORE_GAIN * (success - old), now


class Call:
    """One call in flight: a message, or several together where the destination kind takes batches."""

    def __init__(
        self, number: int, endpoint: Endpoint, message: Message, now: float, expected_ms: float
    ) -> None:
        self.number, self.endpoint, self.sent_at = number, endpoint, now
        self.destination = message.destination
        self.expected_ms, self.cls, self.pending, self.recorded = expected_ms, message.cls.name, 0, False
        self.attempts: list[tuple[Message, int]] = []  # each message with its attempt number
        self.start_by = math.inf  # latest use of its connection
        self.lost_at, self.abandoned, self.overtaken = -math.inf, False, 0  # by later calls
        # How long its connection had been idle before the call.
        self.idle_ms = now - endpoint.idle.pop() if endpoint.idle else 0.0

    def add(self, message: Message, number: int) -> None:
        """Adds the message's attempt `number` to this call."""
        message.in_flight += 1
        self.pending += 1
        self.attempts.append((message, number))
        lost = max(LOST_CALLS * self.expected_ms, MIN_LOST_AIMS[message.cls.effect] * message.cls.aim_ms)
        self.lost_at = max(self.lost_at, self.sent_at + lost)


class Message:
    """An accepted message that has no final answer yet, or still has attempts in flight."""

    def __init__(
        self, event: api.MessageAccepted, terms: api.Terms, destination: Destination, now: float
    ) -> None:
        cls = terms.cls
        self.id, self.cls, self.destination, self.max_attempts = (
            event.message,
            cls,
            destination,
            terms.max_attempts,
        )
        self.key = event.key if cls.in_order else 0
        self.worth, self.untried = cls.worth, event.untried
        self.deadline = now + event.left_ms
        self.accepted_at = self.deadline - cls.deadline_ms
        self.attempts: list[Call | None] = []
        self.in_flight = self.retry_count = 0
        self.ran_at, self.ran_zone = math.inf, -1  # of the first attempt that may have been executed
        self.first_endpoint: Endpoint | None = None
        self.retries_left = RETRIES_AT_FIRST_ENDPOINT
        self.plans: list[list[Endpoint]] | None = None
        self.not_before = -math.inf
        self.closed = False

    @property
    def inherited_untried(self) -> bool:
        """Accepted by an earlier process and never attempted since."""
        return self.untried and not self.attempts

    @property
    def window_ends(self) -> float:
        """From then on the key no longer keeps a repeat from being executed twice."""
        return self.ran_at + self.cls.window_ms if self.cls.effect is Effect.KEYED else math.inf

    def start_over(self) -> None:
        self.first_endpoint, self.plans, self.retries_left = None, None, RETRIES_AT_FIRST_ENDPOINT


class Destination:
    """A partner: its endpoints, the messages held for it and its calls in flight."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.endpoints: list[Endpoint] = []
        self.held: dict[int, Message] = {}
        self.unsent: dict[int, Message] = {}  # those held that this process accepted, never attempted
        self.calls: dict[int, Call] = {}
        self.latency_factor = 1.0  # its call time over that of the class
        self.backlog = 0.0  # ms to send what is held at the allowed rate; 0 without an allowance

    def hold(self, message: Message) -> None:
        self.held[message.id] = message
        if not message.attempts and not message.inherited_untried:
            self.unsent[message.id] = message

    def release(self, message: Message) -> None:
        self.held.pop(message.id, None)
        self.unsent.pop(message.id, None)

    def update_backlog(self, now: float, kinds: list[api.Kind]) -> None:
        """A backlog past the aim makes most messages late or refused: urgency then favours what is worth most
        now, since the others would not be sent in time anyway."""
        batches = {endpoint.lane: kinds[endpoint.kind].batch for endpoint in self.endpoints}
        rate = 0.0
        for lane, batch in batches.items():
            if now >= lane.allowed_until or not lane.allowed_gap:
                rate = math.inf
                break
            rate += batch / lane.allowed_gap
        self.backlog = len(self.held) / rate if rate else 0.0


class Destinations(dict[int, Destination]):
    """Destinations by their numbers, created where one is missing."""

    def __missing__(self, number: int) -> Destination:
        destination = self[number] = Destination(number)
        return destination


def trip_reason(long_wait: bool, unanswered: bool) -> HealthReason:
    if long_wait:
        return HealthReason.TOLD_WAIT
    return HealthReason.UNANSWERED if unanswered else HealthReason.FAILURES


class KeyQueue:
    """The messages that share an ordering key, in the order in which they were accepted."""

    def __init__(self) -> None:
        self.messages: deque[Message] = deque()
        self.paused_until = -math.inf


class Dispatcher:
    """Decides for one dispatcher: `handle` takes each batch of events and returns the actions to take."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = -math.inf
        self.actions: list[api.Action] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.lanes: dict[object, Lane] = {}
        self.destinations = Destinations()
        self.messages: dict[int, Message] = {}
        self.key_queues: dict[int, KeyQueue] = {}
        self.quotas = [-math.inf] * len(settings.tenants)
        self.detached: set[str] = set()  # endpoints taken out by operators, whether listed or not
        self.reattached: set[str] = set()  # endpoints attached again while not listed
        self.unlisted_cold: dict[str, float] = {}  # restored before they were listed: calls per second
        self.expiries: list[tuple[float, int]] = []
        self.expected_ms: dict[str, float] = {}  # by class: expected call time
        self.add_classes(settings.classes)
        self.slots_in_use = self.calls_made = 0
        self.slow_endpoints: set[Endpoint] = set()  # as of the latest `dispatch`
        self.adopted_calls: dict[int, Call] = {}  # by the earlier process's call id, within one batch
        self.timer_at = self.shutdown_at = math.inf
        self.idle_queue: deque[tuple[float, Endpoint]] = deque()  # connections, in the order of becoming idle
        self.idle_limit, self.idle_limit_at = settings.conn_idle_ms, 0.0
        self.urgency_order: dict[Destination, tuple[float, dict[int, Message]]] = {}  # see `by_urgency`
        self.proven_idle_ms, self.proven_idle_at = 0.0, -math.inf  # longest recent idle time without harm
        self.list_requests, self.list_request_at = 0, -math.inf if settings.subscribes else math.inf

    def handle(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        """Applies a batch of events in order, returns the actions to take. `now_ms` must not decrease."""
        if now_ms < self.now:
            raise ValueError(f"time runs backwards: {now_ms} after {self.now}; pass batches in order of time")
        self.now, self.actions = now_ms, []
        for event in events:
            try:
                self.handle_event(event)
            except ValueError as error:  # the rest of the batch still applies
                self.actions.append(api.Log(f"left out: {error}"))
        self.adopted_calls.clear()
        self.request_list()
        self.expire_overdue()
        self.close_idle()
        if self.settings.may_cancel:
            self.cancel_lost_calls()
        self.dispatch()
        self.set_timer()
        return self.actions

    def handle_event(self, event: api.Event) -> None:
        if isinstance(event, AttemptEnded):
            self.end_attempt(event)
        elif isinstance(event, api.MessageAccepted):
            self.accept(event)
        elif isinstance(event, api.EndpointListReceived):
            self.update_list(event)
        elif isinstance(event, api.Withdrawn) and event.message in self.messages:
            self.close(self.messages[event.message])
        elif isinstance(event, api.TimerFired):
            self.timer_at = math.inf  # a rounding clock may fire slightly early
        elif isinstance(event, api.IdleConnectionClosed) and event.endpoint in self.endpoints:
            del self.endpoints[event.endpoint].idle[:1]
        elif isinstance(event, api.ColdStateRestored) and event.endpoint in self.endpoints:
            self.restore_cold_state(self.endpoints[event.endpoint], event.pace_per_s)
        elif isinstance(event, api.ColdStateRestored):
            self.unlisted_cold[event.endpoint] = event.pace_per_s
        elif isinstance(event, api.ShutdownScheduled):
            self.shutdown_at = self.now + event.in_ms
        elif isinstance(event, api.SendAllowance) and event.lane in self.lanes:
            self.apply_allowance(self.lanes[event.lane], event)
        elif isinstance(event, api.Detached):
            self.detach(event.endpoint)
        elif isinstance(event, api.Attached):
            self.attach(event.endpoint)
        elif isinstance(event, api.Reconfigured):
            self.reconfigure(event.settings)
        elif isinstance(event, api.LearnedStateRestored):
            learned.restore(self, dict(event.state), event.ahead_ms)

    # New settings

    def add_classes(self, classes: tuple[api.MessageClass, ...]) -> None:
        for cls in classes:
            self.expected_ms.setdefault(cls.name, INITIAL_CALL_AIMS * cls.aim_ms)

    def reconfigure(self, settings: Settings) -> None:
        """Messages keep the terms of their acceptance; a removed class goes with its last message."""
        self.settings = settings
        held = {message.cls.name for message in self.messages.values()}
        names = held | {cls.name for cls in settings.classes}
        self.expected_ms = {name: ms for name, ms in self.expected_ms.items() if name in names}
        self.add_classes(settings.classes)
        self.quotas = (self.quotas + [-math.inf] * len(settings.tenants))[: len(settings.tenants)]
        for destination in self.destinations.values():
            self.divide_useful_rate(destination)

    # Maintenance: operators detach endpoints, so that nothing is sent to one that is being restarted. It
    # comes back as from an outage, since it starts cold, but without a bad score.

    def detach(self, name: str) -> None:
        self.detached.add(name)
        self.reattached.discard(name)
        if endpoint := self.endpoints.get(name):
            endpoint.detached = True
            endpoint.idle.clear()
            self.actions.append(api.CloseIdleConnections(name))

    def attach(self, name: str) -> None:
        if name not in self.detached:
            return
        self.detached.discard(name)
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            self.reattached.add(name)
            return
        endpoint.detached = False
        self.mark_restarted(endpoint)

    def mark_restarted(self, endpoint: Endpoint, reason: HealthReason = HealthReason.RESTARTED) -> None:
        endpoint.strikes, endpoint.score, endpoint.served_at = 0, max(endpoint.score, PRIOR_SCORE), -math.inf
        rate = endpoint.lane.served_per_s()
        self.restore_cold_state(endpoint, rate, reason)
        self.actions.append(api.RecordColdState(endpoint.name, True, rate))

    def count_unavailable(self) -> int:
        """The number of listed endpoints that are detached or tripped."""
        listed = (e for e in self.endpoints.values() if e.state is not State.GONE)
        return sum(1 for endpoint in listed if endpoint.detached or endpoint.tripped)

    # The list of endpoints

    def request_list(self) -> None:
        if self.now >= self.list_request_at:
            self.list_requests, self.list_request_at = self.list_requests + 1, math.inf
            self.actions.append(api.Subscribe())

    def update_list(self, update: api.EndpointListReceived) -> None:
        if update.kind is api.ListKind.FAILED:
            # Asked again with exponential backoff and jitter, since otherwise the list goes stale.
            backoff_ms = min(RESUBSCRIBE_MS * 2.0 ** min(self.list_requests, 8) / 2.0, MAX_RESUBSCRIBE_MS)
            self.list_request_at = self.now + backoff_ms * self.random.uniform(*JITTER)
            return
        if update.kind is not api.ListKind.CACHED:
            self.list_requests = 0
        if update.kind is not api.ListKind.DELTA:
            named = {entry.endpoint for entry in update.entries}
            for endpoint in self.endpoints.values():
                if endpoint.name not in named:
                    endpoint.state = State.GONE
        for entry in update.entries:
            try:
                self.upsert_endpoint(entry)
            except ValueError as error:
                self.actions.append(api.Log(f"left out: {error}"))
        if update.kind is api.ListKind.FULL:
            self.unlisted_cold.clear()
        self.remove_gone()

    def remove_gone(self) -> None:
        """Bounds memory where endpoints come and go; a lane stays for a while, with its limits."""
        for endpoint in [e for e in self.endpoints.values() if e.state is State.GONE]:
            self.remove_endpoint(endpoint)
        for key, lane in list(self.lanes.items()):
            if not lane.endpoints and max(lane.wait_until, lane.sent_rate.at + SERVED_WINDOW_MS) <= self.now:
                del self.lanes[key]
        for number, destination in list(self.destinations.items()):
            if not (destination.endpoints or destination.held or destination.calls or number in self.lanes):
                del self.destinations[number]

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        if endpoint.calls or self.endpoints.get(endpoint.name) is not endpoint:
            return
        del self.endpoints[endpoint.name]
        endpoint.lane.left_cold = endpoint.lane.is_cold
        endpoint.lane.endpoints.remove(endpoint)
        endpoint.destination.endpoints.remove(endpoint)
        endpoint.idle.clear()
        self.divide_useful_rate(endpoint.destination)

    def divide_useful_rate(self, destination: Destination) -> None:
        """Divides among the lanes the call rate beyond which calls would only carry smaller batches."""
        lanes = {e.lane for e in destination.endpoints if self.settings.kinds[e.kind].batch > 1}
        gap = BATCHING_AIM_SHARE * min(cls.aim_ms for cls in self.settings.classes)
        for lane in lanes:
            lane.useful_rate = max(
                1000.0 / (gap * len(lanes)), DEFAULT_RATE_PER_S / self.settings.dispatchers
            )

    def upsert_endpoint(self, entry: api.Entry) -> None:
        if entry.kind >= len(self.settings.kinds) or entry.zone >= len(self.settings.zones):
            raise ValueError(f"endpoint {entry.endpoint}: kind or zone is not in the settings")
        endpoint = self.endpoints.get(entry.endpoint)
        kind = self.settings.kinds[entry.kind]
        if endpoint is None:
            if entry.state is State.GONE:
                return
            lane = self.lanes.setdefault(entry.endpoint if kind.apart else entry.destination, Lane())
            destination = self.destinations[entry.destination]
            cold = lane.is_cold
            endpoint = self.endpoints[entry.endpoint] = Endpoint(entry, lane, destination)
            lane.endpoints.append(endpoint)
            destination.endpoints.append(endpoint)
            self.divide_useful_rate(destination)
            endpoint.detached = entry.endpoint in self.detached
            if entry.endpoint in self.reattached:
                self.reattached.discard(entry.endpoint)
                self.mark_restarted(endpoint)
            elif entry.endpoint in self.unlisted_cold:
                self.restore_cold_state(endpoint, self.unlisted_cold.pop(entry.endpoint))
            elif cold:
                self.mark_restarted(endpoint, HealthReason.IN_COLD_LANE)
        endpoint.state = entry.state
        if self.settings.advertised_rates and entry.rate_per_s > 0:
            lane = endpoint.lane
            if lane.advertised_rate == 0.0:  # the initial limit, then moved by refusals and time
                lane.pace, lane.cut_at = entry.rate_per_s, self.now
            lane.advertised_rate = entry.rate_per_s

    # Messages

    def accept(self, event: api.MessageAccepted) -> None:
        terms = event.terms
        if terms is None:
            if event.cls >= len(self.settings.classes):
                self.actions.append(api.Refuse(event.message))
                raise ValueError(f"message {event.message}: class {event.cls} is not in the settings")
            terms = api.Terms(self.settings.classes[event.cls], self.settings.max_attempts)
        self.add_classes((terms.cls,))
        destination = self.destinations[event.destination]
        message = Message(event, terms, destination, self.now)
        if self.over_share(event.tenant):
            message.worth *= self.settings.over_share_worth
        self.messages[event.message] = message
        if message.key:
            self.key_queue(message.key).messages.append(message)
        message.attempts += [None] * event.attempts
        if event.ran_ago_ms is not None:  # in an earlier process
            ran = self.endpoints.get(event.ran_endpoint)
            message.ran_at, message.ran_zone = self.now - event.ran_ago_ms, ran.zone if ran else -1
        if event.out:
            for inherited in event.out:
                self.adopt_attempt(message, inherited)
            return
        if event.attempts and not self.may_retry(message):
            self.give_up(message)
            return
        self.hold(message)
        if len(self.messages) > SHED_THRESHOLD * self.settings.max_held:
            self.shed()

    def adopt_attempt(self, message: Message, inherited: api.AttemptInProgress) -> None:
        """The earlier process's call holds a slot here, and its place in the key's queue, until it ends."""
        call = self.adopted_calls.get(inherited.call)
        if call is None:
            destination, endpoint = message.destination, self.endpoints.get(inherited.endpoint)
            if endpoint is None:  # no longer listed, but its call continues
                gone = api.Entry(inherited.endpoint, 0, state=State.GONE)
                endpoint = Endpoint(gone, Lane(), destination)
                endpoint.state = State.GONE
            self.calls_made += 1
            sent_at = self.now - inherited.sent_ago_ms
            call = Call(self.calls_made, endpoint, message, sent_at, self.expected_call_ms(message))
            self.adopted_calls[inherited.call] = call
            self.slots_in_use += 1
            destination.calls[call.number] = endpoint.calls[call.number] = call
        message.attempts += [None] * (inherited.attempt + 1 - len(message.attempts))
        message.attempts[inherited.attempt] = call
        message.first_endpoint = message.first_endpoint or call.endpoint
        call.add(message, inherited.attempt)

    def over_share(self, tenant: int) -> bool:
        """Messages past our share of the tenant's allowance lose worth: a flood must not harm others."""
        if tenant >= len(self.quotas) or self.settings.tenants[tenant].allowance_per_s <= 0:
            return False
        gap = 1000.0 * self.settings.dispatchers / self.settings.tenants[tenant].allowance_per_s
        ahead = max(self.quotas[tenant], self.now)
        over = ahead - self.now > ALLOWANCE_LEAD_MS
        self.quotas[tenant] = ahead if over else ahead + gap
        return over

    def shed(self) -> None:
        """Refuses the least worth untried message of the longest backlog: a full table would refuse any."""
        longest = max(self.destinations.values(), key=lambda d: len(d.held))
        if longest.unsent:
            unsent = longest.unsent.values()
            self.give_up(min(unsent, key=lambda m: (m.worth / m.cls.worth, self.urgency(m))))

    def key_queue(self, key: int) -> KeyQueue:
        if key not in self.key_queues:
            if len(self.key_queues) > 2 * self.settings.max_held:
                self.key_queues = {
                    k: q for k, q in self.key_queues.items() if q.messages or q.paused_until > self.now
                }
            self.key_queues[key] = KeyQueue()
        return self.key_queues[key]

    def hold(self, message: Message) -> None:
        message.destination.hold(message)
        heapq.heappush(self.expiries, (self.latest_start(message), message.id))

    def latest_start(self, message: Message) -> float:
        """Past this nothing is sent: an expected call would end too late, or a repeat could be executed
        twice. Messages accepted before a restart and never tried are sent until their deadline."""
        expected_ms = 0.0 if message.inherited_untried else self.expected_call_ms(message)
        return min(message.deadline - expected_ms, message.window_ends)

    def expected_call_ms(self, message: Message) -> float:
        return self.expected_ms[message.cls.name] * max(message.destination.latency_factor, 1.0)

    def expire_overdue(self) -> None:
        while self.expiries and self.expiries[0][0] <= self.now:
            message = self.messages.get(heapq.heappop(self.expiries)[1])
            if message is None or message.closed or message.id not in message.destination.held:
                continue
            if self.latest_start(message) > self.now:
                heapq.heappush(self.expiries, (self.latest_start(message), message.id))
            else:
                self.give_up(message)

    def give_up(self, message: Message) -> None:
        """Final answer: refused, hence safe to submit again, where nothing was sent; else failed."""
        if message.attempts:
            self.actions.append(api.Fail(message.id))
        else:
            self.actions.append(api.Refuse(message.id, self.client_wait_ms(message)))
        self.close(message)

    def client_wait_ms(self, message: Message) -> float:
        """Retry-after for the client: not before an endpoint is expected to be available."""
        ready = [e for e in message.destination.endpoints if e.ready]
        available_in = min((self.available_at(message, e) for e in ready), default=math.inf) - self.now
        return max(INITIAL_PAUSE_MS, min(available_in, MAX_BACKOFF_MS, self.settings.max_retry_after_ms))

    def close(self, message: Message) -> None:
        """Ends the message; its attempts in flight are cancelled and their outcomes awaited."""
        message.destination.release(message)
        if not message.closed and self.settings.may_cancel:
            for number, call in enumerate(message.attempts):
                if call is not None:
                    self.actions.append(api.Cancel(message.id, number))
        message.closed = True
        self.discard_if_done(message)

    def discard_if_done(self, message: Message) -> None:
        if message.closed and not message.in_flight and self.messages.pop(message.id, None) and message.key:
            self.key_queues[message.key].messages.remove(message)

    # Outcomes

    def end_attempt(self, event: AttemptEnded) -> None:
        message = self.messages.get(event.message)
        call = message.attempts[event.attempt] if message and event.attempt < len(message.attempts) else None
        if call is None:
            return
        message.attempts[event.attempt] = None
        message.in_flight -= 1
        if call.abandoned and event.outcome is Outcome.CANCELLED:
            event = replace(event, outcome=Outcome.TIMEOUT)  # it was cancelled as lost
        if event.outcome is Outcome.NOT_EXECUTED and self.now >= call.start_by - START_CHECK_MS:
            call.endpoint.connected_late = True
            event = replace(event, outcome=Outcome.CONNECT_FAILED)
        self.finish_attempt(call, event)
        self.spread_behind_wait(call.endpoint.lane)
        if not event.outcome.never_ran and call.sent_at < message.ran_at:
            message.ran_at, message.ran_zone = call.sent_at, call.endpoint.zone
        if message.key and event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            self.key_queues[message.key].paused_until = self.now + self.settings.order_settle_ms
        if message.closed:
            self.discard_if_done(message)
        elif event.finished:
            self.close(message)
        elif not message.in_flight:
            self.schedule_retry(message, call, event.outcome)

    def finish_attempt(self, call: Call, event: AttemptEnded) -> None:
        """Frees the slot once all attempts of the call have ended; each call is learned from once."""
        call.pending -= 1
        if not call.pending:
            self.slots_in_use -= 1
            del call.destination.calls[call.number], call.endpoint.calls[call.number]
            self.track_connection(call, event)
            if call.endpoint.state is State.GONE:
                self.remove_endpoint(call.endpoint)
        # Each message of a call may bring its own wait.
        call.endpoint.lane.respect_wait(self.now, event.wait_ms)
        if call.recorded or event.outcome in (Outcome.NOT_EXECUTED, Outcome.CANCELLED):
            return
        call.recorded = True
        if event.outcome is Outcome.CONNECT_FAILED and not call.endpoint.strikes:
            self.shorten_keep_alive(
                max(self.idle_limit_ms(), KEEP_ALIVE_CONNECT_FAILED * self.settings.conn_idle_ms)
            )
        elif (
            call.idle_ms
            and event.outcome in (Outcome.RESET, Outcome.TIMEOUT)
            and not self.idle_time_proven(call)
        ):
            self.shorten_keep_alive(call.idle_ms)
            return
        self.record_outcome(call.endpoint, event.outcome, call.sent_at, event.wait_ms)
        if event.outcome is Outcome.OK:
            self.update_estimates(call, event.took_ms)
            for other in call.endpoint.calls.values():
                other.overtaken += other.sent_at < call.sent_at

    def track_connection(self, call: Call, event: AttemptEnded) -> None:
        """Tracks idle connections, as reported or else as the outcome implies."""
        if event.idled_ms is not None:
            if call.idle_ms and not event.idled_ms:
                call.endpoint.idle.clear()  # the call opened a new one, so no idle one was left
            call.idle_ms = event.idled_ms
        kept = (
            event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL) if event.kept is None else event.kept
        )
        if kept:
            call.endpoint.idle.append(self.now)
            self.idle_queue.append((self.now, call.endpoint))

    # Idle connections are kept only for as long as they are known to last: a message may be lost on one that
    # was dropped silently (which says nothing about the endpoint), and connects fail where connection tables
    # are full of idle ones. Drawback: an outage taken for either costs more handshakes.

    def idle_limit_ms(self) -> float:
        grown = self.idle_limit * 2.0 ** min((self.now - self.idle_limit_at) / KEEP_ALIVE_DOUBLING_MS, 64.0)
        return min(grown, self.settings.conn_idle_ms)

    def idle_time_proven(self, call: Call) -> bool:
        """A recent call was answered on a connection idle as long, so idling is not the cause."""
        return self.proven_idle_ms >= call.idle_ms and self.proven_idle_at >= call.sent_at - RATE_WINDOW_MS

    def shorten_keep_alive(self, idle_ms: float) -> None:
        self.idle_limit = max(
            min(self.idle_limit_ms(), KEEP_ALIVE_CUT * idle_ms), KEEP_ALIVE_MIN * self.settings.conn_idle_ms
        )
        self.idle_limit_at = self.now

    def close_idle(self) -> None:
        oldest = self.now - self.idle_limit_ms()
        while self.idle_queue and self.idle_queue[0][0] <= oldest:
            endpoint = self.idle_queue.popleft()[1]
            if endpoint.idle and endpoint.idle[0] <= oldest:
                endpoint.idle.clear()
                self.actions.append(api.CloseIdleConnections(endpoint.name))

    def update_estimates(self, call: Call, took_ms: float) -> None:
        if call.idle_ms >= self.proven_idle_ms or self.now - self.proven_idle_at > RATE_WINDOW_MS:
            self.proven_idle_ms, self.proven_idle_at = call.idle_ms, self.now
        if call.cls not in self.expected_ms:  # the class was removed and its last message withdrawn
            return
        ratio = took_ms / self.expected_ms[call.cls]
        destination = call.destination
        destination.latency_factor += LATENCY_GAIN * (ratio - destination.latency_factor)
        expected = took_ms / max(destination.latency_factor, MIN_LATENCY_FACTOR)
        self.expected_ms[call.cls] += EXPECTED_GAIN * (expected - self.expected_ms[call.cls])

    def record_outcome(self, endpoint: Endpoint, outcome: Outcome, sent_at: float, wait_ms: float) -> None:
        """Updates the endpoint's score and breaker, and its lane's rate limit."""
        success = outcome is Outcome.OK
        endpoint.update_score(self.now, success)
        if outcome is not Outcome.CONNECT_FAILED and outcome is not Outcome.TIMEOUT:
            endpoint.answered_at = endpoint.lane.answered_at = self.now
        if success and endpoint.tripped and sent_at < endpoint.tripped_at:
            return  # served from before the outage: it does not tell that the endpoint is back
        if success:
            endpoint.strikes, endpoint.lane.strikes = 0, 0.0
            self.close_breaker(endpoint)
            endpoint.connected_late = False
            endpoint.served_at = endpoint.lane.served_at = self.now
            endpoint.at_fault = False
            endpoint.lane.note_served(self.now, endpoint.cold)
            return
        endpoint.failed_at = self.now
        long_wait = wait_ms > self.settings.fall_ms
        endpoint.at_fault |= long_wait or outcome in (Outcome.ERROR, Outcome.TIMEOUT)
        if outcome is Outcome.FULL:
            endpoint.lane.note_refusal(self.now, sent_at, wait_ms, self.random, self.settings.dispatchers)
        unanswered = outcome is Outcome.CONNECT_FAILED and self.now - sent_at > UNANSWERED_CONNECT_MS
        if sent_at >= endpoint.last_strike_at:
            strikes = 2.0 if unanswered else STRIKE_WEIGHTS.get(outcome, 2.0)
            endpoint.strikes += strikes
            if not endpoint.tripped and outcome is not Outcome.FULL:
                # At most one strike where the cause may be elsewhere.
                endpoint.lane.strikes += 2.0 if unanswered else min(strikes, 1.0)
            if unanswered:
                endpoint.lane.connect_unanswered_at = self.now
            endpoint.last_strike_at = self.now
        failing = endpoint.score < PRIOR_SCORE and endpoint.strikes > 2  # one refusal is no outage
        unanswered = unanswered and endpoint.answered_at < sent_at
        if endpoint.tripped or endpoint.strikes >= STRIKES_TO_TRIP or failing or long_wait or unanswered:
            self.trip(endpoint, sent_at, trip_reason(long_wait, unanswered))
        self.trip_siblings(endpoint, sent_at, unanswered)
        if long_wait:
            self.trip_lane(endpoint.lane, sent_at)

    # Circuit breaker: opens on failures of any kind, permits one call at a time while half-open, then ramps
    # up. A destination that recovers cold must not be overloaded, and one that is down or silent must get
    # nothing. Drawback: chance failures trip it too. Where these were the network's and it serves again at
    # once, there is no ramp, which is wrong if it restarted within that time.

    def trip(self, endpoint: Endpoint, sent_at: float, reason: HealthReason, early: bool = True) -> None:
        if endpoint.tripped and sent_at < endpoint.next_call_at:
            return
        reason = HealthReason.FAILED_TRIAL if endpoint.tripped else reason
        self.open_breaker(endpoint, early)
        self.report_health(endpoint, reason)

    def open_breaker(self, endpoint: Endpoint, early: bool) -> None:
        gap = math.inf
        if not endpoint.cold:
            endpoint.cold, gap = True, EARLY_TRIAL_MS
            self.actions.append(api.RecordColdState(endpoint.name, True, endpoint.lane.served_per_s()))
        endpoint.tripped, endpoint.tripped_at = True, self.now
        if gap < math.inf and (not early or self.connects_unanswered(endpoint.lane)):  # no chance failure
            endpoint.next_call_at = self.now + self.cold_gap_ms(endpoint) * self.random.random()
            return
        gap = min(self.cold_gap_ms(endpoint), gap)
        endpoint.next_call_at = self.now + gap * self.random.uniform(*JITTER)

    def apply_allowance(self, lane: Lane, allowance: api.SendAllowance) -> None:
        """A long wait that another dispatcher was told holds here like our own."""
        lane.apply_allowance(self.now, allowance)
        if allowance.wait_ms > self.settings.fall_ms:
            self.trip_lane(lane, self.now)
        self.spread_behind_wait(lane)

    def spread_behind_wait(self, lane: Lane) -> None:
        """All dispatchers are told the same end of a wait, so calls to cold endpoints that it has held back
        are spread behind it. A single dispatcher need not wait, and few wait less."""
        if lane.wait_until <= self.now:
            return
        for endpoint in lane.endpoints:
            if endpoint.cold and endpoint.next_call_at < lane.wait_until:
                spread = self.cold_gap_ms(endpoint) * (1.0 - 1.0 / self.settings.dispatchers)
                endpoint.next_call_at = lane.wait_until + self.random.random() * spread

    def trip_siblings(self, endpoint: Endpoint, sent_at: float, unanswered: bool) -> None:
        """A dispatcher that sends little sees an outage of a whole lane as a failure or two per endpoint. So
        endpoints that failed since any of the lane served trip together, as do, after an unanswered connect,
        those of its zone without an answer since. Drawback: an endpoint that survived may trip too."""
        lane = endpoint.lane
        for other in lane.endpoints:
            quiet = unanswered and other.zone == endpoint.zone and other.answered_at < sent_at
            failing = lane.strikes > 2 and other.score_at(self.now) < PRIOR_SCORE
            if other.tripped or not (quiet or other.last_strike_at > lane.served_at):
                continue
            if lane.strikes >= STRIKES_TO_TRIP or failing:
                self.trip(other, sent_at, HealthReason.SIBLING, early=False)

    def trip_lane(self, lane: Lane, sent_at: float) -> None:
        """A told wait holds for the whole lane, and nothing is learned of its other endpoints until its end:
        none of them may be called as if it were warm then."""
        for endpoint in lane.endpoints:
            endpoint.at_fault = True
            if not endpoint.tripped:
                self.trip(endpoint, sent_at, HealthReason.SIBLING, early=False)

    def restore_cold_state(
        self, endpoint: Endpoint, rate: float, reason: HealthReason = HealthReason.RESTORED
    ) -> None:
        """An endpoint that was cold before a restart of this process is not treated as healthy after it."""
        served = endpoint.lane.served_rate
        served.count, served.at, served.since = rate * SERVED_WINDOW_MS / 1000.0, self.now, -math.inf
        endpoint.cold = endpoint.tripped = True
        endpoint.failed_at = endpoint.tripped_at = self.now
        # Many dispatchers may restart together, even as the endpoint recovers: first trials are spread to the
        # trial rate of an outage. A single dispatcher need not wait, and few wait less.
        spread = self.cold_gap_ms(endpoint) * (1.0 - 1.0 / self.settings.dispatchers)
        endpoint.warm, endpoint.next_call_at = (
            self.settings.cold_from,
            self.now + self.random.random() * spread,
        )
        self.report_health(endpoint, reason)

    def close_breaker(self, endpoint: Endpoint) -> None:
        if endpoint.tripped:
            # It recovered at an unknown time since it was last known to be out, on average in the middle.
            # Destinations that tell a wait are out until its end.
            out_until = max(endpoint.failed_at, endpoint.tripped_at, min(endpoint.lane.wait_until, self.now))
            unobserved = min(self.now - out_until, MAX_UNOBSERVED_MS) / 2.0
            endpoint.tripped, endpoint.strikes, endpoint.score = False, 0, max(endpoint.score, PRIOR_SCORE)
            if endpoint.at_fault or self.now - endpoint.served_at > BRIEF_OUTAGE_MS:
                endpoint.warm, endpoint.warm_at = self.settings.cold_from, self.now - unobserved
                endpoint.next_call_at = self.now + self.cold_gap_ms(endpoint)
                self.report_health(endpoint, HealthReason.SERVED)
            elif endpoint.warm == 1.0:
                self.mark_warm(endpoint, HealthReason.BRIEF)

    def warm_share(self, endpoint: Endpoint) -> float:
        """The share of its capacity that a recovered endpoint has regained by now."""
        if endpoint.tripped:
            return self.settings.cold_from
        if endpoint.warm == 1.0:
            return 1.0
        grown = (1.0 - self.settings.cold_from) * (self.now - endpoint.warm_at)
        warm = min(endpoint.warm + grown / max(self.settings.warm_within_ms, 1.0), 1.0)
        if warm == 1.0:
            self.mark_warm(endpoint)
        return warm

    def mark_warm(self, endpoint: Endpoint, reason: HealthReason = HealthReason.WARMED_UP) -> None:
        endpoint.warm, endpoint.cold, endpoint.lane.left_cold = 1.0, False, False
        self.actions.append(api.RecordColdState(endpoint.name, False))
        self.report_health(endpoint, reason)
        endpoint.calls_since_warm = endpoint.messages_since_warm = endpoint.largest_call = 0

    def report_health(self, endpoint: Endpoint, reason: HealthReason) -> None:
        pace_per_s = endpoint.lane.pace_at(self.now)
        if endpoint.cold:
            pace_per_s = min(pace_per_s, 1000.0 / self.cold_gap_ms(endpoint))
        self.actions.append(
            api.HealthChanged(
                endpoint.name,
                endpoint.destination.number,
                endpoint.health,
                reason,
                pace_per_s,
                max(endpoint.lane.wait_until - self.now, 0.0),
                endpoint.calls_since_warm,
                endpoint.messages_since_warm,
                endpoint.largest_call,
            )
        )

    def count_in_slow_start(self) -> int:
        """The number of listed endpoints that are tripped, or have recovered and are not yet warm."""
        return sum(1 for endpoint in self.endpoints.values() if endpoint.cold)

    def cold_gap_ms(self, endpoint: Endpoint) -> float:
        """Ms between calls to a cold endpoint, from our share of its capacity, advertised or observed."""
        lane = endpoint.lane
        rate = max(lane.served_per_s(), lane.advertised_rate / self.settings.dispatchers)
        shared = sum(1 for other in lane.endpoints if other.ready) or 1
        rate *= COLD_RATE_SHARE * self.settings.fall_multiple * self.warm_share(endpoint) / shared
        if not endpoint.tripped:  # past demand need not have been its full capacity
            quiet = self.now - max(endpoint.warm_at, endpoint.failed_at)
            rate *= math.exp(COLD_RATE_GROWTH_PER_S * quiet / 1000.0)
        gap = min(1000.0 / max(rate, 1e-9), MAX_TRIAL_GAP_MS * self.settings.dispatchers * shared)
        return max(gap / TRIAL_RATE_SHARE, INITIAL_PAUSE_MS) if endpoint.tripped else gap

    # Retries and failover

    def schedule_retry(self, message: Message, call: Call, outcome: Outcome) -> None:
        """After a failed attempt: quick failures are retried at the first endpoint, others move to a plan."""
        if not self.may_retry(message):
            self.give_up(message)
            return
        if (
            outcome in (Outcome.ERROR, Outcome.RESET)
            and call.endpoint is message.first_endpoint
            and message.retries_left
        ):
            message.retries_left -= 1
        elif outcome is not Outcome.NOT_EXECUTED:
            message.retries_left = 0
            if message.plans is None:
                message.plans = self.plan(message)
        message.retry_count += 1
        backoff_ms = RETRY_BACKOFF_CALLS * self.expected_call_ms(message) * 2.0 ** (message.retry_count - 1)
        message.not_before = (
            self.now + min(backoff_ms, MAX_BACKOFF_MS) if outcome is not Outcome.FULL else self.now
        )
        self.hold(message)

    def may_retry(self, message: Message) -> bool:
        if len(message.attempts) >= message.max_attempts or self.now >= self.latest_start(message):
            return False
        return message.ran_at == math.inf or message.cls.effect is not Effect.UNSAFE

    def is_permitted(self, message: Message, endpoint: Endpoint) -> bool:
        """Draining endpoints get nothing new; a keyed repeat stays in the group that recognises its key."""
        keyed = message.cls.effect is Effect.KEYED and message.cls.group is not api.Group.ALL
        bound = keyed and message.ran_at < math.inf
        return endpoint.ready and (not bound or endpoint.zone == message.ran_zone)

    def rank(self, endpoint: Endpoint) -> float:
        """The score minus penalties for calls in flight, fee, a new connection, and the planner's penalty."""
        fees = self.settings.zone_fees
        fee = fees[endpoint.zone] if fees and self.settings.kinds[endpoint.kind].apart else 0.0
        return (
            endpoint.score_at(self.now)
            - LOAD_PENALTY * len(endpoint.calls)
            - FEE_PENALTY * fee
            - (0.0 if endpoint.idle else NEW_CONNECTION_PENALTY)
            - (endpoint.lane.score_penalty if self.now < endpoint.lane.allowed_until else 0.0)
        )

    def ranked(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        return sorted(endpoints, key=self.rank, reverse=True)

    def plan(self, message: Message) -> list[list[Endpoint]]:
        """Algorithm 1 over the endpoints other than the first; a remainder makes up the last plan."""
        rest = self.ranked(
            [e for e in message.destination.endpoints if e is not message.first_endpoint and e.ready]
        )
        plans, members, unavailability, min_members = [], [], 1.0, 1
        for endpoint in rest:
            members.append(endpoint)
            unavailability *= 1.0 - endpoint.score_at(self.now)
            if len(members) >= min_members and 1.0 - unavailability >= TARGET_AVAILABILITY:
                plans.append(members)
                min_members, members, unavailability = len(members), [], 1.0
        return plans + [members] if members else plans

    def targets(self, message: Message) -> list[Endpoint]:
        """The endpoints to send to next; empty while the message must be held."""
        if message.plans is None:
            if message.first_endpoint is None or not self.is_permitted(message, message.first_endpoint):
                usable = [e for e in message.destination.endpoints if self.usable(message, e)]
                return self.ranked(usable)[:1]
            if self.usable(message, message.first_endpoint):
                return [message.first_endpoint]
            message.plans = self.plan(message)
        while message.plans:
            members = [e for e in message.plans[0] if self.usable(message, e)]
            if members:
                return members if self.sends_copies(message) else members[:1]
            if any(self.is_permitted(message, e) and not e.tripped for e in message.plans[0]):
                break
            message.plans.pop(0)
        if not message.plans:
            message.start_over()
        usable = [e for e in message.destination.endpoints if self.usable(message, e)]
        return self.ranked(usable)[:1]

    def sends_copies(self, message: Message) -> bool:
        return self.settings.second_copies and message.cls.effect is Effect.SAFE and not message.key

    def usable(self, message: Message, endpoint: Endpoint) -> bool:
        return self.is_permitted(message, endpoint) and self.available_at(message, endpoint) <= self.now

    def available_at(self, message: Message, endpoint: Endpoint) -> float:
        """When waits, rate limit and breaker permit a call; infinite if that depends on an outcome."""
        at = endpoint.lane.available_at(self.now)
        if endpoint.tripped:
            at = max(at, self.calls_lost_at(endpoint))
            unsafe = message.cls.effect is Effect.UNSAFE  # a trial may lose it, so others go first
            return max(at, endpoint.next_call_at + (self.cold_gap_ms(endpoint) if unsafe else 0.0))
        if endpoint.warm < 1.0:
            at = max(at, endpoint.next_call_at)
        if self.unresponsive(endpoint) or self.connects_unanswered(endpoint.lane):
            at = max(at, self.calls_lost_at(endpoint))
        return math.inf if self.slow_slots_full(endpoint) else at

    def unresponsive(self, endpoint: Endpoint) -> bool:
        """The oldest call is long overdue and nothing was answered since it was sent; further calls would
        only fill slots."""
        call = next(iter(endpoint.calls.values()), None)
        late = call is not None and self.now - call.sent_at > UNRESPONSIVE_FACTOR * call.expected_ms
        return late and endpoint.answered_at < call.sent_at

    def connects_unanswered(self, lane: Lane) -> bool:
        """The latest connect timed out and nothing was answered since. Each dispatcher then connects one call
        at a time, since pending connects would all succeed at once on recovery."""
        return lane.answered_at < lane.connect_unanswered_at

    def calls_lost_at(self, endpoint: Endpoint) -> float:
        """When all calls in flight there count as lost and one more may be tried: otherwise an unsafe call on
        a dead connection would keep the endpoint unused."""
        return max((call.lost_at for call in endpoint.calls.values()), default=-math.inf)

    # Sending

    def slot_limit(self, destination: Destination) -> int:
        """Bulkhead: the number of slots that one destination may hold."""
        ready = [e for e in destination.endpoints if e.ready]
        unhealthy = any(e in self.slow_endpoints or e.score_at(self.now) < PRIOR_SCORE for e in ready)
        return max(
            int(self.settings.slots * (UNHEALTHY_SLOT_SHARE if unhealthy else DESTINATION_SLOT_SHARE)), 1
        )

    def is_slow(self, endpoint: Endpoint) -> bool:
        """It has a slow call, or another endpoint of its destination has and it has not answered since."""
        at = [call.sent_at for e in endpoint.destination.endpoints if (call := self.slow_call(e))]
        return bool(at) and (endpoint.answered_at < max(at) or self.slow_call(endpoint) is not None)

    def slow_call(self, endpoint: Endpoint) -> Call | None:
        oldest = next(iter(endpoint.calls.values()), None)
        return oldest if oldest and self.now - oldest.sent_at > SLOW_FACTOR * oldest.expected_ms else None

    def slow_slots_full(self, endpoint: Endpoint) -> bool:
        """Slow endpoints of all destinations share part of the slots, so that slow or hung calls never take
        all; counted by endpoint, so that healthy endpoints of the same destination stay usable. Drawback: one
        long call counts as slowness."""
        if endpoint not in self.slow_endpoints:
            return False
        return sum(len(slow.calls) for slow in self.slow_endpoints) >= int(
            self.settings.slots * UNHEALTHY_SLOT_SHARE
        )

    def urgency(self, message: Message) -> float:
        """Worth lost by waiting: grows as the aim approaches, then follows the remaining worth."""
        cls, call = message.cls, self.expected_call_ms(message)
        age = self.now + call - message.accepted_at
        late = age - cls.aim_ms
        worth, slack = message.worth, 0.0
        if late <= 0:
            slack = -late
        elif self.settings.worth_halves:
            worth *= 0.5 ** (late / cls.aim_ms)
            if worth <= cls.late_worth * message.worth:
                worth, slack = cls.late_worth * message.worth, message.deadline - self.now - call
        else:
            worth *= 1.0 - cls.late_worth
        scale_ms = URGENCY_SCALE_AIMS * cls.aim_ms
        if message.destination.backlog > cls.aim_ms:
            scale_ms = max(scale_ms, OVERLOAD_URGENCY_SCALE * (message.destination.backlog - cls.aim_ms))
        return worth / cls.aim_ms * math.exp(-slack / scale_ms)

    def ready(self, message: Message) -> bool:
        if message.not_before > self.now or self.blocked_by_shutdown(message):
            return False
        if not message.key:
            return True
        queue = self.key_queues[message.key]
        return queue.messages[0] is message and (queue.paused_until <= self.now or bool(message.attempts))

    def blocked_by_shutdown(self, message: Message) -> bool:
        """An unsafe call must end before this process does, since otherwise its outcome would be unknown."""
        if message.cls.effect is not Effect.UNSAFE or self.shutdown_at == math.inf:
            return False
        return self.now + SHUTDOWN_MARGIN_CALLS * self.expected_call_ms(message) > self.shutdown_at

    def by_urgency(self, destination: Destination) -> Collection[Message]:
        """Sendable messages, most urgent first, cached within a batch: only sends and the backlog change
        them. Sorting all anew for each call took a second with some thousands held."""
        backlog, ordered = self.urgency_order.get(destination, (None, {}))
        if backlog != destination.backlog:
            held = [m for m in destination.held.values() if self.ready(m)]
            ordered = {m.id: m for m in sorted(held, key=self.urgency, reverse=True)}
            self.urgency_order[destination] = destination.backlog, ordered
        return ordered.values()

    def next_send(self, destination: Destination) -> tuple[float, Message, list[Endpoint]] | None:
        if not destination.held or len(destination.calls) >= self.slot_limit(destination):
            return None
        if not any(e.lane.available_at(self.now) <= self.now for e in destination.endpoints):
            return None
        destination.update_backlog(self.now, self.settings.kinds)
        waiting = self.by_urgency(destination)
        for message in waiting:
            targets = self.targets(message)
            if targets:
                return self.priority(message, targets, len(waiting)), message, targets
        return None

    def priority(self, message: Message, targets: list[Endpoint], waiting: int) -> float:
        """Urgency of all messages in the call per ms that it holds its slot, so that calls to slow
        destinations do not fill the slots; messages wait longer there."""
        batch = 1 if targets[0].tripped or len(targets) > 1 else self.settings.kinds[targets[0].kind].batch
        duration_ms = self.expected_ms[message.cls.name] * max(
            message.destination.latency_factor, MIN_LATENCY_FACTOR
        )
        return self.urgency(message) * min(batch, waiting) / duration_ms

    def dispatch(self) -> None:
        """Sends the messages of highest priority while slots last."""
        choices = {}
        self.urgency_order.clear()
        if self.slots_in_use < self.settings.slots:
            self.slow_endpoints = {endpoint for endpoint in self.endpoints.values() if self.is_slow(endpoint)}
            bests = ((number, self.next_send(held)) for number, held in self.destinations.items())
            choices = {number: best for number, best in bests if best}
        while choices and self.slots_in_use < self.settings.slots:
            number = max(choices, key=lambda n: choices[n][0])
            _, message, targets = choices.pop(number)
            self.send(message, targets)
            if best := self.next_send(message.destination):
                choices[number] = best

    def cancel_lost_calls(self) -> None:
        """While messages wait, cancels calls on dead connections, which could hold a slot for the long
        time-out of unsafe calls. Delivered later calls tell a dead connection from a slow endpoint. Drawback:
        where an answer was still to come, an unsafe message is failed."""
        if not any(destination.held for destination in self.destinations.values()):
            return
        for endpoint in self.endpoints.values():
            for call in endpoint.calls.values():
                if call.overtaken >= OVERTAKEN_CALLS and call.lost_at < self.now and not call.abandoned:
                    call.abandoned = True
                    self.actions += [api.Cancel(m.id, n) for m, n in call.attempts if m.attempts[n] is call]

    def send(self, message: Message, targets: list[Endpoint]) -> None:
        destination = message.destination
        room = min(
            self.settings.slots - self.slots_in_use, self.slot_limit(destination) - len(destination.calls)
        )
        room = min(room, message.max_attempts - len(message.attempts))
        targets = targets[: max(room, 1)]
        if message.first_endpoint is None:
            message.first_endpoint = targets[0]
        if message.plans:
            plan = [e for e in message.plans[0] if e not in targets]
            message.plans = ([plan] if plan and not self.sends_copies(message) else []) + message.plans[1:]
        for endpoint in targets:
            call = self.start_call(message, endpoint)
            self.start_attempt(message, call)
            if endpoint is targets[0] and len(targets) == 1:
                self.fill_batch(call)
            self.charge(call)

    def start_call(self, message: Message, endpoint: Endpoint) -> Call:
        self.calls_made += 1
        destination, expected_ms = message.destination, self.expected_call_ms(message)
        call = Call(self.calls_made, endpoint, message, self.now, expected_ms)
        self.slots_in_use += 1
        destination.calls[call.number] = endpoint.calls[call.number] = call
        guided = self.now < endpoint.lane.allowed_until  # dispatchers with equal shares must not act in step
        endpoint.lane.note_sent(self.now, self.random.uniform(*JITTER) if guided else 1.0)
        return call

    def charge(self, call: Call) -> None:
        """Charges a call, with all of its messages, to the slow start of its endpoint."""
        endpoint, messages = call.endpoint, len(call.attempts)
        if endpoint.warm < 1.0 and not endpoint.tripped:
            gap_ms = self.cold_gap_ms(endpoint) * slow_start.call_weight(messages)
            endpoint.next_call_at = max(endpoint.next_call_at, self.now) + gap_ms
        if endpoint.cold:
            endpoint.calls_since_warm += 1
            endpoint.messages_since_warm += messages
            endpoint.largest_call = max(endpoint.largest_call, messages)

    def start_attempt(self, message: Message, call: Call) -> None:
        message.destination.release(message)
        if (cached := self.urgency_order.get(message.destination)) is not None:
            cached[1].pop(message.id, None)
        message.attempts.append(call)
        call.add(message, len(message.attempts) - 1)
        aims = MIN_TIMEOUT_AIMS[message.cls.effect]
        if call.idle_ms and self.idle_limit_ms() < self.settings.conn_idle_ms:  # maybe dropped silently
            aims *= STALE_CONNECTION_TIMEOUT_SHARE
        timeout_ms = max(TIMEOUT_EXPECTED_CALLS * call.expected_ms, aims * message.cls.aim_ms)
        timeout_at = min(self.now + timeout_ms, message.deadline)
        limit_start = call.endpoint.tripped or self.connects_unanswered(call.endpoint.lane)
        if limit_start and not call.endpoint.connected_late:  # waiting connects would all arrive on recovery
            call.start_by = self.now + UNANSWERED_CONNECT_MS
        start_by = min(message.window_ends, call.start_by)
        self.actions.append(api.Send(message.id, call.endpoint.name, timeout_at, start_by))

    def fill_batch(self, call: Call) -> None:
        """Adds further messages to the call where the destination kind takes batches."""
        batch = self.settings.kinds[call.endpoint.kind].batch
        room = (slow_start.max_messages(batch) if call.endpoint.warm < 1.0 else batch) - 1
        if room <= 0 or call.endpoint.tripped:
            return
        companions = [m for m in self.by_urgency(call.destination) if self.is_permitted(m, call.endpoint)]
        for message in companions[:room]:
            if message.first_endpoint is None:
                message.first_endpoint = call.endpoint
            self.start_attempt(message, call)

    def held_by_destination(self) -> dict[int, tuple[int, float]]:
        """Number and total worth of held messages by destination, for planners."""
        return {
            number: (len(destination.held), sum(message.worth for message in destination.held.values()))
            for number, destination in self.destinations.items()
            if destination.held
        }

    # Timer

    def set_timer(self) -> None:
        """Keeps one timer set, for the earliest time at which a held message's state could change."""
        at = min(self.list_request_at, self.expiries[0][0] if self.expiries else math.inf)
        if self.slots_in_use < self.settings.slots:
            for destination in self.destinations.values():
                if destination.held:
                    at = min(at, self.next_opportunity(destination))
        at = max(at, self.now + self.settings.tick_ms)
        if at < self.timer_at:
            self.timer_at = at
            self.actions.append(api.SetTimer(at - self.now))

    def next_opportunity(self, destination: Destination) -> float:
        message = next(iter(destination.held.values()))
        ready = [e for e in destination.endpoints if e.ready]
        available_at = min((self.available_at(message, e) for e in ready), default=math.inf)
        earliest = math.inf
        for held in destination.held.values():
            ready_at = max(held.not_before, self.key_queues[held.key].paused_until if held.key else -math.inf)
            earliest = min(earliest, ready_at if ready_at > self.now else math.inf)
        return earliest if available_at <= self.now else min(available_at, earliest)
