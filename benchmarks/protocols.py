"""What each protocol costs on one core: the real dispatcher under the same load by RESP2 and by CloudEvents,
to partners that speak the platform's protocol or CloudEvents. `python -m benchmarks.protocols [--quick]`."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import sys
import tempfile
from pathlib import Path

from benchmarks.report import Figure, finish, main_of
from benchmarks.throughput import Bench, scenario

PAIRS = {  # name: what clients speak, what partners speak
    "resp2": ("resp2", "platform"),
    "binary_in": ("binary", "platform"),
    "structured_in": ("structured", "platform"),
    "binary_out": ("resp2", "binary"),
    "structured_out": ("resp2", "structured"),
    "binary": ("binary", "binary"),
    "structured": ("structured", "structured"),
}
PER_S = 450.0  # offered: near what all of them take on a core, so that the figure needs little reckoning
LEAST = 0.7  # of RESP2's messages a second, for binary mode
ROUNDS = 3  # each pair is played so often, in turn, and its median counts


async def played(client: str, partner: str, seconds: float, folder: Path) -> dict[str, float]:
    """One pair at one load, with the dispatcher on a core of its own."""
    case = scenario(seconds)
    case.clients = (client,)
    case.partners = [dataclasses.replace(spec, speaks=partner) for spec in case.partners]
    bench = Bench(case, folder, lambda text: None)
    mine = os.sched_getaffinity(0)
    try:
        await bench.start()
        core = max(mine)
        os.sched_setaffinity(bench.dispatchers["d0"].process.pid, {core})
        os.sched_setaffinity(0, mine - {core} or mine)
        await bench.offer(100.0, 1.0)  # connections come up
        return await bench.offer(PER_S, seconds)
    finally:
        os.sched_setaffinity(0, mine)
        await bench.stop()


def run(quick: bool) -> int:
    rounds, seconds = (1, 2.5) if quick else (ROUNDS, 6.0)
    found: dict[str, list[dict[str, float]]] = {name: [] for name in PAIRS}
    for _ in range(rounds):
        for name, (client, partner) in PAIRS.items():
            with tempfile.TemporaryDirectory(prefix="rushhitch-protocols-") as folder:
                found[name].append(asyncio.run(played(client, partner, seconds, Path(folder))))
    rows = {
        name: sorted(plays, key=lambda row: row["cpu_us"])[len(plays) // 2] for name, plays in found.items()
    }
    base = rows["resp2"]["cpu_us"]
    figures = []
    for name, row in rows.items():
        rate, beside = 0.9e6 / row["cpu_us"], f"{row['cpu_us']:.0f} us of CPU, {row['memory_mb']:.0f} MB"
        figures.append(Figure(f"{name}_per_s", rate, "messages/s", beside=f"at 90% of a core; {beside}"))
        figures.append(Figure(f"{name}_p50_ms", row["p50_ms"], "ms", beside="from hand-in to delivery"))
    share = base / rows["binary"]["cpu_us"]
    figures.append(Figure("binary_share", share, "", ">=", LEAST, "of RESP2's messages a second, in and out"))
    figures.append(Figure("structured_share", base / rows["structured"]["cpu_us"], "", beside="likewise"))
    figures.append(
        Figure(
            "undelivered",
            sum(abs(row["per_s"] / row["offered"] - 1.0) > 0.1 for row in rows.values()),
            "runs",
            "<=",
            0.0,
            "that did not deliver what was offered",
        )
    )
    return finish("One dispatcher by protocol, on one core", figures)


if __name__ == "__main__":
    sys.modules.setdefault("benchmarks.protocols", sys.modules[__name__])
    main_of(run)
