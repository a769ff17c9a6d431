"""Every decision of the delivery service; the types it takes and gives are in `interface.py`.

A message goes to its destination's best-measured endpoint, is retried there, then falls over to greedy plans
of the remaining endpoints (Algorithm 1 of the rAFCL paper). What cannot go yet is held. The guards that the
six rules need stand around that path: an `Endpoint` has a score and a breaker, a `Lane` (a destination, or a
route where routes are apart) has the waits and the pace of a limit.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict, deque
from collections.abc import Collection
from dataclasses import replace

import crowpier.interface as api
from crowpier import learned
from crowpier.interface import AttemptEnded, Effect, Outcome, Settings, State

# The mechanism
PRIOR = 0.5  # score of an endpoint nothing is known of: it may as well work as not
SCORE_GAIN = 0.2  # weight of the newest outcome: about the last five calls count
SCORE_AGE_MS = 30_000.0  # an unused score drifts to the prior within about this time
FIRST_RETRIES = 2  # further tries at the first endpoint, as in the paper's cloud default
TARGET = 0.9  # joint availability of a plan: one healthy endpoint meets it alone
LOAD_DISCOUNT = 0.1  # score given up for each call already out: ten calls weigh as much as certain failure
FEE_DISCOUNT = 2.0  # score given up for each point of fee: decides between near equals only
COLD_CONN_DISCOUNT = 0.05  # score given up where a connection must be opened: decides between equals only
# Connections
KEEP_CUT = 0.5  # of the idle time after which one failed: from then on idle ones are closed before
KEEP_FULL = 0.4  # of the told idle time: tables that are full of idle ones are no reason to go under its half
KEEP_LEAST = 0.01  # of the told idle time: never closed sooner
KEEP_DOUBLES_MS = 15_000.0  # the time for which idle ones are kept doubles in this, up to the told one
# Slots
DEST_SHARE = 0.75  # of the slots for one destination, from the design
SICK_SHARE = 0.5  # of the slots while it fails or is slow, from the design; and for all slow endpoints
SLOW_CALL = 2.0  # a call out for more than this times its usual time is slow, from the design
SILENT_CALL = 3.0  # with nothing answered for so many usual times, nothing more is sent
# Times
FIRST_USUAL = 0.15  # of the class's aim: a call's usual time before one is measured
USUAL_GAIN = 0.02  # weight of the newest call in its class's usual time
STRETCH_GAIN = 0.2  # weight of the newest call in a destination's pace, which differs more and changes faster
LEAST_STRETCH = 0.1  # of a destination's pace: nothing is divided by next to nothing
TIMEOUT_CALLS = 4.0  # a call is given up after this times its usual time, but not before the class's aim
TIMEOUT_AIMS = {Effect.SAFE: 2.0, Effect.KEYED: 1.0, Effect.UNSAFE: 8.0}  # unsafe: giving up loses it
DOUBTED_SHARE = 0.25  # of that while idle connections are known to fail and this call went on one
LOST_CALLS = (
    6.0  # usual calls: one that is out for longer, and was overtaken, is called off where others wait
)
LOST_AIMS = {Effect.SAFE: 0.5, Effect.KEYED: 0.5, Effect.UNSAFE: 1.0}  # but not before; unsafe: that loses it
OVERTAKEN = (
    2  # later calls to the endpoint that were delivered: it is not slow, this one's connection is dead
)
LEAVE_CALLS = 4.0  # usual calls: so long before the process ends, no unsafe message is sent any more
RETRY_CALLS = 0.25  # of a usual call: rest before the first further try, doubled with each
REST_TOP_MS = 2_000.0  # no rest of our own is longer, a wanted time is of that order
# Limits
CUT_PER_S = 0.8  # e-folds: refusals above a limit cut the pace by so many a second, however few calls tell
CUT_LEAST, CUT_MOST = 0.85, 0.2  # of what was sent: what one refusal leaves of the pace
GROW_PER_S = 0.5  # e-folds: the pace grows by so many each second without a refusal
GROW_PER_CALL = 0.7  # e-folds: but by no more for each call that would show it to be too high
KNOWN_SHARE = 0.9  # of the pace that was taken of late: the pace grows back to it fast
GROW_TOP = 20.0  # e-folds: it grows no further, against numbers out of range
PACE_FLOOR_PER_S = 1.5  # of all dispatchers: the pace never falls under our part, less would be of no use
GATHER = 0.25  # of the shortest aim: where calls take several messages, none is needed sooner once refused
BURST_MS = 400.0  # worth of pace that may go at once
FLOW_MS = 2_000.0  # memory of the pace that was sent
GUESS_PER_S = 10.0  # of all dispatchers: the pace of a lane before any is seen
GUESS_MS = 2_000.0  # the guess weighs as much as so long a time that was seen, and less as more is
PART_LEAST = 0.1  # of the memory of a part: over a shorter time nothing is called one
PART_MS = 30_000.0  # memory of the mean pace that a lane took from us, our part of what it can do
PAUSE_MS = 500.0  # first pause after a refusal that tells no wait, doubled with each in a row
JITTER = (0.75, 1.25)  # rests of our own are stretched by chance, so that dispatchers do not act in step
WAIT_MARGIN_MS = 1.0  # added to a told wait, against rounding of the clock
# Outages
STRIKES = 4  # breaker: opens at so many; a failure is two, less where it may be the limit's or the network's
SILENCE_MS = 500.0  # a connect that fails so late was not refused: nobody is there, a failure as others
LOOKS_MS = 100.0  # before a send's `start_by_ms`: what comes up within it may be given back unused as well
STRIKE = {Outcome.FULL: 1.0, Outcome.CONNECT_FAILED: 1.0, Outcome.RESET: 0.5}
BLINK_MS = 1_000.0  # outages last for seconds: what served so shortly before was not in one
BLINK_TRIAL_MS = 250.0  # after a trip of what was warm the first trial comes so soon: it may be chance
RETURN_SHARE = 0.9  # of `fall_multiple` times the known pace: what a cold lane gets at most from us
UNSEEN_MS = 8_000.0  # outages end in mid-span between a failure and a success, where that is no longer
TRIAL_SHARE = 0.75  # of that: those who find out that it returned send more within the same time
RETURN_GROW_PER_S = 0.2  # e-folds: that share grows by so many each second in which nothing fails
TRIAL_GAP_MS = 500.0  # times the dispatchers: the longest wait between calls to a cold endpoint
# Held messages
PATIENCE = 0.5  # of the aim: a message's urgency grows e-fold as its slack shrinks by so much
CROWD_PATIENCE = 8.0  # of the time that what is held takes past the aim, where a pace is allowed from outside
QUOTA_MS = 3_000.0  # a tenant may be ahead of its allowance by so long
FULL_HOUSE = 0.9  # of the messages that may be held: beyond this the least worth is shed
RESUBSCRIBE_MS = 1_000.0  # first wait before asking a failed directory again, doubled to the top
RESUBSCRIBE_TOP_MS = 8_000.0


class Flow:
    """A decaying count of things per second."""

    def __init__(self, memory_ms: float, least: float = 0.0) -> None:
        self.memory, self.least, self.count, self.at, self.since = memory_ms, least, 0.0, 0.0, math.inf

    def rate(self, now: float, guess: float = 0.0) -> float:
        """Over the time since the first of them, as long as that is shorter than the memory. A guess guards
        against a rate that is made of one or two things."""
        unseen = math.exp(-max((now - self.since) / self.memory, self.least))
        weight = GUESS_MS * unseen if guess else 0.0
        count = self.count * math.exp((self.at - now) / self.memory) + weight * guess / 1000.0
        return count * 1000.0 / (self.memory * (1.0 - unseen) + weight)

    def add(self, now: float) -> None:
        self.since = min(self.since, now)
        self.count = self.count * math.exp((self.at - now) / self.memory) + 1.0
        self.at = now


class Lane:
    """What shares one limit: a destination, or one route where routes are apart."""

    def __init__(self) -> None:
        self.told_rate = 0.0
        self.endpoints: list[Endpoint] = []
        self.strikes = 0.0  # of its endpoints that are not tripped, since one of them served
        self.answered_at = self.served_at = -math.inf
        self.unheard_at = -math.inf  # the newest connect that was given up, not refused
        self.wait_until = self.next_at = -math.inf
        self.cut_at = 0.0
        self.pace = math.inf
        self.known = 0.0  # the pace up to which it grows fast again
        self.enough = math.inf  # once refused, no higher pace is of use
        self.fulls = 0
        self.sent, self.taken = Flow(FLOW_MS), Flow(PART_MS, PART_LEAST)
        self.allowed_gap = self.allowed_slack = 0.0  # guidance from outside: time between calls, and saved up
        self.allowed_until = self.allowed_next = self.slots_until = -math.inf
        self.slots: deque[tuple[int, float]] = deque()  # moments from outside: number, when
        self.slot_used = 0
        self.score_penalty = 0.0

    def pace_at(self, now: float) -> float:
        """Calls a second that may be sent: cut by refusals, growing by compound with time since. It guards
        against a pace that was cut while a slow or full destination took little and binds long after. Near a
        limit it is much like growth by a line; it hurts where a limit stays low: refusals come sooner."""
        if self.pace == math.inf:
            return self.pace
        known = max(self.known, self.pace)
        left = (now - self.cut_at) / 1000.0 - math.log(known / self.pace) / GROW_PER_S
        growth = min(GROW_PER_S, GROW_PER_CALL * known) if left > 0.0 else GROW_PER_S
        return min(known * math.exp(min(growth * left, GROW_TOP)), self.enough)

    def open_at(self, now: float) -> float:
        """When the next call may go, as far as waits and the pace have it."""
        allowance = max(BURST_MS - 1000.0 / self.pace_at(now), 0.0)
        at = max(self.wait_until, self.next_at - allowance)
        if now < self.slots_until:
            while self.slots and (
                self.slots[0][1] < self.wait_until  # a moment within a wait is gone, or all would go after it
                or (len(self.slots) > 1 and self.slots[1][1] <= now)  # of others that were missed one is kept
            ):
                self.slots.popleft()
            at = max(at, self.slots[0][1] if self.slots else self.slots_until)
        elif now < self.allowed_until:
            at = max(at, min(self.allowed_next - self.allowed_slack, self.allowed_until))
        return at

    def allow(self, now: float, told: api.SendAllowance) -> None:
        """Guidance from those who see all dispatchers: it guards against each learning a limit alone by being
        refused, all overshooting together. It hurts where they are wrong; it runs out by itself."""
        self.heed(now, told.wait_ms)
        self.allowed_gap = 1000.0 / told.per_s if told.per_s > 0 else math.inf
        self.allowed_slack = (told.burst - 1.0) * self.allowed_gap if told.per_s > 0 else 0.0
        self.allowed_next = min(self.allowed_next, now + told.burst * self.allowed_gap)
        if not told.per_s:
            self.allowed_next = math.inf
        self.allowed_until, self.score_penalty = now + told.for_ms, told.score_penalty
        self.slots_until = now + told.slots_ms
        missed = [slot for slot in self.slots if slot[0] < told.slot and slot[1] <= now]
        coming = [(told.slot + n, now + at) for n, at in enumerate(told.slots)]
        self.slots = deque(missed[-1:] + [slot for slot in coming if slot[0] > self.slot_used])

    def note_sent(self, now: float, jitter: float = 1.0) -> None:
        self.sent.add(now)
        if now < self.slots_until and self.slots:
            self.slot_used = self.slots.popleft()[0]
        if now < self.allowed_until:
            self.allowed_next = max(now, self.allowed_next) + self.allowed_gap * jitter
        self.next_at = max(now, self.next_at) + 1000.0 / self.pace_at(now)

    def note_taken(self, now: float, cold: bool) -> None:
        self.fulls = 0
        if not cold:  # what we send a cold endpoint is not what it can do, and must not chill the next return
            self.taken.add(now)

    def part(self) -> float:
        """The pace that the lane took from us, as of the last call taken: an outage does not wear it down."""
        return self.taken.rate(self.taken.at)

    def heed(self, now: float, told_wait: float) -> None:
        if told_wait > 0:
            self.wait_until = max(self.wait_until, now + told_wait + WAIT_MARGIN_MS)

    def note_full(
        self, now: float, sent_at: float, told_wait: float, chance: random.Random, dispatchers: int
    ) -> None:
        """Slow down once for all calls that were out together."""
        if sent_at < self.cut_at:
            return
        floor = PACE_FLOOR_PER_S / dispatchers
        rate = max(min(self.sent.rate(now, GUESS_PER_S / dispatchers), self.pace_at(now)), floor)
        cut = min(max(math.exp(-CUT_PER_S / rate), CUT_MOST), CUT_LEAST)
        self.known = KNOWN_SHARE * self.part()
        self.pace = max(cut * rate, floor)
        self.cut_at = now
        self.fulls += 1
        if told_wait <= 0:
            pause = min(PAUSE_MS * 2.0 ** (self.fulls - 1), REST_TOP_MS) * chance.uniform(*JITTER)
            self.wait_until = max(self.wait_until, now + pause)
        # All who are told a wait hear the same end of it: each begins at a moment of its own.
        spread = 1000.0 * min(1.0 / self.pace, dispatchers / GUESS_PER_S)
        self.next_at = max(self.next_at, self.wait_until + chance.random() * spread)


class Endpoint:
    """One address of a destination: its score, the calls out, and its circuit breaker."""

    def __init__(self, entry: api.Entry, lane: Lane, destination: Destination) -> None:
        self.name, self.kind, self.zone = entry.endpoint, entry.kind, entry.zone
        self.state, self.lane, self.destination = State.READY, lane, destination
        self.score, self.scored_at = PRIOR, 0.0
        self.calls: dict[int, Call] = {}
        self.idle: list[float] = []
        self.strikes, self.struck_at = 0, -math.inf
        self.warm, self.warm_at = 1.0, 0.0
        self.tripped, self.opens_at, self.answered_at = False, -math.inf, -math.inf
        self.failed_at = -math.inf  # the newest failure of any kind
        self.cold = False  # from its trip until it is warm again
        self.served_at, self.blamed = -math.inf, False  # blamed: it failed since by its own doing
        self.detached = False  # by operators
        self.came_up = False  # a connection, too late to be used: the next one is, however long it takes

    @property
    def ready(self) -> bool:
        return self.state is State.READY and not self.detached

    def score_at(self, now: float) -> float:
        return PRIOR + (self.score - PRIOR) * math.exp((self.scored_at - now) / SCORE_AGE_MS)

    def rate(self, now: float, success: bool) -> None:
        """The aged success share of the mechanism."""
        old = self.score_at(now)
        self.score, self.scored_at = old + SCORE_GAIN * (success - old), now


class Call:
    """One call out: a message, or several of one round where the kind takes them together."""

    def __init__(
        self, number: int, endpoint: Endpoint, message: Message, now: float, expected_ms: float
    ) -> None:
        self.number, self.endpoint, self.sent_at = number, endpoint, now
        self.destination = message.destination
        self.expected_ms, self.cls, self.left, self.judged = expected_ms, message.cls.name, 0, False
        self.riders: list[tuple[Message, int]] = []  # and which of their attempts it is
        self.start_by = math.inf  # else it is not sent: its connection came up too late
        self.lost_at, self.abandoned, self.overtaken = -math.inf, False, 0  # by later calls
        self.idle_ms = now - endpoint.idle.pop() if endpoint.idle else 0.0  # of its connection, before it

    def carry(self, message: Message, number: int) -> None:
        """The message's attempt of that number goes with it."""
        message.out += 1
        self.left += 1
        self.riders.append((message, number))
        lost = max(LOST_CALLS * self.expected_ms, LOST_AIMS[message.cls.effect] * message.cls.aim_ms)
        self.lost_at = max(self.lost_at, self.sent_at + lost)


class Message:
    """A message that was taken and is not over, or still has attempts out."""

    def __init__(
        self, event: api.MessageAccepted, terms: api.Terms, destination: Destination, now: float
    ) -> None:
        cls = terms.cls
        self.id, self.cls, self.destination, self.most = event.message, cls, destination, terms.max_attempts
        self.key = event.key if cls.in_order else 0
        self.worth, self.untried = cls.worth, event.untried
        self.deadline = now + event.left_ms
        self.born = self.deadline - cls.deadline_ms
        self.attempts: list[Call | None] = []
        self.out = self.tries = 0
        self.ran_at, self.ran_zone = math.inf, -1  # of the first attempt that may have run
        self.first: Endpoint | None = None
        self.retries = FIRST_RETRIES
        self.plans: list[list[Endpoint]] | None = None
        self.not_before = -math.inf
        self.over = False

    @property
    def owed(self) -> bool:
        """An earlier process took it on, and nobody has tried it."""
        return self.untried and not self.attempts

    @property
    def window_ends(self) -> float:
        """From then on its key does not keep a repeat from counting twice."""
        return self.ran_at + self.cls.window_ms if self.cls.effect is Effect.KEYED else math.inf

    def start_over(self) -> None:
        self.first, self.plans, self.retries = None, None, FIRST_RETRIES


class Destination:
    """A partner: its endpoints, the messages held for it and the calls out to it."""

    def __init__(self) -> None:
        self.endpoints: list[Endpoint] = []
        self.held: dict[int, Message] = {}
        self.unsent: dict[int, Message] = {}  # of them, those that nobody has tried, and this process took on
        self.calls: dict[int, Call] = {}
        self.stretch = 1.0  # its calls' time over that of the class
        self.backlog = 0.0  # the time that what is held takes at the pace allowed from outside; 0 without one

    def hold(self, message: Message) -> None:
        self.held[message.id] = message
        if not message.attempts and not message.owed:
            self.unsent[message.id] = message

    def release(self, message: Message) -> None:
        self.held.pop(message.id, None)
        self.unsent.pop(message.id, None)

    def note_backlog(self, now: float, kinds: list[api.Kind]) -> None:
        """Where more is held than can go in time, most will be late or refused: then what is worth most now
        goes first, since the others will not have their turn before their time is up either."""
        batches = {endpoint.lane: kinds[endpoint.kind].batch for endpoint in self.endpoints}
        pace = 0.0
        for lane, batch in batches.items():
            if now >= lane.allowed_until or not lane.allowed_gap:
                pace = math.inf
                break
            pace += batch / lane.allowed_gap
        self.backlog = len(self.held) / pace if pace else 0.0


class Turn:
    """The messages that share a key of order, in the order in which they were taken."""

    def __init__(self) -> None:
        self.line: deque[Message] = deque()
        self.rests_until = -math.inf


class Dispatcher:
    """Decides for one dispatcher: give it each batch of events, carry out what it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = -math.inf
        self.actions: list[api.Action] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.lanes: dict[object, Lane] = {}
        self.destinations: defaultdict[int, Destination] = defaultdict(Destination)
        self.messages: dict[int, Message] = {}
        self.turns: dict[int, Turn] = {}
        self.quotas = [-math.inf] * len(settings.tenants)
        self.detached: set[str] = set()  # endpoints taken out by operators, listed or not
        self.returns: set[str] = set()  # those given back while not listed
        self.ends: list[tuple[float, int]] = []
        self.expected_ms: dict[str, float] = {}  # by class: its calls' usual time
        self.learn_classes(settings.classes)
        self.slots_in_use = self.calls_made = 0
        self.slow: set[Endpoint] = set()  # as of the latest dispatch
        self.lent: dict[int, Call] = {}  # by the earlier process's number, within one moment
        self.wakes_at = self.leaves_at = math.inf
        self.parked: deque[tuple[float, Endpoint]] = deque()  # connections in the order of falling idle
        self.keep, self.keep_at = settings.conn_idle_ms, 0.0
        self.lines: dict[Destination, tuple[float, dict[int, Message]]] = {}  # see `waiting`
        self.proven, self.proven_at = 0.0, -math.inf  # the longest idling of late that did no harm
        self.asks, self.ask_at = 0, -math.inf if settings.subscribes else math.inf

    def handle(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in order, and say what to do now."""
        if now_ms < self.now:
            raise ValueError(f"time runs backwards: {now_ms} after {self.now}; hand batches in in order")
        self.now, self.actions = now_ms, []
        for event in events:
            try:
                self.take(event)
            except ValueError as error:  # the others of the moment hold all the same
                self.actions.append(api.Log(f"left out: {error}"))
        self.lent.clear()
        self.ask_for_list()
        self.end_late()
        self.hang_up()
        if self.settings.may_cancel:
            self.abandon()
        self.dispatch()
        self.set_alarm()
        return self.actions

    def take(self, event: api.Event) -> None:
        if isinstance(event, AttemptEnded):
            self.attempt_ended(event)
        elif isinstance(event, api.MessageAccepted):
            self.arrived(event)
        elif isinstance(event, api.EndpointListReceived):
            self.listed(event)
        elif isinstance(event, api.Withdrawn) and event.message in self.messages:
            self.close(self.messages[event.message])
        elif isinstance(event, api.TimerFired):
            self.wakes_at = math.inf  # a clock that rounds may wake us a trifle early
        elif isinstance(event, api.IdleConnectionClosed) and event.endpoint in self.endpoints:
            del self.endpoints[event.endpoint].idle[:1]
        elif isinstance(event, api.ColdStateRestored) and event.endpoint in self.endpoints:
            self.remembered(self.endpoints[event.endpoint], event.pace_per_s)
        elif isinstance(event, api.ShutdownScheduled):
            self.leaves_at = self.now + event.in_ms
        elif isinstance(event, api.SendAllowance) and event.lane in self.lanes:
            self.lanes[event.lane].allow(self.now, event)
        elif isinstance(event, api.Detached):
            self.detach(event.endpoint)
        elif isinstance(event, api.Attached):
            self.attach(event.endpoint)
        elif isinstance(event, api.Reconfigured):
            self.reconfigured(event.settings)
        elif isinstance(event, api.LearnedStateRestored):
            learned.restore(self, dict(event.told), event.ahead_ms)

    # New settings

    def learn_classes(self, classes: tuple[api.MessageClass, ...]) -> None:
        for cls in classes:
            self.expected_ms.setdefault(cls.name, FIRST_USUAL * cls.aim_ms)

    def reconfigured(self, settings: Settings) -> None:
        """Messages hold the terms that they were taken under; a class that is gone goes with the last."""
        self.settings = settings
        held = {message.cls.name for message in self.messages.values()}
        names = held | {cls.name for cls in settings.classes}
        self.expected_ms = {
            name: expected_ms for name, expected_ms in self.expected_ms.items() if name in names
        }
        self.learn_classes(settings.classes)
        self.quotas = (self.quotas + [-math.inf] * len(settings.tenants))[: len(settings.tenants)]
        for destination in self.destinations.values():
            self.share_need(destination)

    # Maintenance: operators take endpoints out and give them back. Guards against work for what is being
    # restarted; its return is that from an outage, since it starts cold, but nothing speaks against it.

    def detach(self, name: str) -> None:
        self.detached.add(name)
        self.returns.discard(name)
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
            self.returns.add(name)
            return
        endpoint.detached = False
        self.restarted(endpoint)

    def restarted(self, endpoint: Endpoint) -> None:
        endpoint.strikes, endpoint.score, endpoint.served_at = 0, max(endpoint.score, PRIOR), -math.inf
        pace = endpoint.lane.part()
        self.remembered(endpoint, pace)
        self.actions.append(api.RecordColdState(endpoint.name, True, pace))

    def count_unavailable(self) -> int:
        """How many listed endpoints get no ordinary calls now, by operators' word or by the breaker."""
        listed = (e for e in self.endpoints.values() if e.state is not State.GONE)
        return sum(1 for endpoint in listed if endpoint.detached or endpoint.tripped)

    # The list

    def ask_for_list(self) -> None:
        if self.now >= self.ask_at:
            self.asks, self.ask_at = self.asks + 1, math.inf
            self.actions.append(api.Subscribe())

    def listed(self, news: api.EndpointListReceived) -> None:
        if news.kind is api.ListKind.FAILED:
            # Guards against a stale list: the directory is asked again, ever more rarely, never in step.
            rest = min(RESUBSCRIBE_MS * 2.0 ** min(self.asks, 8) / 2.0, RESUBSCRIBE_TOP_MS)
            self.ask_at = self.now + rest * self.random.uniform(*JITTER)
            return
        if news.kind is not api.ListKind.CACHED:
            self.asks = 0
        if news.kind is not api.ListKind.DELTA:
            named = {entry.endpoint for entry in news.entries}
            for endpoint in self.endpoints.values():
                if endpoint.name not in named:
                    endpoint.state = State.GONE
        for entry in news.entries:
            try:
                self.enter(entry)
            except ValueError as error:
                self.actions.append(api.Log(f"left out: {error}"))
        self.forget_gone()

    def forget_gone(self) -> None:
        """Guards against growth where endpoints come and go; a lane is remembered for a while."""
        for endpoint in [e for e in self.endpoints.values() if e.state is State.GONE]:
            self.remove(endpoint)
        for key, lane in list(self.lanes.items()):
            if not lane.endpoints and max(lane.wait_until, lane.sent.at + PART_MS) <= self.now:
                del self.lanes[key]
        for number, destination in list(self.destinations.items()):
            if not (destination.endpoints or destination.held or destination.calls or number in self.lanes):
                del self.destinations[number]

    def remove(self, endpoint: Endpoint) -> None:
        if endpoint.calls or self.endpoints.get(endpoint.name) is not endpoint:
            return
        del self.endpoints[endpoint.name]
        endpoint.lane.endpoints.remove(endpoint)
        endpoint.destination.endpoints.remove(endpoint)
        endpoint.idle.clear()
        self.share_need(endpoint.destination)

    def share_need(self, destination: Destination) -> None:
        """The pace of calls beyond which messages would only be gathered less, shared among its lanes."""
        lanes = {e.lane for e in destination.endpoints if self.settings.kinds[e.kind].batch > 1}
        gap = GATHER * min(cls.aim_ms for cls in self.settings.classes)
        for lane in lanes:
            lane.enough = max(1000.0 / (gap * len(lanes)), GUESS_PER_S / self.settings.dispatchers)

    def enter(self, entry: api.Entry) -> None:
        if entry.kind >= len(self.settings.kinds) or entry.zone >= len(self.settings.zones):
            raise ValueError(f"endpoint {entry.endpoint}: kind or zone is not one of the settings'")
        endpoint = self.endpoints.get(entry.endpoint)
        kind = self.settings.kinds[entry.kind]
        if endpoint is None:
            if entry.state is State.GONE:
                return
            lane = self.lanes.setdefault(entry.endpoint if kind.apart else entry.destination, Lane())
            destination = self.destinations[entry.destination]
            endpoint = self.endpoints[entry.endpoint] = Endpoint(entry, lane, destination)
            lane.endpoints.append(endpoint)
            destination.endpoints.append(endpoint)
            self.share_need(destination)
            endpoint.detached = entry.endpoint in self.detached
            if entry.endpoint in self.returns:
                self.returns.discard(entry.endpoint)
                self.restarted(endpoint)
        endpoint.state = entry.state
        if self.settings.advertised_rates and entry.rate_per_s > 0:
            lane = endpoint.lane
            if lane.told_rate == 0.0:  # the pace starts there; refusals and time then move it
                lane.pace, lane.cut_at = entry.rate_per_s, self.now
            lane.told_rate = entry.rate_per_s

    # Messages

    def arrived(self, event: api.MessageAccepted) -> None:
        terms = event.terms
        if terms is None:
            if event.cls >= len(self.settings.classes):
                self.actions.append(api.Refuse(event.message))
                raise ValueError(f"message {event.message}: class {event.cls} is not one of the settings'")
            terms = api.Terms(self.settings.classes[event.cls], self.settings.max_attempts)
        self.learn_classes((terms.cls,))
        destination = self.destinations[event.destination]
        message = Message(event, terms, destination, self.now)
        if self.over_share(event.tenant):
            message.worth *= self.settings.over_share_worth
        self.messages[event.message] = message
        if message.key:
            self.turn(message.key).line.append(message)
        message.attempts += [None] * event.attempts
        if event.ran_ago_ms is not None:  # under an earlier process
            ran = self.endpoints.get(event.ran_endpoint)
            message.ran_at, message.ran_zone = self.now - event.ran_ago_ms, ran.zone if ran else -1
        if event.out:
            for lent in event.out:
                self.take_over(message, lent)
            return
        if event.attempts and not self.may_resend(message):
            self.give_up(message)
            return
        self.hold(message)
        if len(self.messages) > FULL_HOUSE * self.settings.max_held:
            self.shed()

    def take_over(self, message: Message, lent: api.AttemptInProgress) -> None:
        """An earlier process has the call out: it holds its slot here and its key's turn until it ends."""
        call = self.lent.get(lent.call)
        if call is None:
            destination, endpoint = message.destination, self.endpoints.get(lent.endpoint)
            if endpoint is None:  # it has left the list, and its call goes on
                gone = api.Entry(lent.endpoint, 0, state=State.GONE)
                endpoint = Endpoint(gone, Lane(), destination)
                endpoint.state = State.GONE
            self.calls_made += 1
            sent_at = self.now - lent.sent_ago_ms
            call = Call(self.calls_made, endpoint, message, sent_at, self.usual_call(message))
            self.lent[lent.call] = call
            self.slots_in_use += 1
            destination.calls[call.number] = endpoint.calls[call.number] = call
        message.attempts += [None] * (lent.attempt + 1 - len(message.attempts))
        message.attempts[lent.attempt] = call
        message.first = message.first or call.endpoint
        call.carry(message, lent.attempt)

    def over_share(self, tenant: int) -> bool:
        """Guards against a tenant that floods: beyond our part of its allowance its messages count little."""
        if tenant >= len(self.quotas) or self.settings.tenants[tenant].allowance_per_s <= 0:
            return False
        gap = 1000.0 * self.settings.dispatchers / self.settings.tenants[tenant].allowance_per_s
        ahead = max(self.quotas[tenant], self.now)
        over = ahead - self.now > QUOTA_MS
        self.quotas[tenant] = ahead if over else ahead + gap
        return over

    def shed(self) -> None:
        """Load shedding: a full house turns messages away unseen, so the least worth where most wait goes."""
        longest = max(self.destinations.values(), key=lambda d: len(d.held))
        if longest.unsent:
            unsent = longest.unsent.values()
            self.give_up(min(unsent, key=lambda m: (m.worth / m.cls.worth, self.urgency(m))))

    def turn(self, key: int) -> Turn:
        if key not in self.turns:
            if len(self.turns) > 2 * self.settings.max_held:
                self.turns = {k: t for k, t in self.turns.items() if t.line or t.rests_until > self.now}
            self.turns[key] = Turn()
        return self.turns[key]

    def hold(self, message: Message) -> None:
        message.destination.hold(message)
        heapq.heappush(self.ends, (self.latest_start(message), message.id))

    def latest_start(self, message: Message) -> float:
        """Past this nothing is sent: a usual call would end too late, or a repeat would count twice. What was
        taken on before a restart and never tried goes out for as long as it has any time."""
        expected_ms = 0.0 if message.owed else self.usual_call(message)
        return min(message.deadline - expected_ms, message.window_ends)

    def usual_call(self, message: Message) -> float:
        return self.expected_ms[message.cls.name] * max(message.destination.stretch, 1.0)

    def end_late(self) -> None:
        while self.ends and self.ends[0][0] <= self.now:
            message = self.messages.get(heapq.heappop(self.ends)[1])
            if message is None or message.over or message.id not in message.destination.held:
                continue
            if self.latest_start(message) > self.now:
                heapq.heappush(self.ends, (self.latest_start(message), message.id))
            else:
                self.give_up(message)

    def give_up(self, message: Message) -> None:
        """The final answer: what was never sent may safely come again, what was tried promises nothing."""
        if message.attempts:
            self.actions.append(api.Fail(message.id))
        else:
            self.actions.append(api.Refuse(message.id, self.stay_away(message)))
        self.close(message)

    def stay_away(self, message: Message) -> float:
        """When to come back: not before an endpoint may open, as far as that can be told."""
        ready = [e for e in message.destination.endpoints if e.ready]
        opens = min((self.open_at(message, e) for e in ready), default=math.inf) - self.now
        return max(PAUSE_MS, min(opens, REST_TOP_MS, self.settings.max_retry_after_ms))

    def close(self, message: Message) -> None:
        """The message is over; its attempts that are still out are called off and awaited."""
        message.destination.release(message)
        if not message.over and self.settings.may_cancel:
            for number, call in enumerate(message.attempts):
                if call is not None:
                    self.actions.append(api.Cancel(message.id, number))
        message.over = True
        self.forget(message)

    def forget(self, message: Message) -> None:
        if message.over and not message.out and self.messages.pop(message.id, None) and message.key:
            self.turns[message.key].line.remove(message)

    # Outcomes

    def attempt_ended(self, event: AttemptEnded) -> None:
        message = self.messages.get(event.message)
        call = message.attempts[event.attempt] if message and event.attempt < len(message.attempts) else None
        if call is None:
            return
        message.attempts[event.attempt] = None
        message.out -= 1
        if call.abandoned and event.outcome is Outcome.CANCELLED:
            event = replace(event, outcome=Outcome.TIMEOUT)  # and that is what it was
        if event.outcome is Outcome.NOT_EXECUTED and self.now >= call.start_by - LOOKS_MS:
            call.endpoint.came_up = True
            event = replace(event, outcome=Outcome.CONNECT_FAILED)
        self.settle(call, event)
        if not event.outcome.never_ran and call.sent_at < message.ran_at:
            message.ran_at, message.ran_zone = call.sent_at, call.endpoint.zone
        if message.key and event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            self.turns[message.key].rests_until = self.now + self.settings.order_settle_ms
        if message.over:
            self.forget(message)
        elif event.finished:
            self.close(message)
        elif not message.out:
            self.try_further(message, call, event.outcome)

    def settle(self, call: Call, event: AttemptEnded) -> None:
        """Free the slot when all messages of the call are back; learn from a call once."""
        call.left -= 1
        if not call.left:
            self.slots_in_use -= 1
            del call.destination.calls[call.number], call.endpoint.calls[call.number]
            self.note_connection(call, event)
            if call.endpoint.state is State.GONE:
                self.remove(call.endpoint)
        call.endpoint.lane.heed(self.now, event.wait_ms)  # each message of a call may tell a wait of its own
        if call.judged or event.outcome in (Outcome.NOT_EXECUTED, Outcome.CANCELLED):
            return
        call.judged = True
        if event.outcome is Outcome.CONNECT_FAILED and not call.endpoint.strikes:
            self.shorten_keep_alive(max(self.keep_ms(), KEEP_FULL * self.settings.conn_idle_ms))
        elif call.idle_ms and event.outcome in (Outcome.RESET, Outcome.TIMEOUT) and not self.lasts(call):
            self.shorten_keep_alive(call.idle_ms)
            return
        self.learn(call.endpoint, event.outcome, call.sent_at, event.wait_ms)
        if event.outcome is Outcome.OK:
            self.time_call(call, event.took_ms)
            for other in call.endpoint.calls.values():
                other.overtaken += other.sent_at < call.sent_at

    def note_connection(self, call: Call, event: AttemptEnded) -> None:
        """Which connections are idle: as told, or else as the outcome has it."""
        if event.idled_ms is not None:
            if call.idle_ms and not event.idled_ms:
                call.endpoint.idle.clear()  # an idle one would have been used: none was left
            call.idle_ms = event.idled_ms
        kept = (
            event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL) if event.kept is None else event.kept
        )
        if kept:
            call.endpoint.idle.append(self.now)
            self.parked.append((self.now, call.endpoint))

    # Connections are kept idle for as long as they are seen to last. Guards against those dropped unseen, on
    # which a message may be lost; such a failure tells nothing of the endpoint. Guards as well against tables
    # full of idle ones, where connects fail. It hurts where an outage is taken for either: more handshakes.

    def keep_ms(self) -> float:
        grown = self.keep * 2.0 ** min((self.now - self.keep_at) / KEEP_DOUBLES_MS, 64.0)
        return min(grown, self.settings.conn_idle_ms)

    def lasts(self, call: Call) -> bool:
        """Another call was answered of late on a connection that had idled as long: it is not to blame."""
        return self.proven >= call.idle_ms and self.proven_at >= call.sent_at - FLOW_MS

    def shorten_keep_alive(self, idle_ms: float) -> None:
        self.keep = max(min(self.keep_ms(), KEEP_CUT * idle_ms), KEEP_LEAST * self.settings.conn_idle_ms)
        self.keep_at = self.now

    def hang_up(self) -> None:
        oldest = self.now - self.keep_ms()
        while self.parked and self.parked[0][0] <= oldest:
            endpoint = self.parked.popleft()[1]
            if endpoint.idle and endpoint.idle[0] <= oldest:
                endpoint.idle.clear()
                self.actions.append(api.CloseIdleConnections(endpoint.name))

    def time_call(self, call: Call, took: float) -> None:
        if call.idle_ms >= self.proven or self.now - self.proven_at > FLOW_MS:
            self.proven, self.proven_at = call.idle_ms, self.now
        if call.cls not in self.expected_ms:  # its class was dropped, and its last message withdrawn
            return
        ratio = took / self.expected_ms[call.cls]
        destination = call.destination
        destination.stretch += STRETCH_GAIN * (ratio - destination.stretch)
        expected = took / max(destination.stretch, LEAST_STRETCH)
        self.expected_ms[call.cls] += USUAL_GAIN * (expected - self.expected_ms[call.cls])

    def learn(self, endpoint: Endpoint, outcome: Outcome, sent_at: float, told_wait: float) -> None:
        """Score the endpoint, keep its lane's limit and its breaker."""
        success = outcome is Outcome.OK
        endpoint.rate(self.now, success)
        if outcome is not Outcome.CONNECT_FAILED and outcome is not Outcome.TIMEOUT:
            endpoint.answered_at = endpoint.lane.answered_at = self.now
        if success:
            endpoint.strikes, endpoint.lane.strikes = 0, 0.0
            self.recovered(endpoint)
            endpoint.came_up = False
            endpoint.served_at = endpoint.lane.served_at = self.now
            endpoint.blamed = False
            endpoint.lane.note_taken(self.now, endpoint.cold)
            return
        endpoint.failed_at = self.now
        shut = told_wait > self.settings.fall_ms
        endpoint.blamed |= shut or outcome in (Outcome.ERROR, Outcome.TIMEOUT)
        if outcome is Outcome.FULL:
            endpoint.lane.note_full(self.now, sent_at, told_wait, self.random, self.settings.dispatchers)
        unheard = outcome is Outcome.CONNECT_FAILED and self.now - sent_at > SILENCE_MS
        if sent_at >= endpoint.struck_at:
            strikes = 2.0 if unheard else STRIKE.get(outcome, 2.0)
            endpoint.strikes += strikes
            if not endpoint.tripped and outcome is not Outcome.FULL:
                endpoint.lane.strikes += 2.0 if unheard else min(strikes, 1.0)  # others may be at fault
            if unheard:
                endpoint.lane.unheard_at = self.now
            endpoint.struck_at = self.now
        failing = endpoint.score < PRIOR and endpoint.strikes > 2  # one refusal proves no outage
        unheard = unheard and endpoint.answered_at < sent_at
        if endpoint.strikes >= STRIKES or failing or shut or unheard:
            self.trip(endpoint, sent_at)
        self.trip_others(endpoint, sent_at, unheard)

    # Outages: a circuit breaker that opens on failures of any kind, tries one call at a time while half open
    # and then lets the endpoint warm up. It guards against pushing over what returns cold, and against
    # feeding messages to what is down, shut or silent. It hurts where failures were chance: where these were
    # the network's and it serves again at once, it is as warm as it was. That hurts if it restarted at once.

    def trip(self, endpoint: Endpoint, sent_at: float, early: bool = True) -> None:
        if endpoint.tripped and sent_at < endpoint.opens_at:
            return
        gap = math.inf
        if not endpoint.cold:
            endpoint.cold, gap = True, BLINK_TRIAL_MS
            self.actions.append(api.RecordColdState(endpoint.name, True, endpoint.lane.part()))
        endpoint.tripped = True
        if gap < math.inf and (not early or self.doubted(endpoint.lane)):  # no blink: as after a restart
            endpoint.opens_at = self.now + self.cold_gap(endpoint) * self.random.random()
            return
        gap = min(self.cold_gap(endpoint), gap)
        endpoint.opens_at = self.now + gap * self.random.uniform(*JITTER)

    def trip_others(self, endpoint: Endpoint, sent_at: float, unheard: bool) -> None:
        """Guards against an outage of all of a lane's endpoints that each shows by a failure or two, for who
        sends little: those that failed since one of them served trip together, and as connects come to
        nothing, those beside it that have not answered since. It hurts where one outlived the others."""
        lane = endpoint.lane
        for other in lane.endpoints:
            quiet = unheard and other.zone == endpoint.zone and other.answered_at < sent_at
            failing = lane.strikes > 2 and other.score_at(self.now) < PRIOR
            if other.tripped or not (quiet or other.struck_at > lane.served_at):
                continue
            if lane.strikes >= STRIKES or failing:
                self.trip(other, sent_at, early=False)

    def remembered(self, endpoint: Endpoint, pace: float) -> None:
        """Guards against a restart in mid-outage: what was cold before it is tried as if none had been."""
        taken = endpoint.lane.taken
        taken.count, taken.at, taken.since = pace * PART_MS / 1000.0, self.now, -math.inf
        endpoint.cold = endpoint.tripped = True
        endpoint.failed_at = self.now
        # Many may have restarted together, at the return even: their first trials come as a stream, at the
        # pace of trials in an outage. One alone need not wait, and few wait less.
        spread = self.cold_gap(endpoint) * (1.0 - 1.0 / self.settings.dispatchers)
        endpoint.warm, endpoint.opens_at = self.settings.cold_from, self.now + self.random.random() * spread

    def recovered(self, endpoint: Endpoint) -> None:
        if endpoint.tripped:
            # It returned at some time since it was last seen to fail: in the middle, on the mean of all.
            unseen = min(self.now - endpoint.failed_at, UNSEEN_MS) / 2.0
            endpoint.tripped, endpoint.strikes, endpoint.score = False, 0, max(endpoint.score, PRIOR)
            if endpoint.blamed or self.now - endpoint.served_at > BLINK_MS:
                endpoint.warm, endpoint.warm_at = self.settings.cold_from, self.now - unseen
                endpoint.opens_at = self.now + self.cold_gap(endpoint)
            elif endpoint.warm == 1.0:
                self.warmed(endpoint)

    def warmth(self, endpoint: Endpoint) -> float:
        """The share of its capacity that a returned endpoint is sure to have by now."""
        if endpoint.tripped:
            return self.settings.cold_from
        if endpoint.warm == 1.0:
            return 1.0
        grown = (1.0 - self.settings.cold_from) * (self.now - endpoint.warm_at)
        warm = min(endpoint.warm + grown / max(self.settings.warm_within_ms, 1.0), 1.0)
        if warm == 1.0:
            self.warmed(endpoint)
        return warm

    def warmed(self, endpoint: Endpoint) -> None:
        endpoint.warm, endpoint.cold = 1.0, False
        self.actions.append(api.RecordColdState(endpoint.name, False))

    def cold_gap(self, endpoint: Endpoint) -> float:
        """Time between calls to an endpoint that is cold: our part of what it can do, as told or observed."""
        lane = endpoint.lane
        pace = max(lane.part(), lane.told_rate / self.settings.dispatchers)
        shared = sum(1 for other in lane.endpoints if other.ready) or 1
        pace *= RETURN_SHARE * self.settings.fall_multiple * self.warmth(endpoint) / shared
        if not endpoint.tripped:  # what it took before was asked of it, not all that it can do
            quiet = self.now - max(endpoint.warm_at, endpoint.failed_at)
            pace *= math.exp(RETURN_GROW_PER_S * quiet / 1000.0)
        gap = min(1000.0 / max(pace, 1e-9), TRIAL_GAP_MS * self.settings.dispatchers * shared)
        return max(gap / TRIAL_SHARE, PAUSE_MS) if endpoint.tripped else gap

    # The mechanism: what to do with a message next

    def try_further(self, message: Message, call: Call, outcome: Outcome) -> None:
        """After a failed attempt: stay at the first endpoint for quick failures only, else the next plan."""
        if not self.may_resend(message):
            self.give_up(message)
            return
        if outcome in (Outcome.ERROR, Outcome.RESET) and call.endpoint is message.first and message.retries:
            message.retries -= 1
        elif outcome is not Outcome.NOT_EXECUTED:
            message.retries = 0
            if message.plans is None:
                message.plans = self.plan(message)
        message.tries += 1
        rest = RETRY_CALLS * self.usual_call(message) * 2.0 ** (message.tries - 1)
        message.not_before = self.now + min(rest, REST_TOP_MS) if outcome is not Outcome.FULL else self.now
        self.hold(message)

    def may_resend(self, message: Message) -> bool:
        if len(message.attempts) >= message.most or self.now >= self.latest_start(message):
            return False
        return message.ran_at == math.inf or message.cls.effect is not Effect.UNSAFE

    def allowed(self, message: Message, endpoint: Endpoint) -> bool:
        """The rules on drains and on repeats."""
        keyed = message.cls.effect is Effect.KEYED and message.cls.group is not api.Group.ALL
        bound = keyed and message.ran_at < math.inf
        return endpoint.ready and (not bound or endpoint.zone == message.ran_zone)

    def rank(self, endpoint: Endpoint) -> float:
        """The score, less what tells near equals apart: calls already out, the fee, a new connection."""
        fees = self.settings.zone_fees
        fee = fees[endpoint.zone] if fees and self.settings.kinds[endpoint.kind].apart else 0.0
        return (
            endpoint.score_at(self.now)
            - LOAD_DISCOUNT * len(endpoint.calls)
            - FEE_DISCOUNT * fee
            - (0.0 if endpoint.idle else COLD_CONN_DISCOUNT)
            - (endpoint.lane.score_penalty if self.now < endpoint.lane.allowed_until else 0.0)
        )

    def ranked(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        return sorted(endpoints, key=self.rank, reverse=True)

    def plan(self, message: Message) -> list[list[Endpoint]]:
        """Algorithm 1 over the endpoints after the first; what is left at the end makes a last plan."""
        rest = self.ranked([e for e in message.destination.endpoints if e is not message.first and e.ready])
        plans, members, missing, least = [], [], 1.0, 1
        for endpoint in rest:
            members.append(endpoint)
            missing *= 1.0 - endpoint.score_at(self.now)
            if len(members) >= least and 1.0 - missing >= TARGET:
                plans.append(members)
                least, members, missing = len(members), [], 1.0
        return plans + [members] if members else plans

    def targets(self, message: Message) -> list[Endpoint]:
        """Where the message goes next, or nothing while it must be held."""
        if message.plans is None:
            if message.first is None or not self.allowed(message, message.first):
                usable = [e for e in message.destination.endpoints if self.usable(message, e)]
                return self.ranked(usable)[:1]
            if self.usable(message, message.first):
                return [message.first]
            message.plans = self.plan(message)
        while message.plans:
            members = [e for e in message.plans[0] if self.usable(message, e)]
            if members:
                return members if self.copies(message) else members[:1]
            if any(self.allowed(message, e) and not e.tripped for e in message.plans[0]):
                break
            message.plans.pop(0)
        if not message.plans:
            message.start_over()
        usable = [e for e in message.destination.endpoints if self.usable(message, e)]
        return self.ranked(usable)[:1]

    def copies(self, message: Message) -> bool:
        return self.settings.second_copies and message.cls.effect is Effect.SAFE and not message.key

    def usable(self, message: Message, endpoint: Endpoint) -> bool:
        return self.allowed(message, endpoint) and self.open_at(message, endpoint) <= self.now

    def open_at(self, message: Message, endpoint: Endpoint) -> float:
        """When waits, pace, breaker and silence let a call go there; infinite if only an outcome tells."""
        at = endpoint.lane.open_at(self.now)
        if endpoint.tripped:
            at = max(at, self.hope_ends(endpoint))
            unsafe = message.cls.effect is Effect.UNSAFE  # a trial may lose it: others go first
            return max(at, endpoint.opens_at + (self.cold_gap(endpoint) if unsafe else 0.0))
        if endpoint.warm < 1.0:
            at = max(at, endpoint.opens_at)
        if self.silent(endpoint) or self.doubted(endpoint.lane):
            at = max(at, self.hope_ends(endpoint))
        return math.inf if self.no_slot(endpoint) else at

    def silent(self, endpoint: Endpoint) -> bool:
        """Guards against filling slots with calls to what hangs: the oldest call is long overdue and nothing
        has been answered since it went."""
        call = next(iter(endpoint.calls.values()), None)
        late = call is not None and self.now - call.sent_at > SILENT_CALL * call.expected_ms
        return late and endpoint.answered_at < call.sent_at

    def doubted(self, lane: Lane) -> bool:
        """Guards against connects that wait for what is gone, and all end or arrive as it comes back: one was
        given up and nothing answered since, so they go one at a time, of each dispatcher."""
        return lane.answered_at < lane.unheard_at

    def hope_ends(self, endpoint: Endpoint) -> float:
        """When none of the calls out there may still be answered, and one more finds out: it guards against
        an endpoint that is left alone while an unsafe call on a dead connection is out."""
        return max((call.lost_at for call in endpoint.calls.values()), default=-math.inf)

    # Sending

    def cap(self, destination: Destination) -> int:
        """The bulkhead: slots that one destination may hold."""
        ready = [e for e in destination.endpoints if e.ready]
        sick = any(e in self.slow or e.score_at(self.now) < PRIOR for e in ready)
        return max(int(self.settings.slots * (SICK_SHARE if sick else DEST_SHARE)), 1)

    def is_slow(self, endpoint: Endpoint) -> bool:
        """It has a slow call, or one of its destination's others has and it has not answered since."""
        at = [call.sent_at for e in endpoint.destination.endpoints if (call := self.slow_call(e))]
        return bool(at) and (endpoint.answered_at < max(at) or self.slow_call(endpoint) is not None)

    def slow_call(self, endpoint: Endpoint) -> Call | None:
        oldest = next(iter(endpoint.calls.values()), None)
        return oldest if oldest and self.now - oldest.sent_at > SLOW_CALL * oldest.expected_ms else None

    def no_slot(self, endpoint: Endpoint) -> bool:
        """Slow endpoints share one part of the slots, with all destinations together. It guards against slots
        that all wait for what is slow or hangs, and, as it goes by endpoint, against one that hangs while its
        destination's others could take the messages. It hurts where one long call is taken for slowness."""
        if endpoint not in self.slow:
            return False
        return sum(len(slow.calls) for slow in self.slow) >= int(self.settings.slots * SICK_SHARE)

    def urgency(self, message: Message) -> float:
        """Worth that waiting loses: grows as the aim comes near, then follows the worth that is left."""
        cls, call = message.cls, self.usual_call(message)
        age = self.now + call - message.born
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
        patience = PATIENCE * cls.aim_ms
        if message.destination.backlog > cls.aim_ms:
            patience = max(patience, CROWD_PATIENCE * (message.destination.backlog - cls.aim_ms))
        return worth / cls.aim_ms * math.exp(-slack / patience)

    def ready(self, message: Message) -> bool:
        if message.not_before > self.now or self.held_back(message):
            return False
        if not message.key:
            return True
        turn = self.turns[message.key]
        return turn.line[0] is message and (turn.rests_until <= self.now or bool(message.attempts))

    def held_back(self, message: Message) -> bool:
        """Guards against an unsafe call that is out when the process ends: nobody would know what it did."""
        if message.cls.effect is not Effect.UNSAFE or self.leaves_at == math.inf:
            return False
        return self.now + LEAVE_CALLS * self.usual_call(message) > self.leaves_at

    def waiting(self, destination: Destination) -> Collection[Message]:
        """Who may go, the most urgent first. Within a moment that changes by who has gone and the backlog
        alone. It guards against a full house: to weigh all that are held anew for each call took a second
        for some thousands."""
        backlog, line = self.lines.get(destination, (None, {}))
        if backlog != destination.backlog:
            held = [m for m in destination.held.values() if self.ready(m)]
            line = {m.id: m for m in sorted(held, key=self.urgency, reverse=True)}
            self.lines[destination] = destination.backlog, line
        return line.values()

    def best_held(self, destination: Destination) -> tuple[float, Message, list[Endpoint]] | None:
        if not destination.held or len(destination.calls) >= self.cap(destination):
            return None
        if not any(e.lane.open_at(self.now) <= self.now for e in destination.endpoints):
            return None
        destination.note_backlog(self.now, self.settings.kinds)
        waiting = self.waiting(destination)
        for message in waiting:
            targets = self.targets(message)
            if targets:
                return self.gain(message, targets, len(waiting)), message, targets
        return None

    def gain(self, message: Message, targets: list[Endpoint], waiting: int) -> float:
        """What a call saves for the time that it holds its slot: urgency, of all that it takes along. It
        guards against slots that are full of calls to what is slow; there messages wait longer."""
        batch = 1 if targets[0].tripped or len(targets) > 1 else self.settings.kinds[targets[0].kind].batch
        lasts = self.expected_ms[message.cls.name] * max(message.destination.stretch, LEAST_STRETCH)
        return self.urgency(message) * min(batch, waiting) / lasts

    def dispatch(self) -> None:
        """Send the most urgent messages while slots last."""
        choices = {}
        self.lines.clear()
        if self.slots_in_use < self.settings.slots:
            self.slow = {endpoint for endpoint in self.endpoints.values() if self.is_slow(endpoint)}
            bests = ((number, self.best_held(held)) for number, held in self.destinations.items())
            choices = {number: best for number, best in bests if best}
        while choices and self.slots_in_use < self.settings.slots:
            number = max(choices, key=lambda n: choices[n][0])
            _, message, targets = choices.pop(number)
            self.send(message, targets)
            if best := self.best_held(message.destination):
                choices[number] = best

    def abandon(self) -> None:
        """Guards against slots that are held by calls on connections that have fallen silent, for as long as
        an unsafe call is waited for, while messages wait. That later calls to the endpoint were delivered
        tells a dead connection from a slow endpoint. It hurts where an answer was still to come: an unsafe
        message is failed then."""
        if not any(destination.held for destination in self.destinations.values()):
            return
        for endpoint in self.endpoints.values():
            for call in endpoint.calls.values():
                if call.overtaken >= OVERTAKEN and call.lost_at < self.now and not call.abandoned:
                    call.abandoned = True
                    self.actions += [api.Cancel(m.id, n) for m, n in call.riders if m.attempts[n] is call]

    def send(self, message: Message, targets: list[Endpoint]) -> None:
        destination = message.destination
        room = min(self.settings.slots - self.slots_in_use, self.cap(destination) - len(destination.calls))
        room = min(room, message.most - len(message.attempts))
        targets = targets[: max(room, 1)]
        if message.first is None:
            message.first = targets[0]
        if message.plans:
            plan = [e for e in message.plans[0] if e not in targets]
            message.plans = ([plan] if plan and not self.copies(message) else []) + message.plans[1:]
        for endpoint in targets:
            call = self.call(message, endpoint)
            self.attempt(message, call)
            if endpoint is targets[0] and len(targets) == 1:
                self.fill(call)

    def call(self, message: Message, endpoint: Endpoint) -> Call:
        self.calls_made += 1
        destination, expected_ms = message.destination, self.usual_call(message)
        call = Call(self.calls_made, endpoint, message, self.now, expected_ms)
        self.slots_in_use += 1
        destination.calls[call.number] = endpoint.calls[call.number] = call
        guided = self.now < endpoint.lane.allowed_until  # dispatchers with like shares must not act in step
        endpoint.lane.note_sent(self.now, self.random.uniform(*JITTER) if guided else 1.0)
        if endpoint.warm < 1.0 and not endpoint.tripped:
            endpoint.opens_at = max(endpoint.opens_at, self.now) + self.cold_gap(endpoint)
        return call

    def attempt(self, message: Message, call: Call) -> None:
        message.destination.release(message)
        if (line := self.lines.get(message.destination)) is not None:
            line[1].pop(message.id, None)
        message.attempts.append(call)
        call.carry(message, len(message.attempts) - 1)
        aims = TIMEOUT_AIMS[message.cls.effect]
        if call.idle_ms and self.keep_ms() < self.settings.conn_idle_ms:  # it may have been dropped unseen
            aims *= DOUBTED_SHARE
        patience = max(TIMEOUT_CALLS * call.expected_ms, aims * message.cls.aim_ms)
        stop_at = min(self.now + patience, message.deadline)
        doubted = call.endpoint.tripped or self.doubted(call.endpoint.lane)
        if doubted and not call.endpoint.came_up:  # what waits through an outage would come in as it ends
            call.start_by = self.now + SILENCE_MS
        start_by = min(message.window_ends, call.start_by)
        self.actions.append(api.Send(message.id, call.endpoint.name, stop_at, start_by))

    def fill(self, call: Call) -> None:
        """Messages of one round to one endpoint share the call where the kind takes several."""
        room = self.settings.kinds[call.endpoint.kind].batch - 1
        if room <= 0 or call.endpoint.tripped:
            return
        riders = [m for m in self.waiting(call.destination) if self.allowed(m, call.endpoint)]
        for message in riders[:room]:
            if message.first is None:
                message.first = call.endpoint
            self.attempt(message, call)

    def held_by_destination(self) -> dict[int, tuple[int, float]]:
        """Messages that are held and their worth, by destination: what a planner asks for."""
        return {
            number: (len(destination.held), sum(message.worth for message in destination.held.values()))
            for number, destination in self.destinations.items()
            if destination.held
        }

    # The next wake-up

    def set_alarm(self) -> None:
        """Keep one reminder ahead: the earliest moment at which something held could change."""
        at = min(self.ask_at, self.ends[0][0] if self.ends else math.inf)
        if self.slots_in_use < self.settings.slots:
            for destination in self.destinations.values():
                if destination.held:
                    at = min(at, self.next_chance(destination))
        at = max(at, self.now + self.settings.tick_ms)
        if at < self.wakes_at:
            self.wakes_at = at
            self.actions.append(api.SetTimer(at - self.now))

    def next_chance(self, destination: Destination) -> float:
        message = next(iter(destination.held.values()))
        ready = [e for e in destination.endpoints if e.ready]
        opens = min((self.open_at(message, e) for e in ready), default=math.inf)
        rests = math.inf
        for held in destination.held.values():
            rest = max(held.not_before, self.turns[held.key].rests_until if held.key else -math.inf)
            rests = min(rests, rest if rest > self.now else math.inf)
        return rests if opens <= self.now else min(opens, rests)
