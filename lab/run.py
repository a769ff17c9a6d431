"""Plays a scenario against real dispatchers, and reports."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import math
import random
import signal
import tempfile
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from crowpier.benchlink import parse_settings
from crowpier.interface import Settings
from lab import bank, events, report
from lab.addresses import free_address
from lab.clients import Ask, Clients
from lab.directory import Directory
from lab.history import History, without_guests
from lab.member_ways import FINE, SECRET, Watch, WayFault, Ways
from lab.membership import History as MemberHistory
from lab.membership_rules import T3_S
from lab.membership_rules import Broken as MemberBroken
from lab.membership_rules import check as check_members
from lab.partners import HURRIED_MS, Lane, Partners, Spec
from lab.processes import Dispatcher, PlannerProcess, SignalSeries
from lab.repeats import RepeatFaults
from lab.rules import Broken, check
from lab.scenario import Fault, Scenario
from lab.ways import Way, WayFaults

SETTLE_S = 2.0  # beyond the longest deadline: by then all is over, or overdue
SWEEP_S = 0.25
DISK_BLOCK = 512  # bytes: each file counts in whole ones
START_S = 1.0  # of the kill's restart, where a fault names no time


@dataclass(slots=True)
class Played:
    """A run that is over."""

    scenario: Scenario
    settings: Settings
    history: History
    broken: list[Broken]
    crashed: list[str]
    lines: dict[tuple[int, str], report.Line]
    pressure: dict[str, tuple[int, float, float, float]]  # by lane: calls, limit, 95th percentile, worst
    memory_mb: dict[str, float] = field(default_factory=dict)
    cpu_s: dict[str, float] = field(default_factory=dict)
    disk_most: dict[str, int] = field(default_factory=dict)  # bytes in the state folder at most, as sampled
    admitted: dict[str, list[float]] = field(default_factory=dict)  # by lane, the times of calls
    limits: dict[str, tuple[float, float]] = field(
        default_factory=dict
    )  # by lane: calls a second, window in ms
    ways: dict[str, int] = field(default_factory=dict)  # frames by what befell them between the processes
    members: MemberHistory | None = None  # what the dispatchers held of each other, where they are members
    member_broken: list[MemberBroken] = field(default_factory=list)

    @property
    def total(self) -> report.Line:
        total = report.Line()
        for line in self.lines.values():
            total.add(line)
        return total

    @property
    def sound(self) -> bool:
        return not (self.broken or self.crashed or self.member_broken)


async def side_by_side(starts: Iterable[Coroutine[Any, Any, None]]) -> None:
    async with asyncio.TaskGroup() as group:
        for start in starts:
            group.create_task(start)


def disk_bytes(folder: Path) -> int:
    """What the files of a folder take on the disk, each in whole blocks; one may be removed meanwhile."""
    total = 0
    for path in folder.iterdir():
        with contextlib.suppress(FileNotFoundError):
            total += -(-path.stat().st_size // DISK_BLOCK) * DISK_BLOCK if path.is_file() else 0
    return total


class Run:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, folder: Path, progress: Callable[[str], None]) -> None:
        self.scenario, self.folder, self.progress = scenario, folder, progress
        self.history = History()
        self.names = [f"d{number}" for number in range(scenario.dispatchers)]
        self.settings = parse_settings(json.dumps(scenario.settings(0)).encode())
        self.chance = random.Random(f"load {scenario.seed}")
        self.specs = {spec.name: spec for spec in scenario.partners}
        self.factors = dict.fromkeys(self.specs, 1.0)
        self.clients = Clients(
            self.history, scenario.seed, scenario.retries, scenario.clients, events.EventConnection
        )
        cold = {
            "cold_from": self.settings.cold_from,
            "warm_ms": self.settings.warm_within_ms,
            "fall_multiple": self.settings.fall_multiple,
            "fall_ms": self.settings.fall_ms,
        }
        self.partners = Partners(scenario.partners, self.names, self.history, scenario.seed, **cold)
        self.partners.over, self.partners.max_attempts = self.message_over, self.settings.max_attempts
        self.directory = Directory(self.names, self.address, self.history, self.clients.heard, scenario.seed)
        self.dispatchers: dict[str, Dispatcher] = {}
        self.planners: dict[str, PlannerProcess] = {}
        self.planner_addresses: dict[str, tuple[str, int]] = {}
        self.ways: dict[tuple[str, str], Way] = {}  # by dispatcher and planner, where a fault is to hit one
        self.member_ways = Ways(scenario.seed)
        self.members = Watch(self.member_ways, lambda: self.history.now() / 1000.0)
        self.struck_ways: list[tuple[str, WayFault]] = []  # faults that are on, and where
        self.disk_most: dict[str, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.watching: asyncio.Task[None] | None = None

    def message_over(self, name: str) -> bool:
        """Whether a message has been withdrawn by its client, or is out of time."""
        return name in self.clients.withdrawn or self.history.out_of_time(name)

    def address(self, endpoint: str, dispatcher: str) -> str:
        return f"127.0.0.1:{self.partners.endpoints[endpoint].port(dispatcher)}"

    def list(self, endpoint: str, state: str = "SERVING") -> None:
        held = self.partners.endpoints[endpoint]
        self.directory.put(endpoint, held.spec.dest, held.spec.kind, held.zone, state)

    async def start(self) -> None:
        await self.partners.start()
        for endpoint in self.partners.endpoints:
            self.list(endpoint)
        await self.directory.start()
        toml = self.folder / "rushhitch.toml"
        self.choose_addresses()
        toml.write_text(self.toml(self.planner_addresses))
        self.planners = {
            name: PlannerProcess(name, self.folder / name, toml) for name in self.planner_addresses
        }
        await side_by_side(planner.start() for planner in self.planners.values())
        if self.scenario.members:
            for name in self.names:
                await self.member_ways.add(name)
        for index, name in enumerate(self.names):
            config = {
                "name": name,
                "listen": "127.0.0.1:0",
                "control": "127.0.0.1:0",
                "discovery": f"127.0.0.1:{self.directory.port(name)}",
                "seed": f"{random.Random(f'{self.scenario.seed} {name}').getrandbits(64):016x}",
                "limits": {
                    "cores": 1.0,
                    "memory_mb": self.scenario.memory_mb,
                    "sockets": self.scenario.sockets,
                    "disk_mb": self.scenario.disk_mb,
                },
                "settings": self.scenario.settings(index),
            }
            hit = any(fault.what == "way" for fault in self.scenario.faults)
            own = await self.own_ways(name) if hit or self.scenario.members else toml
            dispatcher = Dispatcher(name, self.folder / name, config, self.history, own)
            dispatcher.serves = self.serves
            dispatcher.dies_behind = any(fault.what == "kill_behind" for fault in self.scenario.faults)
            dispatcher.dies_at_calls = self.dies_at_calls
            dispatcher.steps_clock = any(fault.what == "clock" for fault in self.scenario.faults)
            dispatcher.known = self.directory.known
            dispatcher.words = ("forward",) if self.planners else ()
            self.dispatchers[name] = dispatcher
        self.clients.taken = lambda name: self.dispatchers[name].taken()
        await side_by_side(dispatcher.start() for dispatcher in self.dispatchers.values())
        if self.scenario.guests:
            for name, dispatcher in self.dispatchers.items():
                print(
                    f"{name}: events may be posted to http://127.0.0.1:{dispatcher.event_port}/", flush=True
                )

    def serves(self, name: str, port: int | None, event_port: int = 0) -> None:
        """A dispatcher is up, or (None) it is not."""
        if self.scenario.members:
            if port is not None:
                self.members.began(name)
            elif name in self.members.lives:
                self.members.ended(name, killed=True)
        if not self.scenario.handed or name in self.scenario.handed:
            self.clients.serves(name, port, event_port)
        self.partners.bank.serves(name, event_port if port is not None else 0)

    def choose_addresses(self) -> None:
        """Planners' addresses are fixed before they listen, so that they may start again."""
        for number in range(self.scenario.planners):
            self.planner_addresses[f"p{number}"] = free_address()

    async def own_ways(self, dispatcher: str) -> Path:
        """The settings of a dispatcher that reaches each planner, and each other member, by a way that faults
        can hit."""
        addresses = {}
        hit = any(fault.what == "way" for fault in self.scenario.faults)
        for planner, address in self.planner_addresses.items():
            if not hit:
                addresses[planner] = address
                continue
            seed = f"{self.scenario.seed} {dispatcher} {planner}"
            way = self.ways[dispatcher, planner] = Way(address, seed)
            addresses[planner] = ("127.0.0.1", await way.start())
        path = self.folder / f"{dispatcher}.toml"
        member = ""
        if self.scenario.members:
            secret = self.folder / "members.secret"
            secret.write_bytes(SECRET)
            words = (str(secret), len(self.names), self.building(dispatcher))
            member = self.member_ways.toml(dispatcher, *words)
            member += "[sharing]\n" if self.scenario.sharing else ""
        path.write_text(self.toml(addresses) + member)
        return path

    def building(self, dispatcher: str) -> str:
        return "ab"[self.names.index(dispatcher) % self.scenario.buildings]

    def toml(self, addresses: dict[str, tuple[str, int]]) -> str:
        """A process's own settings; with planners there, if any."""
        journal = f'[process]\nloop = "{self.scenario.loop}"\n[journal]\nsync = "{self.scenario.sync}"\n'
        modes = {spec.dest: spec.speaks for spec in self.scenario.partners if spec.speaks != "platform"}
        if modes or set(self.scenario.clients) != {"resp2"}:
            journal += events.toml([cls.name for cls in self.scenario.classes], modes)
            if banks := [spec.dest for spec in self.scenario.partners if spec.acknowledges_ms]:
                journal += bank.toml(banks)
            if asked := [spec.dest for spec in self.scenario.partners if spec.agrees_per_min]:
                journal += f'handshake = {{ origin = "lab.example.com", destinations = {asked} }}\n'
        if not addresses:
            return journal
        secret = self.folder / "secret"
        secret.write_text(f"a secret of the lab, {self.scenario.seed}")
        pairs = ", ".join(f'{name} = "{host}:{port}"' for name, (host, port) in addresses.items())
        told = self.settings
        return (
            journal + f'[planning]\nsecret_file = "{secret}"\nplanners = {{ {pairs} }}\n'
            f"cold_from = {told.cold_from}\nwarm_ms = {told.warm_within_ms}\n"
            f"fall_multiple = {told.fall_multiple}\n"
        )

    def spawn(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def play(self) -> Played:
        """All of it, from the start of the processes to their end."""
        try:
            await self.start()
            began = self.history.now()
            for partner, rates in self.scenario.load.items():
                for cls, per_s in rates.items():
                    if per_s > 0:
                        self.spawn(self.load(self.specs[partner], cls, per_s))
            if self.scenario.members:
                self.watching = asyncio.get_running_loop().create_task(self.members.run())
            for fault in self.scenario.faults:
                self.spawn(self.fault(fault))
            end = began + self.scenario.seconds * 1000.0
            while self.history.now() < end:
                await asyncio.sleep(SWEEP_S)
                self.sweep()
                self.tell(began)
            self.over = True
            if self.scenario.members:
                while self.tasks:
                    await asyncio.sleep(SWEEP_S)
                await self.members.quiet(T3_S + 1.0)
            longest = max(cls.deadline_ms for cls in self.settings.classes)
            tries = self.scenario.retries + 1  # what is refused at the end of its time may come once more
            quiet = self.history.now() + tries * (longest + SETTLE_S * 1000.0)
            while self.history.now() < quiet and not self.settled():
                await asyncio.sleep(SWEEP_S)
                self.sweep()
                self.tell(began)
            return await self.end()
        finally:
            if self.watching is not None:
                self.watching.cancel()
            for task in self.tasks:
                task.cancel()
            for dispatcher in self.dispatchers.values():
                await dispatcher.kill()
                dispatcher.log.close()
            for planner in self.planners.values():
                await planner.kill()
                planner.log.close()
            for way in self.ways.values():
                way.stop()
            self.member_ways.stop()
            self.clients.stop()
            self.partners.stop()
            self.directory.stop()

    over = False
    dies_at_calls = False  # dispatchers are killed at system calls

    def sweep(self) -> None:
        self.partners.sweep()
        for name, dispatcher in self.dispatchers.items():
            self.disk_most[name] = max(self.disk_most.get(name, 0), disk_bytes(dispatcher.state))

    def settled(self) -> bool:
        """Whether nothing can come any more: no message open or on its way in, no fault still on."""
        if self.tasks or not self.clients.quiet or self.partners.bank.tasks:
            return False
        ended = {event["id"] for event in self.history.events if event["what"] == "notice"}
        for event in self.history.events:
            if event["what"] == "reply":
                ended |= {name for name, end in event["ends"].items() if end == "accepted"}
        return not [
            event
            for event in self.history.events
            if event["what"] == "answer" and event["answer"] == "ok" and event["id"] not in ended
        ]

    async def end(self) -> Played:
        memory = {name: dispatcher.rss_mb() for name, dispatcher in self.dispatchers.items()}
        cpu = {name: dispatcher.cpu_s() for name, dispatcher in self.dispatchers.items()}
        crashed = [name for name, dispatcher in self.dispatchers.items() if dispatcher.crashed]
        self.history.add("over")
        held = self.members.close() if self.scenario.members else None
        events = list(self.history.events)
        if self.scenario.guests:
            events = without_guests(events)
        pressure: dict[str, tuple[int, float, float, float]] = {}
        for lane, times in self.partners.admitted.items():
            limit = self.partners.lanes[lane].limit
            pressure[lane] = (
                len(times),
                limit.per_s,
                *report.pressure(times, limit.per_s, limit.window_ms or 1000.0),
            )
        return Played(
            self.scenario,
            self.settings,
            History(events),  # what comes now is the lab's own clearing up
            check(events, self.settings),
            crashed,
            report.lines(events, self.settings),
            pressure,
            memory,
            cpu | {name: planner.cpu_s() for name, planner in self.planners.items()},
            self.disk_most,
            self.partners.admitted,
            {name: (lane.limit.per_s, lane.limit.window_ms) for name, lane in self.partners.lanes.items()},
            {
                what: sum(getattr(way, what) for way in self.ways.values())
                for what in ("passed", "repeated", "reordered", "refused", "carried")
            },
            members=held,
            member_broken=check_members(held, len(self.names)) if held is not None else [],
        )

    def tell(self, began: float) -> None:
        at = (self.history.now() - began) / 1000.0
        offers = sum(event["what"] == "offer" for event in self.history.events[-2000:])
        state = "settling" if self.over else "under load"
        self.progress(
            f"{at:5.1f} of {self.scenario.seconds:g} s, {state}, {offers} of the last 2,000 events are offers"
        )

    # Load

    async def load(self, spec: Spec, cls: str, per_s: float) -> None:
        """Messages by chance, at a mean rate; the times come from the seed alone."""
        chance = random.Random(f"{self.scenario.seed} {spec.name} {cls}")
        row = next(row for row in self.scenario.classes if row.name == cls)
        hurry = random.Random(f"hurried {self.scenario.seed} {spec.name} {cls}")
        began, at = self.history.now(), 0.0
        for number in itertools.count():
            at += chance.expovariate(per_s * self.factors[spec.name]) * 1000.0
            if at > self.scenario.seconds * 1000.0:
                return
            await asyncio.sleep(max(began + at - self.history.now(), 0.0) / 1000.0)
            body = b"%s %d " % (cls.encode(), number) + bytes(chance.randint(*self.scenario.body))
            key = chance.randint(1, row.keys) if row.keys else 0
            left_ms = hurry.uniform(1.0, HURRIED_MS) if hurry.random() < spec.hurried else row.deadline_ms
            self.clients.hand_in(Ask(cls, spec.dest, left_ms, body, key))

    # Faults

    def lanes(self, fault: Fault) -> list[Lane]:
        if fault.what == "endpoint":
            return [self.partners.endpoints[fault.on].lane]
        held = (endpoint for endpoint in self.partners.endpoints.values() if endpoint.spec.name == fault.on)
        return list({endpoint.lane.name: endpoint.lane for endpoint in held}.values())

    async def fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at)
        begin, end = getattr(self, "begin_" + fault.what), getattr(self, "end_" + fault.what, None)
        if fault.what in ("kill", "kill_behind", "kill_outside", "restart", "signals"):
            await begin(fault)
            return
        begun = begin(fault)
        if asyncio.iscoroutine(begun):
            await begun
        if fault.seconds < math.inf and end is not None:
            await asyncio.sleep(fault.seconds)
            end(fault)

    def begin_partner(self, fault: Fault) -> None:
        for lane in self.lanes(fault):
            self.partners.strike(lane, fault.seconds, **fault.faults)

    def end_partner(self, fault: Fault) -> None:
        for lane in self.lanes(fault):
            self.partners.strike(lane)

    begin_endpoint, end_endpoint = begin_partner, end_partner

    def begin_drain(self, fault: Fault) -> None:
        self.list(fault.on, "DRAINING")

    def end_drain(self, fault: Fault) -> None:
        self.list(fault.on)

    async def begin_remove(self, fault: Fault) -> None:
        self.list(fault.on, "DELETED")
        await asyncio.sleep(1.5)  # it goes on serving for a while, as one does that leaves in order
        await self.partners.remove(fault.on)

    async def begin_reuse(self, fault: Fault) -> None:
        self.list(fault.on, "DELETED")
        await asyncio.sleep(0.2)
        name = f"{fault.by}-at-{fault.on}"
        await self.partners.take_over(fault.on, self.specs[fault.by], name)
        self.list(name)

    async def begin_add(self, fault: Fault) -> None:
        name = f"{fault.on}-{len(self.partners.endpoints) + 1}"
        spec = self.specs[fault.on]
        await self.partners.add(spec, name, spec.zones[-1])
        self.list(name)

    def begin_repeat(self, fault: Fault) -> None:
        struck = RepeatFaults(**fault.faults)
        self.partners.repeats.share, self.partners.repeats.ways = struck.answers, struck.ways
        answers = self.directory.repeated_answers
        answers.share, answers.ways = struck.notices, struck.ways
        self.directory.repeated_lines.share = struck.lists

    def end_repeat(self, fault: Fault) -> None:
        self.begin_repeat(dataclasses.replace(fault, faults={}))

    def begin_refuse_notices(self, fault: Fault) -> None:
        self.directory.refuse_notices = fault.factor

    def end_refuse_notices(self, fault: Fault) -> None:
        self.directory.refuse_notices = 0.0

    def begin_lose_notice_answers(self, fault: Fault) -> None:
        self.directory.lose_answers = fault.factor

    def end_lose_notice_answers(self, fault: Fault) -> None:
        self.directory.lose_answers = 0.0

    def begin_directory(self, fault: Fault) -> None:
        self.directory.go_down()

    def end_directory(self, fault: Fault) -> None:
        self.directory.come_back()

    def begin_late(self, fault: Fault) -> None:
        self.directory.late_s = fault.late_s

    def end_late(self, fault: Fault) -> None:
        self.directory.late_s = 0.0

    async def begin_move(self, fault: Fault) -> None:
        for name, dispatcher in self.dispatchers.items():
            await self.directory.move(name)
            dispatcher.reload(discovery=f"127.0.0.1:{self.directory.port(name)}")

    async def begin_kill(self, fault: Fault) -> None:
        dispatcher = self.dispatchers[fault.on]
        async with dispatcher.turn:
            await dispatcher.kill()
            await asyncio.sleep(fault.seconds if fault.seconds < math.inf else START_S)
            await dispatcher.start()

    async def begin_restart(self, fault: Fault) -> None:
        async with self.dispatchers[fault.on].turn:
            await self.dispatchers[fault.on].restart()

    async def begin_upgrade(self, fault: Fault) -> None:
        async with self.dispatchers[fault.on].turn:
            await self.dispatchers[fault.on].upgrade()

    async def operate(self, word: str, what: str, endpoint: str) -> None:
        """All dispatchers hear a word of operators; the history has each yes."""
        for name, dispatcher in self.dispatchers.items():
            async with dispatcher.turn:  # one that is being restarted is told afterwards
                if (said := await dispatcher.say(f"{word} {endpoint}")) == "ACK":
                    self.history.add(what, dispatcher=name, endpoint=endpoint)
                else:
                    self.history.add("unheard", dispatcher=name, endpoint=endpoint, said=said)

    async def begin_detach(self, fault: Fault) -> None:
        await self.operate("DETACH", "detached", fault.on)
        if fault.seconds < math.inf:
            await asyncio.sleep(fault.seconds)
            await self.operate("ATTACH", "attached", fault.on)

    async def begin_reload(self, fault: Fault) -> None:
        dispatcher = self.dispatchers[fault.on]
        (dispatcher.folder / "config.json").write_text('{"name": "cut o')
        dispatcher.send(signal.SIGHUP)
        await asyncio.sleep(fault.seconds if fault.seconds < math.inf else START_S)
        dispatcher.reload()

    def begin_pause(self, fault: Fault) -> None:
        if self.scenario.members:
            self.members.stands_still(fault.on, fault.seconds)
        self.history.add("paused", dispatcher=fault.on)
        self.dispatchers[fault.on].send(signal.SIGSTOP)

    def end_pause(self, fault: Fault) -> None:
        self.dispatchers[fault.on].send(signal.SIGCONT)
        self.history.add("resumed", dispatcher=fault.on)

    async def begin_planner_kill(self, fault: Fault) -> None:
        await self.planners[fault.on].kill()
        if fault.seconds < math.inf:
            await asyncio.sleep(fault.seconds)
            await self.planners[fault.on].start()

    def begin_planner_pause(self, fault: Fault) -> None:
        self.planners[fault.on].send(signal.SIGSTOP)

    def end_planner_pause(self, fault: Fault) -> None:
        self.planners[fault.on].send(signal.SIGCONT)

    def member_fault(self, sender: str, receiver: str) -> WayFault:
        """What hits that way just now: the newest of the faults on it."""

        def fits(end: str, name: str) -> bool:
            return end in ("*", name, self.building(name))

        for on, fault in reversed(self.struck_ways):
            begin, _, end = on.partition("-")
            if not on or (end and fits(begin, sender) and fits(end, receiver)):
                return fault
            if not end and begin in (sender, receiver):
                return fault
        return FINE

    def begin_member_way(self, fault: Fault) -> None:
        self.struck_ways.append((fault.on, WayFault(**fault.faults)))
        self.members.strike(self.member_fault)

    def end_member_way(self, fault: Fault) -> None:
        self.struck_ways.remove((fault.on, WayFault(**fault.faults)))
        self.members.strike(self.member_fault)

    def struck(self, fault: Fault) -> list[Way]:
        return [
            way
            for (dispatcher, planner), way in self.ways.items()
            if fault.on in ("", dispatcher, planner, f"{dispatcher}-{planner}")
        ]

    def begin_way(self, fault: Fault) -> None:
        for way in self.struck(fault):
            way.strike(WayFaults(**fault.faults))

    def end_way(self, fault: Fault) -> None:
        for way in self.struck(fault):
            way.strike(WayFaults())

    async def begin_kill_behind(self, fault: Fault) -> None:
        """SIGKILL in the step of an answer that accepts a message: of the `factor`-th from now on."""
        dispatcher = self.dispatchers[fault.on]
        async with dispatcher.turn:
            await dispatcher.kill_behind(int(fault.factor))
            await asyncio.sleep(fault.seconds if fault.seconds < math.inf else START_S)
            await dispatcher.start()

    async def begin_kill_outside(self, fault: Fault) -> None:
        """SIGKILL from here, as the `factor`-th acceptance from now on is read."""
        dispatcher = self.dispatchers[fault.on]
        async with dispatcher.turn:
            await dispatcher.kill_outside(int(fault.factor))
            await asyncio.sleep(fault.seconds if fault.seconds < math.inf else START_S)
            await dispatcher.start()

    async def begin_signals(self, fault: Fault) -> None:
        """SIGHUP and SIGTERM in series by chance, also at the start behind them."""
        chance = random.Random(f"signals {self.scenario.seed} {fault.at}")
        kinds = (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM)

        def series(most_s: float) -> SignalSeries:
            count = chance.randint(2, 5)
            return [(chance.uniform(0.0, most_s), int(chance.choice(kinds))) for _ in range(count)]

        async with self.dispatchers[fault.on].turn:
            await self.dispatchers[fault.on].signals(series(0.4), series(0.15))

    def begin_clock(self, fault: Fault) -> None:
        self.dispatchers[fault.on].clock.write_text(str(fault.step_s))

    def end_clock(self, fault: Fault) -> None:
        self.dispatchers[fault.on].clock.unlink(missing_ok=True)

    def begin_disk_error(self, fault: Fault) -> None:
        self.history.add("disk_fails", dispatcher=fault.on)
        self.dispatchers[fault.on].room.write_text("short" if fault.factor < 1.0 else "eio")

    def begin_disk(self, fault: Fault) -> None:
        dispatcher = self.dispatchers[fault.on]
        dispatcher.room.write_text(str(disk_bytes(dispatcher.state)))

    def end_disk(self, fault: Fault) -> None:
        self.dispatchers[fault.on].room.unlink(missing_ok=True)

    def end_disk_error(self, fault: Fault) -> None:
        self.end_disk(fault)
        self.history.add("disk_works", dispatcher=fault.on)

    def begin_burst(self, fault: Fault) -> None:
        self.factors[fault.on] = fault.factor

    def end_burst(self, fault: Fault) -> None:
        self.factors[fault.on] = 1.0


def play(
    scenario: Scenario, progress: Callable[[str], None] = lambda text: None, folder: Path | None = None
) -> Played:
    """Play it in a folder of its own, or in the one that is named."""

    async def work(where: Path) -> Played:
        return await Run(scenario, where, progress).play()

    if folder is not None:
        return asyncio.run(work(folder))
    with tempfile.TemporaryDirectory(prefix="rushhitch-lab-") as name:
        return asyncio.run(work(Path(name)))


def seeded(scenario: Scenario, seed: int | None, seconds: float | None = None) -> Scenario:
    told = {"seed": seed, "seconds": seconds}
    return dataclasses.replace(scenario, **{key: value for key, value in told.items() if value is not None})


def tell(played: Played) -> None:
    """The run's tables, for people."""
    partners = {spec.dest: spec.name for spec in played.scenario.partners}
    rows = [
        (
            "partner",
            "class",
            "asked",
            "in time",
            "late",
            "refused",
            "failed",
            "open",
            "worth",
            "p50 ms",
            "p99 ms",
        )
    ]
    found = [(partners[dest], cls, line) for (dest, cls), line in sorted(played.lines.items())]
    for partner, cls, line in [*found, ("all", "", played.total)]:
        share = line.worth / line.most if line.most else 0.0
        delays = [f"{report.quantile(line.delays, at):.0f}" for at in (0.5, 0.99)]
        counts = [str(n) for n in (line.asked, line.in_time, line.late, line.refused, line.failed, line.open)]
        rows.append((partner, cls, *counts, f"{share:.3f}", *delays))
    print(report.table(rows))
    rows = [("lane", "", "calls", "limit/s", "pressure p95", "worst")]
    for lane, (calls, limit, usual, worst) in sorted(played.pressure.items()):
        told = ("-", "-", "-") if limit == math.inf else (f"{limit:g}", f"{usual:.2f}", f"{worst:.2f}")
        rows.append((lane, "", str(calls), *told))
    print("\n" + report.table(rows))
    for name, memory in played.memory_mb.items():
        most = played.disk_most.get(name, 0)
        print(
            f"\n{name}: {memory:.0f} MB, {played.cpu_s[name]:.1f} s of CPU, {most} bytes on disk at most",
        )
    messages, times = report.told_over(played.history.events)
    print(f"\ntold that a message is over or has had its attempts: {times} times, of {messages} messages")
    for name in played.crashed:
        print(f"CRASHED: {name}")
    if played.members is not None:
        print(f"\nmembers: {len(played.members.held)} changes of what they hold of each other")
    for broken in (*played.broken, *played.member_broken):
        print(f"BROKEN: {broken}")
    if played.sound:
        print("rules kept, no crash")
