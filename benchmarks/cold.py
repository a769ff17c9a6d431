"""A cold destination, called by dispatchers that share nothing: how often do they push it over as it returns,
and how soon is it used in full?

    python -m benchmarks.cold [--quick]

Beyond a budget of N calls, 2 root N + 2 are put down to chance, with two hundred dispatchers as with three.
The rule is broken where over two thirds of the calls that push it over come from dispatchers that were told
of the outage; no scheme that shares nothing holds those that were not. The share by the stricter reading of
`lab/cold.py` stands beside. Each cell has its seeds from 0 on. The last line is one JSON object; exit 1 where
an aim is missed.
"""

from __future__ import annotations

import statistics
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor

from benchmarks.report import Figure, finish, main_of
from lab.cold import SCENARIOS, Result, Return, Scenario

BUDGETS = (2.0, 5.0, 20.0, 100.0)
SIZES = (1, 3, 20, 30, 200)
CORES = 2
SEEDS = {2.0: 6, 5.0: 5, 20.0: 3, 100.0: 1}  # a cell; in all about a thousand runs
CROWDED = 50.0  # calls: with such budgets few dispatchers hold thousands of messages, and play one scenario
QUICK = {2.0: 3, 5.0: 2}  # and the sizes from 20 on
HELD = {  # of these no run may be broken; of the others the share is measured, and what bounds it is stated
    "refused",
    "late connects",
    "late connects, long",
    "hangs",
    "hangs, long",
    "fails",
    "short",
    "restarts, kept",
    "restarts, blank",
    "restarts at the return",
    "one has most",
    "a third untold",
    "two endpoints",
    "clumps to one",
    "clumps, late connects",
}

Job = tuple[Scenario, float, int, int]


def played(job: Job) -> tuple[Job, Result]:
    scenario, budget, size, seed = job
    return job, Return(budget, size, seed, scenario).play()


def jobs_of(quick: bool) -> list[Job]:
    seeds, sizes = (QUICK, SIZES[2:]) if quick else (SEEDS, SIZES)
    return [
        (scenario, budget, size, seed)
        for budget, count in sorted(seeds.items(), reverse=True)  # the longest first
        for scenario in SCENARIOS
        for size in sizes
        if budget < CROWDED or size >= 20 or scenario is SCENARIOS[0]
        for seed in range(count)
    ]


def row(results: list[Result]) -> str:
    broken = sum(result.broken for result in results)
    fell = sum(result.fell for result in results)
    pressure = max(result.told.pressure for result in results)
    full = statistics.median(result.full_after_ms for result in results) / 1000.0
    worth = statistics.fmean(result.worth for result in results)
    return f"{broken:3}/{fell}/{len(results)} {pressure:5.2f} {full:5.1f} s {worth:.2f}"


def run(quick: bool) -> int:
    jobs = jobs_of(quick)
    cells: dict[tuple[str, float, int], list[Result]] = defaultdict(list)
    with ProcessPoolExecutor(CORES) as pool:
        for (scenario, budget, size, _), result in pool.map(played, jobs, chunksize=2):
            cells[scenario.name, budget, size].append(result)
    sizes = sorted({size for _, _, size in cells})
    lines = [
        "broken/fell/runs, the most calls of what is borne, full use after (median), worth",
        f"{'':36}{'N':>4} " + "".join(f"{size:>28}" for size in sizes),
    ]
    for scenario in SCENARIOS:
        for budget in sorted({budget for _, budget, _ in cells}):
            found = [cells.get((scenario.name, budget, size)) for size in sizes]
            rows = "".join(f"{row(cell) if cell else 'not run':>28}" for cell in found)
            lines.append(f"{scenario.name:36}{budget:4.0f} {rows}")
    print("\n".join(lines))
    figures = []
    for scenario in SCENARIOS:
        results = [r for (name, _, _), cell in cells.items() if name == scenario.name for r in cell]
        share = sum(result.broken for result in results) / len(results)
        aim = ("<=", 0.0) if scenario.name in HELD else ("", 0.0)
        fell = sum(result.fell for result in results)
        strict = sum(result.strict.broken for result in results) / len(results)
        beside = f"{fell} of {len(results)} fell; by the strict reading {strict:.3f} broken"
        figures.append(Figure(f"broken: {scenario.name}", share, "of runs", *aim, beside))
    return finish("Cold returns", figures)


if __name__ == "__main__":
    main_of(run)
