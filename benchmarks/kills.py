"""Dispatchers that are killed, judged from outside: behind their answers, and at each of their system calls.

`python -m benchmarks.kills [--quick]`. From outside: life after life of real dispatchers is killed as another
process reads one of its answers. At the system calls: a shim counts them, the kill falls before and after
the n-th, and n goes up until a life ends without reaching it; for a burst, a planned end, a reload and a
handover, and with a second kill as the next process starts.
"""

from __future__ import annotations

import os
from concurrent.futures import ProcessPoolExecutor
from itertools import product

from benchmarks.report import Figure, finish, main_of
from lab.kills import HOWS, Account, KillPoint, Script, play_outside, play_points

WORKERS = max((os.cpu_count() or 2) - 2, 2)  # each with a dispatcher, and its share of the lab
KILLS, QUICK_KILLS = 1_000, 120  # from outside, in all
KILLS_A_RUN = 20
PLANS_A_RUN = 8  # dispatchers side by side
MOST_CALLS = 400  # system calls of a life: more than any has
SECOND_STEP = 5  # of the system calls of a start behind a kill, every so many is killed at
MOST_GIVEN_UP = 0.10  # of what was heard and not called before a kill


def outside(kills: int) -> Account:
    total = Account()
    with ProcessPoolExecutor(WORKERS) as pool:
        for told in pool.map(
            play_outside, range(kills // KILLS_A_RUN), [KILLS_A_RUN] * (kills // KILLS_A_RUN)
        ):
            total.add(told)
    return total


def points(script: Script, step: int = 1) -> tuple[Account, int]:
    """Kills at every `step`-th system call of a life, until one is not reached; and how many there are."""
    total, first = Account(), 1
    while first < MOST_CALLS:
        calls = [first + step * n for n in range(PLANS_A_RUN * WORKERS // (2 * len(HOWS)))]
        plans = [(KillPoint(nth, how),) for nth, how in product(calls, HOWS)]
        reached = add_runs(total, script, plans)
        if not any(reached[-2 * len(HOWS) :]):
            break
        first = calls[-1] + step
    return total, first


def second_kills(calls: int, step: int) -> Account:
    """A kill at each `step`-th system call of a burst, and another one as the next process starts."""
    total = Account()
    firsts = range(1, calls, step)
    plans = [
        (KillPoint(nth, HOWS[nth % 2]), KillPoint(1 + (nth * SECOND_STEP + 7 * n) % 40, HOWS[n % 2]))
        for nth in firsts
        for n in range(2)
    ]
    add_runs(total, Script.BURST, plans)
    return total


def add_runs(total: Account, script: Script, plans: list[tuple[KillPoint, ...]]) -> list[bool]:
    """Play the plans, some at a time; whether the last point of each was reached."""
    chunks = [plans[at : at + PLANS_A_RUN] for at in range(0, len(plans), PLANS_A_RUN)]
    reached: list[bool] = []
    with ProcessPoolExecutor(WORKERS // 2) as pool:
        for told, found in pool.map(play_points, range(len(chunks)), chunks, [script] * len(chunks)):
            total.add(told)
            reached += found
    return reached


def figures_of(name: str, told: Account, share: bool) -> list[Figure]:
    for line in told.broken:
        print(f"BROKEN ({name}): {line}", flush=True)
    beside = f"{told.kills} kills, {told.heard} messages that were heard"
    found = [
        Figure(f"{name}_unheard_sent", told.unheard_sent, "", "<=", 0, beside),
        Figure(f"{name}_endless", told.endless, "", "<=", 0),
        Figure(f"{name}_broken", len(told.broken), "", "<=", 0),
    ]
    if share:
        untried = f"{told.given_up} of {told.untried} that were untried at a kill"
        found.append(Figure(f"{name}_given_up", told.share_given_up, "", "<=", MOST_GIVEN_UP, untried))
    return found


def run(quick: bool) -> int:
    figures = figures_of("outside", outside(QUICK_KILLS if quick else KILLS), share=True)
    step = 9 if quick else 1
    calls = 0
    for script in (Script.BURST,) if quick else Script:
        told, reached = points(script, step)
        calls = max(calls, reached)
        figures += figures_of(script.name.lower(), told, share=False)
    if not quick:
        figures += figures_of("second_kill", second_kills(calls, 1), share=False)
    return finish("Kills behind answers and at system calls", figures)


if __name__ == "__main__":
    main_of(run)
