"""What goes into and comes out of `crowpier.logic.Dispatcher`: settings, events, actions.

Times are milliseconds. Classes, kinds, zones and tenants are indexes into the tuples of `Settings`; endpoint
ids are strings chosen by the caller, message ids are numbers that must never be reused.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any


class Effect(enum.Enum):
    """What a repeat of a message does: SAFE nothing, KEYED nothing within its group and window."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(enum.Enum):
    """Which endpoints of a destination recognise the repeat of a keyed message."""

    ALL = "all"
    ZONE = "zone"


class State(enum.IntEnum):
    """State of an endpoint in the directory's list, independent of its health."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(enum.Enum):
    """`CACHED` and `FULL` replace the list, `DELTA` changes it, `FAILED` tells of a failed request."""

    FULL = "full"
    CACHED = "cached"
    DELTA = "delta"
    FAILED = "failed"


class Health(enum.StrEnum):
    """How much an endpoint is called: by trials alone, at a rate that grows, or as fast as limits permit."""

    TRIPPED = "tripped"
    SLOW_START = "slow start"
    WARM = "warm"


class HealthReason(enum.StrEnum):
    """Why the health of an endpoint changed."""

    FAILURES = "calls failed"
    UNANSWERED = "a connect was not answered"
    TOLD_WAIT = "it told a long wait"
    SIBLING = "another endpoint of its destination"
    FAILED_TRIAL = "a trial failed"
    SERVED = "a call was served"
    BRIEF = "it was away too briefly to be cold"
    WARMED_UP = "its slow start is over"
    RESTARTED = "it was restarted"
    RESTORED = "an earlier process knew it as cold"
    IN_COLD_LANE = "it is new in the place of cold ones"


class Outcome(enum.IntEnum):
    """How an attempt ended."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_EXECUTED = 7

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the message was not executed."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_EXECUTED)


def _check(value: object, key: str, low: float, high: float = math.inf) -> None:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
        raise ValueError(f"settings: {key} must be a number from {low:g} to {high:g}, not {value!r}")
    if math.isinf(value):
        raise ValueError(f"settings: {key} must be finite, not {value!r}")


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A class of messages: `worth` is earned in full within `aim_ms` and falls to the share `late_worth`."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: Group = Group.ALL
    window_ms: float = 0.0
    in_order: bool = False

    def __post_init__(self) -> None:
        _check(self.aim_ms, f"class {self.name}: aim_ms", 1)
        _check(self.deadline_ms, f"class {self.name}: deadline_ms", 1)
        _check(self.worth, f"class {self.name}: worth", 0)
        _check(self.late_worth, f"class {self.name}: late_worth", 0, 1)
        _check(self.window_ms, f"class {self.name}: window_ms", 0)


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of destination: whether its endpoints are separate routes, and the messages per call."""

    name: str
    apart: bool = False
    batch: int = 1

    def __post_init__(self) -> None:
        _check(self.batch, f"kind {self.name}: batch", 1)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A sender; its messages beyond `allowance_per_s` (of all dispatchers together) lose worth."""

    name: str
    share: float = 1.0
    allowance_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a dispatcher. A `ValueError` names the first field that is out of range."""

    classes: tuple[MessageClass, ...]
    kinds: tuple[Kind, ...]
    zones: tuple[str, ...]
    slots: int
    max_held: int
    tenants: tuple[Tenant, ...] = ()
    zone_fees: tuple[float, ...] = ()
    dispatchers: int = 1
    index: int = 0
    tick_ms: float = 1.0
    max_attempts: int = 8
    second_copies: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 1000.0
    conn_idle_ms: float = 10000.0
    subscribes: bool = False
    advertised_rates: bool = False
    worth_halves: bool = False
    over_share_worth: float = 1.0
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    order_settle_ms: float = 0.0
    cold_from: float = 0.2
    warm_within_ms: float = 10000.0
    fall_multiple: float = 2.0
    fall_ms: float = 2000.0

    def __post_init__(self) -> None:
        if not self.classes or not self.kinds or not self.zones:
            raise ValueError("settings: classes, kinds and zones must not be empty")
        names = [cls.name for cls in self.classes]
        if twice := {name for name in names if names.count(name) > 1}:
            raise ValueError(f"settings: class {min(twice)} is defined twice: class names must be unique")
        if self.zone_fees and len(self.zone_fees) != len(self.zones):
            raise ValueError("settings: zone_fees must have one fee for each zone, or none")
        for key in ("slots", "max_held", "dispatchers", "max_attempts"):
            _check(getattr(self, key), key, 1)
        for key in (
            "index",
            "tick_ms",
            "max_retry_after_ms",
            "connect_timeout_ms",
            "conn_idle_ms",
            "answer_slack_ms",
            "drain_grace_ms",
            "order_settle_ms",
            "fall_ms",
            "warm_within_ms",
        ):
            _check(getattr(self, key), key, 0)
        _check(self.over_share_worth, "over_share_worth", 0, 1)
        _check(self.cold_from, "cold_from", 0.001, 1)
        _check(self.fall_multiple, "fall_multiple", 0.001)


# Events


@dataclass(frozen=True, slots=True)
class Entry:
    """An endpoint in the list; `rate_per_s` is the advertised limit of its destination or separate route."""

    endpoint: str
    destination: int
    kind: int = 0
    zone: int = 0
    state: State = State.READY
    rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """The list of endpoints, or a change of it, from the directory."""

    kind: ListKind
    version: int = 0
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Terms:
    """The settings that held when a message was accepted."""

    cls: MessageClass
    max_attempts: int


@dataclass(frozen=True, slots=True)
class AttemptInProgress:
    """An attempt that an earlier process is finishing. Attempts of one `call` share a slot."""

    attempt: int
    endpoint: str
    call: int
    sent_ago_ms: float


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    """A message was accepted; it must end exactly once, within `left_ms`.

    A message from an earlier process has the number of its `attempts` so far. If one of those that ended may
    have been executed, `ran_ago_ms` and `ran_endpoint` say when and where the first such was sent. `terms`
    are set where the settings at its acceptance differ from now; they hold to its end. `out` are its attempts
    that the earlier process is still finishing; their outcomes arrive like any other.
    """

    message: int
    cls: int
    destination: int
    left_ms: float
    tenant: int = 0
    key: int = 0
    again: bool = False
    attempts: int = 0
    ran_ago_ms: float | None = None
    ran_endpoint: str = ""
    untried: bool = False  # accepted by an earlier process that made no attempt: one must still be made
    terms: Terms | None = None
    out: tuple[AttemptInProgress, ...] = ()


@dataclass(frozen=True, slots=True)
class ColdStateRestored:
    """At the start: the latest `RecordColdState` of an earlier process said that the endpoint is cold."""

    endpoint: str
    pace_per_s: float


@dataclass(frozen=True, slots=True)
class Detached:
    """Operators took the endpoint out: nothing new is sent there until `Attached`, whatever the list says and
    even if it is not listed."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Attached:
    """The endpoint may serve again. It was restarted, hence is cold, which does not lower its score."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Reconfigured:
    """New settings for messages accepted from now on. Earlier messages keep their class and number of
    attempts; what was learned about endpoints stays."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class LearnedStateRestored:
    """The export of an earlier process (`crowpier.learned.export`); our clock is `ahead_ms` ahead of its."""

    state: Mapping[str, Any]
    ahead_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ShutdownScheduled:
    """The process will end in `in_ms`; calls in flight by then have no known outcome."""

    in_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended; `finished` says that the message is done and needs no answer.

    Where known, `idled_ms` is how long the call's connection had been idle before (0: it was new, or was
    never established) and `kept` whether it is idle again. `wait_ms` is the retry-after of a refusal.
    """

    message: int
    attempt: int
    endpoint: str
    outcome: Outcome
    took_ms: float
    finished: bool = False
    wait_ms: float = 0.0
    idled_ms: float | None = None
    kept: bool | None = None


@dataclass(frozen=True, slots=True)
class IdleConnectionClosed:
    """An idle connection to the endpoint ended without a `CloseIdleConnections`."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe ended."""

    endpoint: str
    outcome: Outcome
    took_ms: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer of a `SetTimer` fired."""

    token: int = 0


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client no longer wants this message; it needs no answer."""

    message: int


@dataclass(frozen=True, slots=True)
class SendAllowance:
    """A planner's allowance for `for_ms`: at most `per_s` calls a second on a lane, with `burst` at once. The
    lane is a destination, or an endpoint where routes are separate. The lower of this and the learned limit
    holds. `wait_ms` is a wait that another dispatcher was told; `score_penalty` lowers the score of the
    lane's endpoints. For `slots_ms`, calls are sent at the times `slots` (ms from now), numbered from `slot`:
    a slot that was announced before counts once.
    """

    lane: int | str
    per_s: float
    burst: float = 1.0
    for_ms: float = 1000.0
    wait_ms: float = 0.0
    score_penalty: float = 0.0
    slots_ms: float = 0.0
    slot: int = 0
    slots: tuple[float, ...] = ()

    def __post_init__(self) -> None:
        for key in ("per_s", "for_ms", "wait_ms", "score_penalty", "slots_ms", "slot"):
            if not getattr(self, key) >= 0:
                raise ValueError(f"allowed: {key} must be 0 or more, not {getattr(self, key)!r}")
        if not self.burst >= 1:
            raise ValueError(f"allowed: burst must be 1 or more, not {self.burst!r}")
        if not all(math.isfinite(at) for at in self.slots):
            raise ValueError("allowed: slots must be finite numbers")


Event = (
    EndpointListReceived
    | MessageAccepted
    | AttemptEnded
    | IdleConnectionClosed
    | ProbeEnded
    | TimerFired
    | Withdrawn
    | ColdStateRestored
    | ShutdownScheduled
    | SendAllowance
    | Detached
    | Attached
    | Reconfigured
    | LearnedStateRestored
)


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Call the endpoint with the message; sends of a message number its attempts from 0. The attempt times
    out at `timeout_at_ms`. A call that has not begun by `start_by_ms` must not begin any more, and ends as
    `NOT_EXECUTED`, since its connection came up too late."""

    message: int
    endpoint: str
    timeout_at_ms: float = 0.0
    start_by_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel one attempt."""

    message: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, the message may have been executed."""

    message: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not executed, so the client may safely submit it again, not before `retry_after_ms`."""

    message: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Probe:
    """Check an endpoint without a message."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to the endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Pass a `TimerFired` after `in_ms`, in a later batch."""

    in_ms: float
    token: int = 0


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask the directory for the list and its changes."""


@dataclass(frozen=True, slots=True)
class RecordColdState:
    """Persist whether the endpoint is `cold`, with the rate that it served before."""

    endpoint: str
    cold: bool
    pace_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class HealthChanged:
    """For on-call staff: the health of an endpoint changed. `calls_per_s` is how fast it may be called now,
    `wait_ms` how long its destination is left alone before. `calls` and `messages` are those that it got
    since it last was warm, and `largest_call` the most messages in one of them."""

    endpoint: str
    destination: int
    health: Health
    reason: HealthReason
    calls_per_s: float
    wait_ms: float
    calls: int
    messages: int
    largest_call: int


@dataclass(frozen=True, slots=True)
class Log:
    """A line for on-call staff."""

    text: str = field(default="")


Action = (
    Send
    | Cancel
    | Fail
    | Refuse
    | Probe
    | CloseIdleConnections
    | SetTimer
    | Subscribe
    | RecordColdState
    | HealthChanged
    | Log
)
