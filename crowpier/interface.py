"""What goes into and comes out of `crowpier.logic.Dispatcher`: settings, events, actions.

Times are milliseconds. Classes, kinds, zones and tenants are positions in the tuples of `Settings`; endpoints
are strings of the caller's choosing and messages are numbers, never used twice.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any


class Effect(enum.Enum):
    """What a second execution of a message would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(enum.Enum):
    """Which endpoints of a destination drop the repeat of a keyed message."""

    ALL = "all"
    ZONE = "zone"


class State(enum.IntEnum):
    """What the list says of an endpoint; it says nothing of health."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(enum.Enum):
    """`CACHED` and `FULL` replace the list, `DELTA` changes it, `FAILED` answers a request in vain."""

    FULL = "full"
    CACHED = "cached"
    DELTA = "delta"
    FAILED = "failed"


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
        """True where the outcome proves that the message did not run."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_EXECUTED)


def _check(value: object, key: str, low: float, high: float = math.inf) -> None:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
        raise ValueError(f"settings: {key} must be a number from {low:g} to {high:g}, not {value!r}")
    if math.isinf(value):
        raise ValueError(f"settings: {key} must be finite, not {value!r}")


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A class of messages; `worth` is earned in full within `aim_ms` and falls to `late_worth` of it."""

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
    """A kind of destination: are its endpoints routes apart, and how many messages fit one call."""

    name: str
    apart: bool = False
    batch: int = 1

    def __post_init__(self) -> None:
        _check(self.batch, f"kind {self.name}: batch", 1)


@dataclass(frozen=True, slots=True)
class Tenant:
    """Whom messages come from; beyond `allowance_per_s` (all dispatchers together) they are worth little."""

    name: str
    share: float = 1.0
    allowance_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a dispatcher is told at its start."""

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
            raise ValueError("settings: classes, kinds and zones must each name at least one")
        names = [cls.name for cls in self.classes]
        if twice := {name for name in names if names.count(name) > 1}:
            raise ValueError(f"settings: class {min(twice)} is there twice: give each a name of its own")
        if self.zone_fees and len(self.zone_fees) != len(self.zones):
            raise ValueError("settings: zone_fees must have one figure for each of zones, or none")
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
    """One line of the list; `rate_per_s` is what the destination (or route apart) is said to take."""

    endpoint: str
    destination: int
    kind: int = 0
    zone: int = 0
    state: State = State.READY
    rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """News of the list of endpoints."""

    kind: ListKind
    version: int = 0
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Terms:
    """What a message was taken under."""

    cls: MessageClass
    max_attempts: int


@dataclass(frozen=True, slots=True)
class AttemptInProgress:
    """An attempt that an earlier process carries to its end. Those of one `call` share a slot."""

    attempt: int
    endpoint: str
    call: int
    sent_ago_ms: float


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    """A message was taken; it must end exactly once, within `left_ms`.

    One that an earlier process took comes with the `attempts` it has had, all of which are over. If one may
    have run, `ran_ago_ms` and `ran_endpoint` tell when and where the first such went. `terms` are there where
    it was taken under others than the settings' of now: they hold for it to its end. `out` has those of its
    attempts that are still out, in the care of the earlier process: their outcomes come as of any other.
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
    untried: bool = False  # an earlier process took it on and made no attempt: it is owed one
    terms: Terms | None = None
    out: tuple[AttemptInProgress, ...] = ()


@dataclass(frozen=True, slots=True)
class ColdStateRestored:
    """At the start: an earlier process gave `RecordColdState` for the endpoint, and nothing has taken it back."""

    endpoint: str
    pace_per_s: float


@dataclass(frozen=True, slots=True)
class Detached:
    """Operators take the endpoint out: nothing new goes there until `Attached`, whatever the list says, also
    where it is not listed now."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Attached:
    """The endpoint may serve again. It was restarted meanwhile: it is cold, by no fault of its own."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Reconfigured:
    """Other settings hold for what arrives from now on. Messages keep the class and the number of attempts
    that they were taken under; what was learned of endpoints stays."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class LearnedStateRestored:
    """What an earlier process had learned (`crowpier.learned.export`); our clock is `ahead_ms` of its."""

    told: Mapping[str, Any]
    ahead_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ShutdownScheduled:
    """The process will end `in_ms` from now: what is out by then has no known outcome."""

    in_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has its outcome; `finished` tells that the message is over and owes no answer.

    Where the caller knows it, `idled_ms` tells how long the call's connection had stood idle before (0: it
    was new, or never came up) and `kept` whether it is idle again.
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
    """An idle connection to the endpoint has ended, and no `CloseIdleConnections` asked for it."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe has its result."""

    endpoint: str
    outcome: Outcome
    took_ms: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A reminder fell due."""

    token: int = 0


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Nobody wants this message any more; no answer is owed."""

    message: int


@dataclass(frozen=True, slots=True)
class SendAllowance:
    """Guidance from outside: what this dispatcher may send on a lane for `for_ms`. The lane is a destination,
    or an endpoint where its routes are apart. The lower holds of this and what is learned here. `wait_ms` is
    of a wait that another dispatcher was told; `score_penalty` lowers the score of the lane's endpoints. For
    `slots_ms`, calls go at the moments `slots` (milliseconds from now), of which the first has the number
    `slot`: one that was told before counts once.
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
                raise ValueError(f"allowed: {key} must not be negative, nor {getattr(self, key)!r}")
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
    """Call the endpoint with the message; the n-th send of a message is its attempt n, counted from 0. From
    `start_by_ms` on it must not begin any more: a call whose connection comes up later ends as `NOT_EXECUTED`."""

    message: int
    endpoint: str
    timeout_at_ms: float = 0.0
    start_by_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Cancel:
    """Abandon one attempt."""

    message: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer that promises nothing about the message's effect."""

    message: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer that tells the client that trying again is harmless."""

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
    """Wake the dispatcher after a while, in a later batch."""

    in_ms: float
    token: int = 0


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the list and its changes."""


@dataclass(frozen=True, slots=True)
class RecordColdState:
    """Keep beyond the process: the endpoint is `cold`, having taken such a pace before, or no longer is."""

    endpoint: str
    cold: bool
    pace_per_s: float = 0.0


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
    | Log
)
