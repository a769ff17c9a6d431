"""`python -m lab soak`: real dispatchers under faults that overlap in time, and the rules as the oracle.

Everything random comes from the seed: the partners, the load, and when which fault begins and how long it
lasts. What breaks is judged from outside alone: by what clients, partners, platform and directory saw.
"""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lab.history import Event
from lab.partners import Spec
from lab.rude_clients import Crowd, LeavingClients, RudeClients
from lab.run import Played, Run
from lab.scenario import ClassSpec, Fault, Scenario
from rushhitch.config.deployment import LOOPS

LEAST_GAP_S, MOST_GAP_S = 0.15, 0.8  # between the beginnings of two faults, for ten dispatchers
FIRST_S = 0.7  # before it all works
LOAD_PER_S = 7.0  # messages a second for each dispatcher
RUDE_PER_S = 1.0  # bad clients a second for each dispatcher
LEAVING_PER_S = 0.6  # likewise of those that leave before they have heard
MANY_LEAVE_PER_S = 3.0  # likewise on a day of many of them
MANY_LEAVE_SHARE = 0.3  # of the runs are such days
REPEATS_SHARE = 0.7  # of the runs have answers and lists that come again
MAX_REPEATS = 0.15  # share of what is sent that does, at most
MAX_REFUSED_NOTICES = 0.3  # share of the notices that the platform refuses on such a run, at most
LOST_ANSWERS_SHARE = 0.5  # of the runs lose answers to notices for a while
MIN_LOST_S, MAX_LOST_S = 1.0, 4.0  # how long
COLD_RETURN_SHARE = 0.6  # of the runs have a partner that is away for long, and returns cold
MIN_HEADROOM, MAX_HEADROOM = 1.1, 3.0  # its capacity, of its load
CROWDED_SHARE = 0.3  # of the runs have a crowd
CROWDED, CROWDED_SOCKETS = 3, 160  # so many dispatchers of these, with so few descriptors
ALWAYS = (
    "kill",
    "kill_behind",
    "kill_outside",
    "signals",
    "restart",
    "pause",
    "stall",
    "disk",
    "disk_error",
    "directory",
    "late",
    "move",
    "reload",
    "partner",
    "burst",
)
EXTRA = ("clock", "drain", "upgrade")  # asked for by name


@dataclass(frozen=True, slots=True)
class Soak:
    """What the command line asks for."""

    seed: int
    processes: int = 20
    seconds: float = 20.0
    extra: tuple[str, ...] = ()
    only: tuple[str, ...] = ()
    sync: str = "none"
    leaving_per_s: float | None = None  # in place of the seed's

    @property
    def command(self) -> str:
        """What plays it again."""
        words = ["python -m lab soak", f"--seed {self.seed}", f"--processes {self.processes}"]
        words += [f"--seconds {self.seconds:g}", f"--sync {self.sync}"]
        if self.leaving_per_s is not None:
            words.append(f"--leaving {self.leaving_per_s:g}")
        words += [f"--with {name}" for name in self.extra] + [f"--only {name}" for name in self.only]
        return " ".join(words)


def partners_of(chance: random.Random) -> list[Spec]:
    """Banks that take several messages in a call, and firms, with and without limits."""
    found = []
    for dest in range(1, chance.randint(4, 7)):
        bank = chance.random() < 0.4
        found.append(
            Spec(
                name=f"p{dest}",
                dest=dest,
                kind="banks" if bank else "firms",
                endpoints=chance.randint(1, 3),
                zones=("a", "b"),
                apart=bank,
                batch=8 if bank else 1,
                slots=32,
                queue=64,
                call_ms=chance.choice((10.0, 40.0, 120.0)),
                idle_ms=chance.choice((600.0, 10_000.0)),
                deferred=0.05 if bank else 0.0,
            )
        )
    return found


def partner_faults(chance: random.Random) -> dict[str, Any]:
    return chance.choice(
        (
            {"fail": chance.uniform(0.05, 0.4)},
            {"reset": chance.uniform(0.05, 0.4)},
            {"cut": chance.uniform(0.05, 0.3)},
            {"spoil": chance.uniform(0.05, 0.3)},
            {"slow": chance.uniform(2.0, 12.0)},
            {"late_ms": chance.uniform(100.0, 900.0)},
            {"silent": True},
            {"shut": True},
        )
    )


def fault_of(what: str, at: float, names: list[str], partners: list[Spec], chance: random.Random) -> Fault:
    """One fault of a kind, with its target and its length by chance."""
    on = chance.choice(names)
    match what:
        case "pause":  # as long as deadlines and windows have to allow for
            return Fault(at, "pause", on, chance.choice((0.05, 0.1, 0.15)))
        case "stall":  # stopped while it is told to end
            return Fault(at, "pause", on, chance.uniform(0.05, 0.15))
        case "kill_behind" | "kill_outside":
            return Fault(at, what, on, chance.uniform(0.3, 1.0), factor=float(chance.randint(1, 6)))
        case "kill" | "restart" | "upgrade" | "signals":
            return Fault(at, what, on, chance.uniform(0.3, 1.0))
        case "disk" | "disk_error" | "reload":
            return Fault(at, what, on, chance.uniform(0.2, 2.0), factor=chance.choice((0.5, 1.0)))
        case "clock":
            return Fault(at, what, on, chance.uniform(0.5, 6.0), step_s=chance.choice((-3600.0, -5.0, 5.0)))
        case "directory":
            return Fault(at, what, "", chance.uniform(0.5, 4.0))
        case "late":
            return Fault(at, what, "", chance.uniform(0.5, 4.0), late_s=chance.uniform(0.2, 2.0))
        case "move":
            return Fault(at, what)
    partner = chance.choice(partners)
    if what == "drain":
        return Fault(at, what, f"{partner.name}-1", chance.uniform(1.0, 4.0))
    if what == "burst":
        return Fault(at, what, partner.name, chance.uniform(0.5, 3.0), factor=chance.uniform(2.0, 5.0))
    return Fault(at, "partner", partner.name, chance.uniform(0.3, 3.0), faults=partner_faults(chance))


def leaving_of(soak: Soak) -> float:
    """How many clients leave a second, for each dispatcher. By a chance of its own: the rest of a seed's day
    is the same with it or without."""
    if soak.leaving_per_s is not None:
        return soak.leaving_per_s
    many = random.Random(f"leaving {soak.seed}").random() < MANY_LEAVE_SHARE
    return MANY_LEAVE_PER_S if many else LEAVING_PER_S


def repeats_of(soak: Soak) -> list[Fault]:
    """What comes again, for all of the run; by a chance of its own, as `leaving_of`."""
    chance = random.Random(f"repeats {soak.seed}")
    if chance.random() >= REPEATS_SHARE:
        return []
    shares = {stream: chance.uniform(0.0, MAX_REPEATS) for stream in ("answers", "notices", "lists")}
    return [
        Fault(0.0, "repeat", faults=dict(shares)),
        Fault(0.0, "refuse_notices", factor=chance.uniform(0.0, MAX_REFUSED_NOTICES)),
    ]


def lost_answers_of(soak: Soak) -> list[Fault]:
    """A time in which answers to notices get lost, with load behind it; by a chance of its own, as
    `leaving_of`."""
    chance = random.Random(f"no answers to notices {soak.seed}")
    if chance.random() >= LOST_ANSWERS_SHARE:
        return []
    at = chance.uniform(FIRST_S, 0.3 * soak.seconds)
    seconds = min(chance.uniform(MIN_LOST_S, MAX_LOST_S), 0.4 * soak.seconds)
    return [Fault(at, "lose_notice_answers", seconds=seconds, factor=1.0)]


def cold_return_of(soak: Soak, partners: list[Spec], per_s: float) -> list[Fault]:
    """An outage of one partner, whose capacity is near its load (`per_s` messages a second), with load behind
    it; by a chance of its own, as `leaving_of`."""
    chance = random.Random(f"cold return {soak.seed}")
    if chance.random() >= COLD_RETURN_SHARE:
        return []
    partner = chance.choice(partners)
    lanes = partner.endpoints if partner.apart else 1
    partner.capacity_per_s = per_s * chance.uniform(MIN_HEADROOM, MAX_HEADROOM) / lanes
    partner.tells = chance.uniform(0.2, 1.0)
    faults: dict[str, Any] = chance.choice(
        (
            {"shut": True, "tells_end": True},
            {"shut": True},
            {"silent": True},
            {"down": True},
            {"fail": chance.uniform(0.5, 0.95)},
        )
    )
    at, seconds = (chance.uniform(*share) * soak.seconds for share in ((0.1, 0.25), (0.2, 0.4)))
    return [Fault(at, "partner", partner.name, seconds, faults=faults)]


def loop_of(soak: Soak) -> str:
    """The dispatchers' event loop; by a chance of its own, as `leaving_of`."""
    return random.Random(f"event loop {soak.seed}").choice(LOOPS)


def scenario_of(soak: Soak) -> Scenario:
    """The run that a seed stands for."""
    chance = random.Random(f"soak {soak.seed}")
    names = [f"d{number}" for number in range(soak.processes)]
    partners = partners_of(chance)
    classes = [
        ClassSpec("note", "repeatable", 1000.0, chance.choice((3000.0, 6000.0))),
        ClassSpec("pay", "once", 1500.0, chance.choice((4000.0, 8000.0)), worth=2.0, late_worth=0.5),
        ClassSpec("book", "by_key", 1500.0, 5000.0, window_ms=chance.choice((1000.0, 3000.0))),
    ]
    load: dict[str, dict[str, float]] = {}
    for spec in partners:
        per_s = LOAD_PER_S * soak.processes / len(partners)
        load[spec.name] = {"note": 0.4 * per_s, "pay": 0.4 * per_s, "book": 0.2 * per_s}
    kinds = soak.only or (*ALWAYS, *soak.extra)
    faults, at = [], FIRST_S
    while at < soak.seconds - 1.0:
        faults.append(fault_of(chance.choice(kinds), at, names, partners, chance))
        at += chance.uniform(LEAST_GAP_S, MOST_GAP_S) * 10.0 / soak.processes
    if not soak.only:
        faults += cold_return_of(soak, partners, LOAD_PER_S * soak.processes / len(partners))
    return Scenario(
        name=f"soak {soak.seed}",
        seed=soak.seed,
        seconds=soak.seconds,
        dispatchers=soak.processes,
        zones=("a", "b"),
        classes=classes,
        partners=partners,
        load=load,
        faults=faults + (repeats_of(soak) + lost_answers_of(soak) if not soak.only else []),
        slots=chance.choice((8, 16)),
        max_held=chance.choice((20, 60, 200)),
        sync=soak.sync,
        loop=loop_of(soak),
        retries=1,
        leaving_per_s=leaving_of(soak),
        copies=chance.random() < 0.5,
        sockets=CROWDED_SOCKETS if chance.random() < CROWDED_SHARE else 1024,
    ).check()


class SoakRun(Run):
    """A run with bad clients beside the good ones."""

    async def start(self) -> None:
        await super().start()
        deadlines = {cls.name: cls.deadline_ms for cls in self.scenario.classes}
        kinds = [(spec.dest, name, deadlines[name]) for spec in self.scenario.partners for name in deadlines]
        told = (self.clients, self.history, self.scenario.seed, kinds)
        for bad, per_s in ((RudeClients, RUDE_PER_S), (LeavingClients, self.scenario.leaving_per_s)):
            if per_s:
                play = bad(*told).run(per_s * self.scenario.dispatchers, self.scenario.seconds)
                self.spawn(play)
        if self.scenario.sockets == CROWDED_SOCKETS:
            for name in self.names[:CROWDED]:
                self.spawn(Crowd(self.clients, name, CROWDED_SOCKETS).run(self.scenario.seconds))


def play(soak: Soak, folder: Path | None, progress: Callable[[str], None]) -> Played:
    """One seed, in a folder of its own or in the one that is named."""

    async def work(where: Path) -> Played:
        return await SoakRun(scenario_of(soak), where, progress).play()

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(work(folder))
    with tempfile.TemporaryDirectory(prefix="rushhitch-soak-") as name:
        return asyncio.run(work(Path(name)))


def left(events: list[Event]) -> dict[str, dict[str, int]]:
    """What became of messages whose clients left before they had read an answer, by how they left: how many
    there are, which a dispatcher had accepted (it called with them or ended them by a notice), and which were
    called from then on."""
    how = {event["id"]: event for event in events if event["what"] == "left"}
    calls = [
        (name, event["began_ms"]) for event in events if event["what"] == "call" for name in event["ids"]
    ]
    ended = {event["id"] for event in events if event["what"] == "notice"}
    late = {name for name, began in calls if name in how and began > how[name]["at"]}
    accepted = how.keys() & (ended | {name for name, _ in calls})

    def by_how(names: Iterable[str]) -> dict[str, int]:
        return dict(sorted(Counter(how[name]["how"] for name in names).items()))

    return {"left": by_how(how), "left_accepted": by_how(accepted), "left_called": by_how(late)}


def account(soak: Soak, played: Played) -> dict[str, Any]:
    """One run as a JSON object."""
    answers = Counter(event["answer"] for event in played.history.events if event["what"] == "answer")
    faults = Counter(fault.what for fault in played.scenario.faults)
    calls = sum(event["what"] == "call" for event in played.history.events)
    return {
        "seed": soak.seed,
        "processes": soak.processes,
        "seconds": soak.seconds,
        "loop": played.scenario.loop,
        "answers": dict(sorted(answers.items())),
        "calls": calls,
        **left(played.history.events),
        "faults": dict(sorted(faults.items())),
        "crashed": played.crashed,
        "broken": [f"{one.rule} {one.about} at {one.at:.0f} ms: {one.text}" for one in played.broken],
        "sound": played.sound,
        "again": soak.command,
    }


def tell(soak: Soak, told: dict[str, Any], json_file: Path | None) -> None:
    """A line for people, what broke, and the command that plays it again."""
    print(
        f"seed {soak.seed}: answers {told['answers']}, {told['calls']} calls, left {told['left']}, "
        f"of these accepted {told['left_accepted']}, called since {told['left_called']}, "
        f"faults {told['faults']}: {'sound' if told['sound'] else 'BROKEN'}",
        flush=True,
    )
    for name in told["crashed"]:
        print(f"  CRASHED: {name}")
    for line in told["broken"]:
        print(f"  BROKEN: {line}")
    if not told["sound"]:
        print(f"  to play it again: {told['again']}", flush=True)
    if json_file is not None:
        with json_file.open("a") as file:
            file.write(json.dumps(told) + "\n")
