"""An upgrade under load beside a plain restart in the same run: messages without an answer, turned away and
delayed, the longest gap for clients, memory of both processes, and how fast the control address answers.
`python -m benchmarks.succession [--quick]`."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from benchmarks.report import Figure, finish, main_of
from benchmarks.throughput import Bench
from benchmarks.throughput import scenario as fast
from lab import report
from lab.clients import Ask
from lab.run import Run

PER_S = 200.0  # messages: half of what a share of a core carries, so that both processes have room
SETTLE_S = 1.5  # of load before and after each change
ASK_EVERY_S = 0.02  # between two calls to the control address
CALL_MS = 60.0  # of the partners: at any time some calls are out


@dataclass(slots=True)
class Change:
    """What clients saw of one upgrade or restart."""

    unanswered: int
    busy: int
    gap_ms: float  # the longest time without an answer while messages came
    delay_p99_ms: float  # from hand-in to the answer


class Watch:
    """Asks the control address all the time, and looks at memory."""

    def __init__(self, bench: Run) -> None:
        self.dispatcher, self.took, self.most_mb = bench.dispatchers["d0"], [], 0.0
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        pids = set()
        while True:
            began = loop.time()
            if self.dispatcher.control and await self.dispatcher.say("INFO"):
                self.took.append((loop.time() - began) * 1000.0)
            if self.dispatcher.process is not None:
                pids.add(self.dispatcher.process.pid)
            self.most_mb = max(self.most_mb, sum(map(rss_mb, pids)))
            await asyncio.sleep(ASK_EVERY_S)


def rss_mb(pid: int) -> float:
    """Resident memory of a process in megabytes, shared pages counted in each; 0 if it is gone."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    except (OSError, IndexError):
        return 0.0


async def load(bench: Bench, numbers: itertools.count) -> None:
    chance = random.Random("succession")
    loop = asyncio.get_running_loop()
    at = loop.time()
    while True:
        at += chance.expovariate(PER_S)
        await asyncio.sleep(max(at - loop.time(), 0.0))
        number = next(numbers)
        bench.clients.hand_in(Ask(("note", "pay")[number % 2], number % 8, 6000.0, bytes(300)))


async def change(bench: Bench, work) -> Change:
    bench.history.events.clear()
    await asyncio.sleep(SETTLE_S)
    await work()
    await asyncio.sleep(SETTLE_S)
    events = bench.history.events
    offers = {event["id"]: event["at"] for event in events if event["what"] == "offer"}
    answers = [event for event in events if event["what"] == "answer" and event["id"] in offers]
    heard = [event for event in answers if event["answer"] in ("ok", "busy")]
    times = sorted(event["at"] for event in heard)
    delays = [event["at"] - offers[event["id"]] for event in heard]
    return Change(
        sum(event["answer"] in ("none", "closed", "refused") for event in answers),
        sum(event["answer"] == "busy" for event in answers),
        max((later - sooner for sooner, later in itertools.pairwise(times)), default=0.0),
        report.quantile(delays, 0.99),
    )


async def measure(times: int, folder: Path) -> tuple[list[Change], list[Change], Watch, int]:
    told = fast(60.0)
    for spec in told.partners:
        spec.call_ms = CALL_MS
    bench = Bench(told, folder, lambda text: None)
    upgrades, restarts = [], []
    try:
        await bench.start()
        dispatcher, watch = bench.dispatchers["d0"], Watch(bench)
        loading = asyncio.get_running_loop().create_task(load(bench, itertools.count(1)))
        try:
            for _ in range(times):
                upgrades.append(await change(bench, dispatcher.upgrade))
                print("upgrade", upgrades[-1], flush=True)
            upgraded = len(watch.took), max(watch.took), report.quantile(watch.took, 0.99), watch.most_mb
            for _ in range(times):
                restarts.append(await change(bench, dispatcher.restart))
                print("restart", restarts[-1], flush=True)
        finally:
            loading.cancel()
            watch.task.cancel()
    finally:
        await bench.stop()
    return upgrades, restarts, upgraded, dispatcher.crashed


def run(quick: bool) -> int:
    with tempfile.TemporaryDirectory(prefix="rushhitch-succession-") as name:
        found = asyncio.run(measure(2 if quick else 6, Path(name)))
    upgrades, restarts, (asked, slowest, p99, memory), crashed = found
    figures = [
        Figure("upgrade_unanswered", sum(c.unanswered for c in upgrades), "messages", "<=", 0),
        Figure("upgrade_busy", sum(c.busy for c in upgrades), "messages", "<=", 0),
        Figure(
            "upgrade_gap_ms", max(c.gap_ms for c in upgrades), "ms", "<=", 250.0, "longest without answer"
        ),
        Figure("upgrade_delay_p99_ms", max(c.delay_p99_ms for c in upgrades), "ms", beside="of an answer"),
        Figure("restart_unanswered", sum(c.unanswered for c in restarts), "messages"),
        Figure("restart_busy", sum(c.busy for c in restarts), "messages"),
        Figure("restart_gap_ms", max(c.gap_ms for c in restarts), "ms"),
        Figure("control_slowest_ms", slowest, "ms", "<=", 1000.0, f"of {asked} calls of INFO under load"),
        Figure("control_p99_ms", p99, "ms"),
        Figure("memory_both_mb", memory, "MB", beside="the two together, shared pages twice"),
        Figure("crashed", float(crashed), "", "<=", 0.0),
    ]
    return finish("Upgrades under load beside plain restarts", figures)


if __name__ == "__main__":
    sys.modules.setdefault("benchmarks.succession", sys.modules[__name__])
    main_of(run)
