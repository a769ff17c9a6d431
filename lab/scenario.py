"""A scenario: settings, partners, load and a timeline of faults, from a TOML file or as a Python value.

name = "one outage"
seed = 7
seconds = 10.0

[[class]]                # as in the settings of a dispatcher
name = "pay"
effect = "once"          # "repeatable", "by_key" or "once"
aim_ms = 2000.0
deadline_ms = 8000.0

[[partner]]              # the fields of `lab.partners.Spec`
name = "bank"
dest = 1
per_s = 20.0
load = { pay = 12.0 }    # messages a second, by class

[[fault]]
at = 3.0                 # seconds
seconds = 2.0            # how long; left out: for good
what = "partner"         # see `WHATS`
on = "bank"              # partner, endpoint or dispatcher, as the fault has it
shut = true              # for a partner: the fields of `lab.partners.Faults`
"""

from __future__ import annotations

import dataclasses
import math
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lab.member_ways import WayFault
from lab.partners import Faults, Spec
from lab.repeats import RepeatFaults
from lab.ways import WayFaults
from rushhitch.config.deployment import LOOPS

WHATS = {
    "partner": "its faults, on all its lanes",
    "endpoint": "the same on the lane of one endpoint",
    "drain": "an endpoint drains, and serves again afterwards",
    "remove": "an endpoint is gone, from the list and from its address",
    "reuse": "an endpoint is gone, and another partner's (`by`) listens at its address",
    "add": "one more endpoint of a partner",
    "directory": "the directory is down",
    "late": "the directory tells changes `late_s` late",
    "move": "the directory moves to another address: a new configuration and SIGHUP",
    "kill": "SIGKILL to a dispatcher, which starts again after `seconds`",
    "kill_behind": "the same in the step of its `factor`-th answer that accepts a message, 2 s later at most",
    "kill_outside": "the same from the lab's process, as it reads that answer",
    "signals": "SIGHUP and SIGTERM in series; with the latter SIGKILL 3.7 s behind the first, and a start"
    " that gets signals before it serves",
    "restart": "SIGTERM, SIGKILL 3.7 s later at the latest, and a start 0.6 s after",
    "upgrade": "a second process is started beside a dispatcher, and once it says yes the first gets SIGTERM",
    "detach": "operators take an endpoint out at all dispatchers, and give it back after `seconds`",
    "reload": "a broken configuration and SIGHUP at a dispatcher, and the good one again after `seconds`",
    "pause": "SIGSTOP to a dispatcher, and SIGCONT after `seconds`",
    "disk": "the disk of a dispatcher is full",
    "disk_error": "writes of a dispatcher fail (EIO), or, where `factor` is below 1, do half and then fail",
    "clock": "the wall clock of a dispatcher is off by `step_s` seconds",
    "planner_kill": "SIGKILL to a planner, which starts again, empty, after `seconds`",
    "planner_pause": "SIGSTOP to a planner, and SIGCONT after `seconds`",
    "way": "the way of a forwarder, of a planner or of a pair (d0, p1, d0-p1; all, if none is named), with"
    " the fields of `lab.ways.WayFaults`",
    "member_way": "the ways between members: of one (d0), from it (d0-*), to it (*-d0), from one to another"
    " (d0-d1), between buildings (a-b); all, if none is named, with the fields of `lab.member_ways.WayFault`",
    "repeat": "answers and lines come again, with the fields of `lab.repeats.RepeatFaults`",
    "refuse_notices": "the platform answers a share (`factor`) of the notices 503 at first, untaken",
    "lose_notice_answers": "the platform hears all notices, and a share (`factor`) of its answers gets lost",
    "burst": "the load on a partner is `factor` times the usual",
}

FIELDS = {"way": WayFaults, "member_way": WayFault, "repeat": RepeatFaults}  # by `what`; else `Faults`

ON_DISPATCHERS = (
    "kill",
    "kill_behind",
    "kill_outside",
    "signals",
    "restart",
    "upgrade",
    "reload",
    "pause",
    "disk",
    "disk_error",
    "clock",
)


class BadScenario(ValueError):
    """The scenario makes no sense; the text names the place and the remedy."""


@dataclass(slots=True)
class Fault:
    """Something that goes wrong at `at` seconds, for so many seconds."""

    at: float
    what: str
    on: str = ""
    seconds: float = math.inf
    by: str = ""
    late_s: float = 0.0
    factor: float = 1.0
    step_s: float = 0.0
    faults: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class ClassSpec:
    """A class of messages, with the settings' figures."""

    name: str
    effect: str = "repeatable"
    aim_ms: float = 1500.0
    deadline_ms: float = 6000.0
    worth: float = 1.0
    late_worth: float = 0.1
    window_ms: float = 0.0
    in_order: bool = False
    keys: int = 0  # how many keys of order its messages have


@dataclass(slots=True)
class Scenario:
    """One run of the lab. Everything random in it comes from `seed`."""

    name: str
    seed: int = 1
    seconds: float = 10.0
    dispatchers: int = 1
    planners: int = 0  # with some, the dispatchers are forwarders
    members: bool = False  # the dispatchers know of each other
    sharing: bool = False  # and share limits that partners state
    handed: tuple[str, ...] = ()  # the dispatchers that clients know of; all, if none is named
    buildings: int = 1  # that they stand in, by turns
    zones: tuple[str, ...] = ("a",)
    classes: list[ClassSpec] = field(default_factory=list)
    partners: list[Spec] = field(default_factory=list)
    load: dict[str, dict[str, float]] = field(default_factory=dict)  # by partner and class, messages a second
    faults: list[Fault] = field(default_factory=list)
    slots: int = 16
    max_held: int = 400
    disk_mb: float = 3.0
    memory_mb: float = 192.0
    sockets: int = 1024
    body: tuple[int, int] = (100, 600)  # bytes of a body, from and to
    retries: int = 1
    sync: str = "none"
    clients: tuple[str, ...] = ("resp2",)  # what they speak, in turn: "resp2", "binary", "structured"
    guests: bool = False  # people may post events by hand: what the lab's clients did not is not checked
    leaving_per_s: float = 0.0  # by dispatcher, clients that leave before they have heard: in the soak
    copies: bool = False  # second copies of safe messages, where the rules allow them
    loop: str = "asyncio"  # the event loop of the dispatchers: "asyncio" or "uvloop"

    @property
    def kinds(self) -> list[tuple[str, bool, int]]:
        """Name, routes apart, batch: of each kind that a partner has."""
        found: dict[str, tuple[str, bool, int]] = {}
        for spec in self.partners:
            kind = (spec.kind, spec.apart, spec.batch)
            if found.setdefault(spec.kind, kind) != kind:
                raise BadScenario(
                    f"partner {spec.name}: kind {spec.kind} has other `apart` or `batch` elsewhere: rename it"
                )
        return list(found.values())

    def check(self) -> Scenario:
        """Raise a `BadScenario` where parts do not fit each other."""
        if not self.classes or not self.partners:
            raise BadScenario("a scenario needs at least one [[class]] and one [[partner]]")
        classes = {cls.name for cls in self.classes}
        partners = {spec.name for spec in self.partners}
        endpoints = {f"{spec.name}-{n + 1}" for spec in self.partners for n in range(spec.endpoints)}
        if len({spec.dest for spec in self.partners}) < len(self.partners):
            raise BadScenario("two partners have the same dest: give each its own")
        for spec in self.partners:
            spec.zones = spec.zones or self.zones[:1]
            if not set(spec.zones) <= set(self.zones):
                raise BadScenario(f"partner {spec.name}: zones = {spec.zones}: use some of {self.zones}")
        for partner, rates in self.load.items():
            for name in rates:
                if name not in classes:
                    raise BadScenario(
                        f"partner {partner}: load: no class {name!r}: use one of {sorted(classes)}"
                    )
        if self.loop not in LOOPS:
            raise BadScenario(f"loop = {self.loop!r}: use one of {', '.join(LOOPS)}")
        dispatchers = {f"d{number}" for number in range(self.dispatchers)}
        wanted = {
            "partner": partners,
            "add": partners,
            "burst": partners,
            "endpoint": endpoints,
            "drain": endpoints,
            "remove": endpoints,
            "reuse": endpoints,
            "detach": endpoints,
        } | dict.fromkeys(ON_DISPATCHERS, dispatchers)
        planners = {f"p{number}" for number in range(self.planners)}
        wanted |= dict.fromkeys(("planner_kill", "planner_pause"), planners)
        pairs = {f"{dispatcher}-{planner}" for dispatcher in dispatchers for planner in planners}
        wanted["way"] = pairs | planners | dispatchers | {""} if planners else set()
        if self.members:
            several = {"*", "a", "b"} if self.buildings > 1 else {"*"}
            ends = sorted(dispatchers | several)
            wanted["member_way"] = {f"{x}-{y}" for x in ends for y in ends} | dispatchers | {""}
        if self.sharing and not self.members:
            raise BadScenario("sharing = true needs members = true in the scenario")
        if unknown := sorted(set(self.handed) - dispatchers):
            raise BadScenario(f"handed: {unknown[0]!r}: use some of {', '.join(sorted(dispatchers))}")
        for fault in self.faults:
            if fault.what not in WHATS:
                raise BadScenario(
                    f"fault at {fault.at}: what = {fault.what!r}: use one of {', '.join(WHATS)}"
                )
            if fault.what == "member_way" and not self.members:
                raise BadScenario(f"fault at {fault.at}: member_way needs members = true in the scenario")
            known = wanted.get(fault.what)
            if known is not None and fault.on not in known:
                raise BadScenario(
                    f"fault at {fault.at}: on = {fault.on!r}: use one of {', '.join(sorted(known))}"
                )
            if fault.what == "reuse" and fault.by not in partners:
                raise BadScenario(
                    f"fault at {fault.at}: by = {fault.by!r}: use one of {', '.join(sorted(partners))}"
                )
        _ = self.kinds
        return self

    def settings(self, index: int) -> dict[str, Any]:
        """The settings of one dispatcher, in the form that it is told them."""
        kinds = self.kinds
        rows = [
            {
                "name": cls.name,
                "effect": cls.effect,
                "aimMs": cls.aim_ms,
                "hardLimitMs": cls.deadline_ms,
                "value": cls.worth,
                "lateWorth": cls.late_worth,
                "windowMs": cls.window_ms,
                "inOrder": cls.in_order,
            }
            for cls in self.classes
        ]
        return {
            "balancers": self.dispatchers,
            "me": index,
            "categories": rows,
            "discovery": "on_request",
            "familyInfo": {
                "batchByKind": [kind[2] for kind in kinds],
                "kindApart": [kind[1] for kind in kinds],
                "losesWorth": "halves",
                "workers": self.slots,
            },
            "guarantees": {
                "answerSlackMs": 20.0,
                "coldFrom": 0.2,
                "drainGraceMs": 1000.0,
                "fallMs": 2000.0,
                "fallMultiple": 2.0,
                "warmWithinMs": 9000.0,
                "orderSettleMs": 200.0,
            },
            "kinds": [kind[0] for kind in kinds],
            "policyLimits": {
                "connIdleMs": 10000.0,
                "connectTimeoutMs": 1000.0,
                "maxAttempts": 8,
                "maxRetryAfterMs": 3000.0,
                "mayCancel": True,
                "mayDuplicate": self.copies,
                "mayProbe": False,
                "mostHeld": self.max_held,
                "retryAfter": True,
            },
            "quantumMs": 1.0,
            "weights": "off",
            "zones": list(self.zones),
        }


def fields_of(cls: type, row: dict[str, Any], place: str) -> dict[str, Any]:
    """The row as arguments of the dataclass; lists become tuples."""
    known = {item.name for item in dataclasses.fields(cls)}
    for key in row:
        if key not in known:
            raise BadScenario(f"{place}: no field {key!r}: use one of {', '.join(sorted(known))}")
    return {key: tuple(value) if isinstance(value, list) else value for key, value in row.items()}


def parse(text: str, name: str = "scenario") -> Scenario:
    """A scenario from TOML. Raises a `BadScenario`."""
    try:
        told = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise BadScenario(f"{name}: {error}") from None
    classes = [ClassSpec(**fields_of(ClassSpec, row, f"{name}: [[class]]")) for row in told.pop("class", [])]
    partners, load = [], {}
    for row in told.pop("partner", []):
        place = f"{name}: partner {row.get('name')!r}"
        load[row.get("name", "")] = row.pop("load", {})
        try:
            partners.append(Spec(**fields_of(Spec, row, place)))
        except TypeError as error:
            raise BadScenario(f"{place}: {error}") from None
    faults = []
    for row in told.pop("fault", []):
        own = {
            key: row.pop(key)
            for key in ("at", "what", "on", "seconds", "by", "late_s", "factor", "step_s")
            if key in row
        }
        place = f"{name}: fault at {own.get('at')}"
        try:
            kind = {"way": WayFaults, "member_way": WayFault, "repeat": RepeatFaults}.get(
                own.get("what", ""), Faults
            )
            faults.append(Fault(**own, faults=fields_of(kind, row, place)))
        except TypeError as error:
            raise BadScenario(f"{place}: {error}") from None
    rest = fields_of(Scenario, told, name)
    rest.setdefault("name", name)
    try:
        return Scenario(classes=classes, partners=partners, load=load, faults=faults, **rest).check()
    except BadScenario as error:
        raise BadScenario(f"{name}: {error}") from None


def load_file(path: Path) -> Scenario:
    """The scenario in a file."""
    return parse(path.read_text("utf-8"), str(path))
