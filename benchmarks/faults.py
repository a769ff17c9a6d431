"""Days of faults in the lab, by seed: kills, planned restarts, full disks, resets, spoilt answers, outages,
and directory outages at times that come from the seed. `python -m benchmarks.faults [--quick] [--seed N]`."""

from __future__ import annotations

import random
import sys
from concurrent.futures import ProcessPoolExecutor

from benchmarks.report import Figure, finish
from lab.history import History
from lab.partners import Spec
from lab.run import Played, play
from lab.scenario import ClassSpec, Fault, Scenario

SECONDS = 30.0
SEEDS = range(1, 21)
JOBS = 4  # days at once: a dispatcher takes a tenth of a core, the stand-ins as much
QUICK_SECONDS, QUICK_SEEDS = 14.0, range(1, 3)


def day(seed: int, seconds: float) -> Scenario:
    """The day of a seed: the same partners each time, faults by chance."""
    chance = random.Random(f"day {seed}")
    classes = [
        ClassSpec("balance-update", "repeatable", 1500.0, 5000.0),
        ClassSpec("payment-order", "once", 2000.0, 8000.0, 2.0, 0.5),
        ClassSpec("posting", "by_key", 1500.0, 6000.0, 1.0, 0.3, window_ms=3000.0),
        ClassSpec("ledger-line", "once", 2000.0, 8000.0, 1.0, 0.3, in_order=True, keys=6),
    ]
    banks = [
        Spec(
            f"bank-{n}",
            n,
            "banks",
            2,
            ("a", "b"),
            True,
            20,
            15.0,
            2000.0 * (n == 1),
            tells=0.6,
            deferred=0.02,
        )
        for n in (1, 2)
    ]
    firms = [
        Spec(
            f"firm-{n}",
            10 + n,
            "firms",
            1 + n % 2,
            ("a", "b"),
            per_s=(25.0, 12.0, float("inf"))[n % 3],
            tells=0.4,
        )
        for n in range(4)
    ]
    load = {bank.name: {"balance-update": 8.0, "payment-order": 6.0, "ledger-line": 2.0} for bank in banks}
    load |= {firm.name: {"balance-update": 4.0, "payment-order": 2.0, "posting": 2.0} for firm in firms}
    names = [spec.name for spec in banks + firms]
    faults = [
        Fault(chance.uniform(2.0, seconds - 6.0), "kill", "d0", chance.uniform(0.2, 1.5)),
        Fault(chance.uniform(1.0, seconds - 4.0), "disk", "d0", chance.uniform(1.0, 3.0)),
        Fault(chance.uniform(1.0, seconds - 6.0), "directory", "", chance.uniform(1.0, 5.0)),
        Fault(chance.uniform(1.0, seconds - 5.0), "drain", "bank-1-1", 3.0),
        Fault(chance.uniform(1.0, seconds - 5.0), "late", "", 4.0, late_s=1.0),
        Fault(chance.uniform(1.0, seconds - 5.0), "pause", "d0", chance.uniform(0.05, 0.25)),
        Fault(chance.uniform(1.0, seconds - 5.0), "burst", chance.choice(names), 4.0, factor=3.0),
    ]
    if chance.random() < 0.5:
        faults.append(Fault(chance.uniform(seconds * 0.6, seconds - 5.0), "restart", "d0"))
    kinds = (
        {"shut": True},
        {"silent": True},
        {"down": True},
        {"fail": 0.8},
        {"slow": 10.0},
        {"reset": 0.3},
        {"spoil": 0.2, "cut": 0.2},
        {"late_ms": 900.0},
    )
    for _ in range(int(seconds / 6.0)):
        on = chance.choice(names)
        faults.append(
            Fault(
                chance.uniform(1.0, seconds - 4.0),
                "partner",
                on,
                chance.uniform(1.0, 4.0),
                faults=chance.choice(kinds),
            )
        )
    return Scenario(
        f"day {seed}",
        seed=seed,
        seconds=seconds,
        zones=("a", "b"),
        classes=classes,
        partners=banks + firms,
        load=load,
        faults=faults,
        slots=24,
        disk_mb=0.5,
        copies=seed % 2 == 0,
        sync=("none", "batch", "always")[seed % 3],
    ).check()


def played_day(seed: int, seconds: float) -> Played:
    """In a process of its own; the history stays there."""
    played = play(day(seed, seconds))
    played.history = History()
    return played


def run(seeds: range | list[int], seconds: float) -> int:
    asked = broken = crashed = open_ = 0
    shares = []
    with ProcessPoolExecutor(JOBS) as pool:
        found = list(pool.map(played_day, seeds, [seconds] * len(seeds)))
    for seed, played in zip(seeds, found, strict=True):
        total = played.total
        asked, open_ = asked + total.asked, open_ + total.open
        broken, crashed = broken + len(played.broken), crashed + len(played.crashed)
        shares.append(total.worth / total.most)
        most = max(played.disk_most.values()) / 1e6
        print(
            f"seed {seed}: {total.asked} asked, worth {shares[-1]:.3f}, refused {total.refused},"
            f" failed {total.failed}, disk {most:.2f} of 0.5 MB, sync {played.scenario.sync},"
            f" broken {len(played.broken)}",
            flush=True,
        )
        for one in played.broken:
            print(f"  {one}\n  play it again: python -m benchmarks.faults --seed {seed}")
    return finish(
        f"Days of faults: {len(shares)} seeds, {seconds:g} s each",
        [
            Figure("broken", broken, "breaches", "<=", 0.0),
            Figure("crashed", crashed, "dispatchers", "<=", 0.0),
            Figure("open", open_, "messages", "<=", 0.0, "with no end"),
            Figure("asked", asked, "messages"),
            Figure("worth_least", min(shares), "", beside="of the worth asked for, on the worst day"),
        ],
    )


def main() -> int:
    words = sys.argv[1:]
    if "--seed" in words:
        return run([int(words[words.index("--seed") + 1])], SECONDS)
    return run(QUICK_SEEDS, QUICK_SECONDS) if "--quick" in words else run(SEEDS, SECONDS)


if __name__ == "__main__":
    sys.exit(main())
