"""Budgets that members share: how much of one is used before, in and after a cut of half, and that it is
never passed; beside parts that are not lent, and members that act as if alone.

    python -m benchmarks.sharing [--quick]

The program's detector and budgets on virtual time, and four processes of the program with a partner that
states its limit. The last line is one JSON object; exit 1 where an aim is missed.
"""

from __future__ import annotations

import statistics
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from benchmarks.report import Figure, finish, main_of
from lab import report
from lab.explorer import explore
from lab.membership import storm
from lab.run import play
from lab.scenario import parse
from lab.sharing import SIZE, Alone, SharingWorld, over
from lab.sharing_explorer import met
from rushhitch.sharing.budgets import Budgets

SCHEMES = {"lent": Budgets, "parts alone": Alone}
CUT_S = 30.0
PHASES = {"before": 0.92, "in the cut": 0.85, "3 s after": 0.85, "then": 0.92}  # of what could be used: aims
AIM_MESSAGES = 5.0  # a second, of each


def cut_of_half(scheme: str, size: int, seed: int) -> tuple[list[float], float, float, float, float]:
    """The budget's use by phase, the most that was usable by all, what was wanted (both of the budget), and
    messages and bytes a second of each."""
    world = SharingWorld(size, seed, scheme=SCHEMES[scheme], buildings=2)
    world.watching = False
    begun = 40.0 + size / 4.0  # all have met, and their waits are over
    world.run(begun)
    told, told_bytes = world.told, world.told_bytes
    world.run(begun + 10.0)
    per_s = (world.told - told) / size / 10.0
    bytes_s = (world.told_bytes - told_bytes) / size / 10.0
    world.set_cut(lambda a, b: world.building[a] != world.building[b])
    world.run(begun + 10.0 + CUT_S)
    world.set_cut(lambda a, b: False)
    healed = world.now
    world.run(healed + 13.0)
    spans = ((begun, begun + 10.0), (begun + 13.0, healed), (healed, healed + 3.0), (healed + 3.0, world.now))
    used = []
    for low, high in spans:
        seen = [moment for moment in world.seen if low <= moment.at < high]
        used.append(sum(m.used for m in seen) / sum(min(m.wanted, SIZE) for m in seen))
    most = max(moment.usable for moment in world.seen) / SIZE
    return used, most, world.seen[-1].wanted / SIZE, per_s, bytes_s


# All work comes to one of four, at one and a half times what the partner states; halves are apart for 6 s.
LIMIT = 20.0  # calls a second
REAL = """
seconds = 31.0
dispatchers = 4
members = true
buildings = 2
handed = ["d0"]
max_held = 2000
[[class]]
name = "note"
effect = "repeatable"
aim_ms = 1000.0
deadline_ms = 3000.0
[[partner]]
name = "bank"
dest = 1
speaks = "structured"
agrees_per_min = 1200
load = { note = 30.0 }
[[fault]]
at = 19.0
what = "member_way"
on = "a-b"
cut = true
seconds = 6.0
[[fault]]
at = 19.0
what = "member_way"
on = "b-a"
cut = true
seconds = 6.0
"""
REAL_PHASES = {"before": (14.0, 19.0, 0.85), "in the cut": (22.0, 25.0, 0.4), "after": (28.0, 31.0, 0.85)}


def real(sharing: bool) -> tuple[dict[str, float], float, list[str]]:
    """Of the stated limit, what four dispatchers used by phase and the 95th percentile of windows of 2 s; and
    what was broken."""
    text = REAL.replace("members = true", "members = true\nsharing = true") if sharing else REAL
    with tempfile.TemporaryDirectory() as folder:
        played = play(parse(text, "sharing"), folder=Path(folder))
    times = played.admitted["bank"]
    began = min(event["at"] for event in played.history.events if event["what"] == "offer")
    used = {
        phase: sum(begin <= (at - began) / 1000.0 < end for at in times) / (end - begin) / LIMIT
        for phase, (begin, end, _) in REAL_PHASES.items()
    }
    broken = [str(one) for one in (*played.crashed, *played.broken, *played.member_broken)]
    return used, report.pressure(times, LIMIT, 2000.0)[0], broken


def real_figures() -> list[Figure]:
    with ProcessPoolExecutor(2) as pool:
        plays = {sharing: pool.submit(real, sharing) for sharing in (True, False)}
        found = {sharing: future.result() for sharing, future in plays.items()}
    figures = []
    for phase, (_, _, aim) in REAL_PHASES.items():
        beside = f"{found[False][0][phase]:.3f} with parts alone"
        name = f"4 processes, work at one, used {phase}"
        figures.append(Figure(name, found[True][0][phase], "", ">=", aim, beside))
    name = "4 processes, pressure, 95th percentile of 2 s"
    figures.append(Figure(name, found[True][1], "", "<=", 1.1, f"{found[False][1]:.3f} with parts alone"))
    broken = [*found[True][2], *found[False][2]]
    print(*broken, sep="\n")
    figures.append(Figure("4 processes, rules and properties broken", len(broken), "", "<=", 0))
    return figures


def stormy(seed: int) -> int:
    return len(over(storm(seed, kind=SharingWorld).seen, SIZE))


def run(quick: bool) -> int:
    figures: list[Figure] = []
    seeds, storms, depth = (3, 48, 6) if quick else (20, 2_000, 7)
    sizes = (10, 40) if quick else (10, 40, 200)
    with ProcessPoolExecutor() as pool:
        small = pool.submit(explore, met(), depth)
        plays = {
            (scheme, size): [
                pool.submit(cut_of_half, scheme, size, seed) for seed in range(seeds if size < 200 else 2)
            ]
            for size in sizes
            for scheme in SCHEMES
        }
        stormed = pool.map(stormy, range(storms), chunksize=4)
        for (scheme, size), futures in plays.items():
            done = [future.result() for future in futures]
            for number, (phase, aim) in enumerate(PHASES.items()):
                used = [one[0][number] for one in done]
                told = (">=", aim) if scheme == "lent" else ("", 0.0)
                beside = f"worst {min(used):.3f}, seeds {len(done)}"
                name = f"{size} members, {scheme}, used {phase}"
                figures.append(Figure(name, statistics.mean(used), "", *told, beside))
            most = max(one[1] for one in done)
            figures.append(Figure(f"{size} members, {scheme}, most usable", most, "", "<=", 1.0 + 1e-9))
            if scheme == "lent":
                wanted = statistics.mean(one[2] for one in done)
                name = f"{size} members, as if alone, used"
                figures.append(Figure(name, wanted, "", beside="of the budget"))
                per_s, bytes_s = (statistics.mean(one[n] for one in done) for n in (3, 4))
                name = f"{size} members, messages a second of each"
                figures.append(Figure(name, per_s, "", "<=", AIM_MESSAGES, f"{bytes_s:.0f} B/s"))
        broken = sum(stormed)
        model = small.result()
    figures += real_figures()
    figures.append(Figure("moments over the budget in storms", broken, "", "<=", 0, f"{storms} storms"))
    beside = f"{model.states} states, {model.steps} steps to depth {model.depth}"
    wrong = float(model.broken is not None)
    figures.append(Figure("over the budget in the small model", wrong, "", "<=", 0, beside))
    return finish("Budgets that members share", figures)


if __name__ == "__main__":
    main_of(run)
