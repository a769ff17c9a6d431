"""Budgets that members share: how much of one is used before, in and after a cut of half, and that it is
never passed; beside parts that are not lent, and members that act as if alone.

    python -m benchmarks.sharing [--quick]

The program's detector and budgets on virtual time. The last line is one JSON object; exit 1 where an aim is
missed.
"""

from __future__ import annotations

import statistics
from concurrent.futures import ProcessPoolExecutor

from benchmarks.report import Figure, finish, main_of
from lab.membership import storm
from lab.sharing import SIZE, Alone, SharingWorld, over
from lab.sharing_explorer import explore, met
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
    figures.append(Figure("moments over the budget in storms", broken, "", "<=", 0, f"{storms} storms"))
    beside = f"{model.states} states, {model.steps} steps to depth {model.depth}"
    figures.append(Figure("over the budget in the small model", float(model.broken), "", "<=", 0, beside))
    return finish("Budgets that members share", figures)


if __name__ == "__main__":
    main_of(run)
