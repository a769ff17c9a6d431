"""The real dispatcher on one core against fast stand-ins: messages a second at 90% of that core, CPU and
delay of a message, memory, and where the time goes. `python -m benchmarks.throughput [--quick]`."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import sys
import tempfile
from pathlib import Path

from benchmarks.report import Figure, finish, main_of
from lab import report
from lab.clients import Ask
from lab.partners import Spec
from lab.run import Run
from lab.scenario import ClassSpec, Scenario
from lab.top import run as lab_alone

FULL = 0.9  # of its core
START_PER_S, GROW = 200.0, 1.35  # offered load, raised step by step until the core is full
BODY = 300  # bytes
ALL = ("journal", "HTTP", "RESP2", "decisions", "turns", "loop", "other")


def scenario(seconds: float) -> Scenario:
    """Partners that are never the bottleneck, with nothing going wrong."""
    partners = [
        Spec(f"p{n}", n, "fast", 2, ("a",), slots=1000, queue=1000, call_ms=3.0, spread=0.1, connections=500)
        for n in range(8)
    ]
    classes = [
        ClassSpec("note", "repeatable", 1500.0, 6000.0),
        ClassSpec("pay", "once", 2000.0, 8000.0, 2.0, 0.5),
    ]
    return Scenario(
        "throughput",
        1,
        seconds,
        dispatchers=1,
        zones=("a",),
        classes=classes,
        partners=partners,
        slots=400,
        max_held=4000,
        disk_mb=64.0,
        sockets=4096,
    ).check()


class Bench(Run):
    """A run with its load given step by step."""

    async def offer(self, per_s: float, seconds: float) -> dict[str, float]:
        """One step; what it took. The step's first third is left out."""
        chance = random.Random(f"throughput {per_s}")
        dispatcher = self.dispatchers["d0"]
        began, at, mark = self.history.now(), 0.0, None
        loop = asyncio.get_running_loop()
        while at < seconds * 1000.0:
            at += chance.expovariate(per_s) * 1000.0
            rest = (began + at - self.history.now()) / 1000.0
            if rest > 0.002:
                await asyncio.sleep(rest)
            if mark is None and at > seconds * 333.0:
                mark = (dispatcher.cpu_s(), loop.time(), self.history.now())
            number = next(self.numbers)
            self.clients.hand_in(Ask(("note", "pay")[number % 2], number % 8, 6000.0, bytes(BODY)))
        cpu, clock = dispatcher.cpu_s() - mark[0], loop.time() - mark[1]
        await asyncio.sleep(0.3)
        offers = {
            e["id"]: e["at"] for e in self.history.events if e["what"] == "offer" and e["at"] >= mark[2]
        }
        delays = [
            event["at"] - offers[name]
            for event in self.history.events
            if event["what"] == "reply"
            for name, end in event["ends"].items()
            if end == "accepted" and name in offers
        ]
        self.history.events.clear()
        return {
            "share": cpu / clock,
            "per_s": len(delays) / clock,
            "offered": len(offers) / clock,
            "cpu_us": cpu / max(len(delays), 1) * 1e6,
            "p50_ms": report.quantile(delays, 0.5),
            "p99_ms": report.quantile(delays, 0.99),
            "memory_mb": dispatcher.rss_mb(),
        }

    numbers = itertools.count(1)

    async def stop(self) -> None:
        for dispatcher in self.dispatchers.values():
            await dispatcher.kill()
            dispatcher.log.close()
        self.clients.stop()
        self.partners.stop()
        self.directory.stop()


async def steps(seconds: float, folder: Path) -> tuple[list[dict[str, float]], dict[str, float]]:
    """Load goes up until the core is full or the dispatcher falls behind; then a profile at two thirds."""
    bench = Bench(scenario(seconds), folder, lambda text: None)
    found: list[dict[str, float]] = []
    try:
        await bench.start()
        dispatcher = bench.dispatchers["d0"]
        core = max(os.sched_getaffinity(0))
        os.sched_setaffinity(dispatcher.process.pid, {core})
        os.sched_setaffinity(0, os.sched_getaffinity(0) - {core} or {core})
        await bench.offer(100.0, 1.0)  # connections come up
        per_s = START_PER_S
        while len(found) < 12:
            found.append(await bench.offer(per_s, seconds))
            print("  ".join(f"{key} {value:.4g}" for key, value in found[-1].items()), flush=True)
            if found[-1]["share"] >= FULL or found[-1]["per_s"] < 0.9 * found[-1]["offered"]:
                break
            per_s *= GROW
        await dispatcher.kill()
        dispatcher.profile = folder / "profile"  # sampling costs time itself, so it has a process of its own
        await dispatcher.start()
        await bench.offer(at_full(found) / 2.0, seconds)
        await dispatcher.restart()  # at its end it writes its profile
        profile = json.loads((folder / "profile").read_text())
    finally:
        await bench.stop()
    return found, profile


def at_full(found: list[dict[str, float]]) -> float:
    """Messages a second at 90% of the core, between the steps on either side."""
    for before, after in itertools.pairwise(found):
        if after["share"] >= FULL > before["share"]:
            part = (FULL - before["share"]) / (after["share"] - before["share"])
            return before["per_s"] + part * (after["per_s"] - before["per_s"])
    last = found[-1]
    return last["per_s"] * FULL / last["share"]


def run(quick: bool) -> int:
    with tempfile.TemporaryDirectory(prefix="rushhitch-throughput-") as name:
        found, profile = asyncio.run(steps(2.0 if quick else 6.0, Path(name)))
    lab = asyncio.run(lab_alone(3.0))
    usual = found[len(found) // 2]
    total = sum(profile.values()) or 1.0
    figures = [
        Figure("per_s", at_full(found), "messages/s", beside="at 90% of one core"),
        Figure("cpu_us", usual["cpu_us"], "us", beside=f"a message, at {usual['per_s']:.0f} a second"),
        Figure("p50_ms", usual["p50_ms"], "ms", beside="from hand-in to delivery, a call takes 3 ms"),
        Figure("p99_ms", usual["p99_ms"], "ms"),
        Figure("memory_mb", found[-1]["memory_mb"], "MB"),
        Figure("lab_per_s", lab, "messages/s", beside="what the lab itself can play"),
        *(
            Figure(f"share_{part}", profile.get(part, 0.0) / total, "", beside="of CPU samples")
            for part in ALL
        ),
    ]
    return finish("Throughput of one dispatcher on one core", figures)


if __name__ == "__main__":
    sys.modules.setdefault("benchmarks.throughput", sys.modules[__name__])
    main_of(run)
