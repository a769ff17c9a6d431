"""Membership: how soon a kill is found, who is buried falsely, what it costs; beside two baselines.

    python -m benchmarks.membership [--quick]

The simulation plays the program's detector on virtual time; the real part starts 20 processes of the program
on loopback. The last line is one JSON object; exit 1 where an aim is missed.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import random
import statistics
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from benchmarks.report import Figure, finish, main_of
from benchmarks.throughput import Bench
from benchmarks.throughput import scenario as fast
from lab.explorer import explore
from lab.fleet import MemberFleet
from lab.member_cases import CASES, SLOW, Case, ten_under_load
from lab.membership import World, storm
from lab.membership_baselines import Heartbeats, PlainSwim
from lab.membership_explorer import met
from lab.membership_rules import check
from lab.run import play as play_scenario
from lab.scenario import parse
from rushhitch.membership.detector import Detector, Tuning
from rushhitch.membership.view import State

SCHEMES = {"detector": Detector, "heartbeats": Heartbeats, "plain SWIM": PlainSwim}
AIM_FALSE = 20.0  # times fewer than the heartbeats
AIM_WORST_S = 3.0  # of 20 processes
AIM_BYTES = 3_000.0  # a second
AIM_CORE = 0.02  # of a core, more than with membership off
AIMED = (0.05, True)  # the losses and pauses for which the aim is set
JOINED_S = 14.0  # past what a fleet passes on while it joins
MEASURED_S = 4.0
LOAD_PER_S = 300.0  # messages
POLL_S = 0.03
SCENARIO = """
[[class]]
name = "note"
effect = "repeatable"
aim_ms = 1000.0
deadline_ms = 3000.0
[[partner]]
name = "bank"
dest = 1
load = { note = 1.0 }
"""


def fleet_of(size: int, seed: int, scheme: str, loss: float = 0.0) -> World:
    tuning = Tuning(fleet=size)
    world = World(size, seed, tuning, lambda own, chance, now: SCHEMES[scheme](own, tuning, chance, now))
    world.watching = size <= 100  # each look at all rows costs more than the members themselves
    world.run(10.0 + size / 20.0)
    world.loss = loss
    return world


def kills(scheme: str, size: int, loss: float, seed: int) -> tuple[list[float], float]:
    """Seconds until each survivor holds a killed member gone, and bytes a second that a member sends."""
    world = fleet_of(size, seed, scheme, loss)
    sent, begun = sum(p.sent_bytes for p in world.members.values()), world.now
    world.run(world.now + 5.0)
    per_s = (sum(p.sent_bytes for p in world.members.values()) - sent) / size / (world.now - begun)
    victim = world.chance.choice(sorted(world.members))
    at = world.now
    world.kill(victim)
    found: dict[str, float] = {}
    while world.now < at + 15.0 and len(found) < size - 1:
        world.run(world.now + 0.05)
        for name, process in world.members.items():
            held = process.detector.table.records.get(victim)
            if name not in found and process.running and held is not None and held.state >= State.GONE:
                found[name] = world.now - at
    return [found.get(name, 15.0) for name in world.members if name != victim], per_s


def burials(scheme: str, loss: float, pauses: bool, seed: int) -> tuple[int, float]:
    """How often a member held another gone that ran and did not stand still, and member-hours played."""
    world = fleet_of(20, seed, scheme, loss)
    chance, begun = random.Random(seed), world.now
    held = len(world.history.held)
    while world.now < begun + 120.0:
        if pauses:
            for name in chance.sample(list(world.ports), 2):
                world.stop(name, chance.choice((1.0, 3.0, 5.0)))
        world.run(world.now + 5.0)
    still = {name: process.life.still for name, process in world.members.items()}
    false = sum(
        h.state == State.GONE and not any(begin <= h.at <= end + 2.0 for begin, end in still[h.name])
        for h in world.history.held[held:]
    )
    return false, 20 * (world.now - begun) / 3600.0


def bursts(scheme: str, seed: int) -> int:
    """How many verdicts follow three seconds in which all is lost, in a fleet of 20."""
    world = fleet_of(20, seed, scheme, 1.0)
    held = len(world.history.held)
    world.run(world.now + 3.0)
    world.loss = 0.0
    world.run(world.now + 8.0)
    return sum(h.state == State.GONE for h in world.history.held[held:])


def flaps(scheme: str, seed: int) -> float:
    """Changes of a view for each cut, where one of 20 is cut off each second second for a minute."""
    world = fleet_of(20, seed, scheme)
    held = len(world.history.held)
    for second in range(60):
        apart = second % 2 == 0
        world.set_cut(lambda a, b, apart=apart: apart and "m0003" in (a, b))
        world.run(world.now + 1.0)
    turns = [h for h in world.history.held[held:] if h.name == "m0003" != h.by and h.state != State.SUSPECT]
    return len(turns) / 19 / 30


def stormy(seed: int) -> int:
    world = storm(seed)
    return len(check(world.history, len(world.ports)))


def simulated(quick: bool) -> list[Figure]:
    """All on virtual time, each play a task of its own."""
    seeds, storms, depth = (1, 16, 5) if quick else (20, 2_000, 7)
    figures: list[Figure] = []
    with ProcessPoolExecutor() as pool:
        small = pool.submit(explore, met(), depth)
        cases = [] if quick else [("detector", 1000, 0.0, 2), ("detector", 300, 0.0, 2)]
        cases += [("detector", 100, 0.0, 1 if quick else seeds)]
        cases += [("detector", 20, loss, seeds) for loss in (0.0, 0.05, 0.2)]
        cases += [("heartbeats", 20, 0.0, seeds), ("plain SWIM", 20, 0.0, seeds)]
        found = {
            (scheme, size, loss): [pool.submit(kills, scheme, size, loss, seed) for seed in range(several)]
            for scheme, size, loss, several in cases
        }
        patterns = [(0.0, True), (0.05, False), (0.05, True), (0.2, True)]
        several = {pattern: max(seeds, 4) if pattern == AIMED else seeds for pattern in patterns}
        buried = {
            (scheme, *pattern): [pool.submit(burials, scheme, *pattern, s) for s in range(several[pattern])]
            for pattern in patterns
            for scheme in SCHEMES
        }
        after = {scheme: [pool.submit(bursts, scheme, s) for s in range(seeds)] for scheme in SCHEMES}
        flapped = {scheme: [pool.submit(flaps, scheme, s) for s in range(seeds)] for scheme in SCHEMES}
        stormed = [pool.submit(stormy, seed) for seed in range(storms)]
        loads: dict[tuple[int, float], float] = {}
        for (scheme, size, loss), plays in found.items():
            done = [play.result() for play in plays]
            times = sorted(t for found_s, _ in done for t in found_s)
            per_s = statistics.mean(rate for _, rate in done)
            high = times[int(0.99 * (len(times) - 1))]
            beside = f"99th {high:.2f} s, worst {times[-1]:.2f} s, {per_s:.0f} B/s, seeds {len(done)}"
            name = f"{scheme}, one of {size} killed, {loss:.0%} lost: median"
            figures.append(Figure(name, statistics.median(times), "s", beside=beside))
            if scheme == "detector":
                loads[size, loss] = per_s
        false: dict[tuple[str, float, bool], float] = {}
        for (scheme, loss, pauses), plays in buried.items():
            done = [play.result() for play in plays]
            rate = sum(n for n, _ in done) / sum(hours for _, hours in done)
            false[scheme, loss, pauses] = rate
            name = f"{scheme}, {loss:.0%} lost{', pauses' if pauses else ''}: false burials"
            figures.append(Figure(name, rate, "a member-hour"))
        hours = sum(play.result()[1] for play in buried["detector", *AIMED])
        for scheme in SCHEMES:
            verdicts = statistics.mean(play.result() for play in after[scheme])
            aim = ("<=", 0.0) if scheme == "detector" else ("", 0.0)
            figures.append(Figure(f"{scheme}, verdicts after 3 s of total loss", verdicts, "", *aim))
        for scheme in SCHEMES:
            changes = statistics.mean(play.result() for play in flapped[scheme])
            figures.append(Figure(f"{scheme}, changes of a view for each flap", changes, ""))
        broken = sum(play.result() for play in stormed)
        model = small.result()
    ours, plain = false["detector", *AIMED], false["heartbeats", *AIMED]
    ratio = plain / max(ours, 1.0 / hours)
    beside = f"ours counted as one in {hours:.1f} member-hours, where there was none"
    figures.append(Figure("heartbeats' false burials by ours", ratio, "", ">=", AIM_FALSE, beside))
    told = sorted(loads.items())
    beside = ", ".join(f"{rate:.0f} of {size}, {loss:.0%} lost" for (size, loss), rate in told)
    most = max(loads.values())
    figures.append(Figure("most bytes that a member sends", most, "B/s", "<=", AIM_BYTES, beside))
    figures.append(Figure("properties broken in storms", broken, "", "<=", 0, f"{storms} storms"))
    wrong = float(model.broken is not None)
    beside = f"{model.states} states, {model.steps} steps to depth {model.depth}"
    figures.append(Figure("properties broken in the small model", wrong, "", "<=", 0, beside))
    return figures


def cpu_s(fleet: MemberFleet) -> float:
    """Processor time of all its processes."""
    total = 0.0
    for process in fleet.processes.values():
        fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        total += sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")
    return total


def rss_mb(fleet: MemberFleet) -> float:
    pages = [int(Path(f"/proc/{p.pid}/statm").read_text().split()[1]) for p in fleet.processes.values()]
    return statistics.median(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6


def sent_bytes(fleet: MemberFleet) -> float:
    return sum(report["sent_bytes"] for report in fleet.reports.values())


async def real(size: int, rounds: int, folder: Path, quick: bool) -> list[Figure]:
    """Twenty processes of the program, beside as many with membership off. The simulations are played while
    they join."""
    settings = parse(SCENARIO, "members").settings(0)
    for name in ("on", "off"):
        (folder / name).mkdir()
    off = MemberFleet(folder / "off", size, settings, member=False)
    on = MemberFleet(folder / "on", size, settings)
    async with off, on:
        off.tasks[-1].cancel()  # there is nobody to ask
        figures = await asyncio.to_thread(simulated, quick)
        await on.until(on.all_there, 30.0)
        while on.now < JOINED_S:
            await asyncio.sleep(0.1)
        watch = on.tasks.pop()
        watch.cancel()  # what it costs to be watched is not what it costs
        before, begun = (cpu_s(on), cpu_s(off)), time.monotonic()
        await asyncio.sleep(MEASURED_S)
        lasted = time.monotonic() - begun
        used, used_off = ((cpu_s(f) - b) / lasted / size for f, b in zip((on, off), before, strict=True))
        more_mb = rss_mb(on) - rss_mb(off)
        on.tasks.append(asyncio.get_running_loop().create_task(on.watch.run()))
        await on.until(on.all_there, 20.0)
        sent, begun = sent_bytes(on), on.now
        await asyncio.sleep(MEASURED_S)
        per_s = (sent_bytes(on) - sent) / size / (on.now - begun)
        took = []
        for victim in on.names[:rounds]:
            await on.kill(victim)
            others = on.up()
            all_hold = lambda v=victim, o=others: all(on.states(by).get(v) == "gone" for by in o)  # noqa: E731
            took.append(await on.until(all_hold, 20.0))
            await on.start(victim)
            await on.until(on.all_there, 20.0)
    beside = f"median {statistics.median(took):.2f} s of {rounds} kills"
    figures.append(Figure("20 processes: worst detection", max(took), "s", "<=", AIM_WORST_S, beside))
    figures.append(Figure("20 processes: sent by each", per_s, "B/s", "<=", AIM_BYTES))
    beside = f"{used_off:.4f} with membership off"
    figures.append(Figure("20 processes: more of a core", used - used_off, "", "<=", AIM_CORE, beside))
    figures.append(Figure("20 processes: more memory", more_mb, "MB"))
    return figures


async def found_under_load(bench: Bench, rounds: int) -> Figure:
    """Kills while all of them have messages to carry."""
    watch = asyncio.get_running_loop().create_task(bench.members.run())
    took = []
    for victim in list(bench.dispatchers)[1 : 1 + rounds]:
        while not bench.members.alike():
            await asyncio.sleep(POLL_S)
        load = asyncio.get_running_loop().create_task(bench.offer(LOAD_PER_S, 8.0))
        await asyncio.sleep(1.0)
        await bench.dispatchers[victim].kill()
        begun = bench.history.now()
        others = [name for name in bench.dispatchers if name != victim]
        while not all(bench.members.states(by).get(victim) == "gone" for by in others):
            await asyncio.sleep(POLL_S)
        took.append((bench.history.now() - begun) / 1000.0)
        await load
        await bench.dispatchers[victim].start()
    watch.cancel()
    beside = f"median {statistics.median(took):.2f} s of {rounds} kills, {LOAD_PER_S:.0f} messages a second"
    name = f"{len(bench.dispatchers)} processes under load: worst detection"
    return Figure(name, max(took), "s", "<=", AIM_WORST_S, beside)


async def loaded(size: int, rounds: int, seconds: float, folder: Path, found: int) -> list[Figure]:
    """One of the members under load, beside one with membership off under the same, in turns: the part of a
    core's messages that it costs."""
    benches = {}
    shares: dict[bool, list[float]] = {False: [], True: []}
    per_s: list[float] = []
    try:
        for members in shares:
            place = folder / f"load {members}"
            place.mkdir()
            told = dataclasses.replace(fast(seconds), members=members, dispatchers=size)
            benches[members] = bench = Bench(told, place, lambda text: None)
            await bench.start()
            all_ports = bench.clients.ports
            bench.clients.ports = {"d0": all_ports["d0"]}
            await bench.offer(100.0, 1.0)  # connections come up
        for turn in range(2 * rounds):
            members = turn % 4 in (0, 3)
            told = await benches[members].offer(LOAD_PER_S, seconds)
            shares[members].append(told["share"])
            per_s.append(told["per_s"])
        benches[True].clients.ports = all_ports
        more = [await found_under_load(benches[True], found)] if found else []
    finally:
        for bench in benches.values():
            await bench.stop()
            bench.member_ways.stop()
    with_it, without = (statistics.median(shares[members]) for members in (True, False))
    beside = f"{with_it:.3f} and {without:.3f} of a core for {statistics.mean(per_s):.0f} messages a second"
    return [Figure("under load: more of a core", with_it - without, "", "<=", AIM_CORE, beside), *more]


async def minutes(folder: Path) -> Figure:
    """The cases of half a minute and a minute, all side by side: each mostly waits."""
    failed: list[str] = []

    async def one(number: int, name: str, case: Case, lasts: float) -> None:
        (folder / f"case {number}").mkdir()
        settings = parse(SCENARIO, "members").settings(0)
        fleet = MemberFleet(folder / f"case {number}", 6, settings, buildings=2, every_s=0.5)
        try:
            async with fleet:
                await fleet.until(fleet.all_there, 30.0)
                await case(fleet, lasts)
        except (AssertionError, TimeoutError) as error:
            failed.append(f"{name}: {error}")
        held = (4,) if name in SLOW else (1, 2, 4)
        failed.extend(f"{name}: {b}" for b in check(fleet.history, 6) if b.property in held)

    await asyncio.gather(*(one(n, name, *told) for n, (name, told) in enumerate(CASES.items())))
    for text in failed:
        print(text)
    return Figure("cases of minutes, what failed", len(failed), "", "<=", 0, f"{len(CASES)} cases")


def ten(folder: Path) -> Figure:
    played = play_scenario(parse(ten_under_load(long=True), "pauses"), folder=folder)
    broken = [*played.crashed, *played.broken, *played.member_broken]
    print(*broken, sep="\n")
    assert played.members is not None
    gone = sorted({h.name for h in played.members.held if h.state == State.GONE})
    beside = f"{played.total.asked} messages, {played.total.in_time} in time; held gone: {', '.join(gone)}"
    return Figure("ten under load, pauses to 30 s: broken", len(broken), "", "<=", 0, beside)


def run(quick: bool) -> int:
    with tempfile.TemporaryDirectory() as told:
        folder = Path(told)
        figures = asyncio.run(real(20, 2 if quick else 10, folder, quick))
        figures += asyncio.run(loaded(*((4, 2, 2.0, folder, 0) if quick else (20, 8, 4.0, folder, 5))))
        if not quick:
            figures += [asyncio.run(minutes(folder)), ten(folder)]
        return finish("Membership", figures)


if __name__ == "__main__":
    main_of(run)
