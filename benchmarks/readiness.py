"""How long a restarted dispatcher, built as the deploy file has it, takes until it answers PING: one and
twenty at once, by the number of messages in its folder, up to one as full as it gets. CPU seconds are what
counts where a process has a share of a core. `python -m benchmarks.readiness [--quick]`."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.report import Figure, finish, main_of
from benchmarks.throughput import scenario
from lab import report
from rushhitch.journal import Journal, JournalEntry

AIM_S = 10.0  # nine in ten restarted dispatchers are ready by then
SHARE = 0.1  # of a core: what a dispatcher may have where many share one
CROWD = 20  # started at once
HELD = (0, 100, 1000)  # messages in the folder
DISKS_MB = (3.0, 16.0)  # of the folders that are at their bound
BODY = 300  # bytes
LEFT_S = 3600.0  # of the held messages' time
ENDPOINTS = 200  # that the dispatcher knows
POLL_S = 0.002
PATIENCE_S = 60.0
ROOT = Path(__file__).parent.parent


class Surroundings:
    """One dispatcher's endpoints and discovery: they take connections and say nothing. The start waits for
    neither."""

    def __init__(self) -> None:
        self.silent = socket.create_server(("127.0.0.1", 0), backlog=4096)
        self.address = "{}:{}".format(*self.silent.getsockname())

    def config(self, disk_mb: float) -> dict:
        rows = [
            {"id": f"s-{n}", "addr": self.address, "zone": "a", "kind": "fast", "cell": n % 8}
            | {"state": "SERVING", "weight": 1.0, "started_ms": 0}
            for n in range(ENDPOINTS)
        ]
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": disk_mb}
        return {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.address,
            "seed": "8c1f30d27a5be964",
            "limits": limits,
            "known": {"version": 41, "full": True, "servers": rows},
            "settings": scenario(60.0).settings(0),
        }


def build(root: Path) -> None:
    """The program's own modules compiled, as the deploy file does it; the libraries are where they are."""
    for name in ("crowpier", "rushhitch", "deploy"):
        shutil.copytree(ROOT / name, root / name, ignore=shutil.ignore_patterns("__pycache__"))
    words = ("compileall", "-q", "--invalidation-mode", "checked-hash", "crowpier", "rushhitch")
    subprocess.run([sys.executable, "-m", *words], cwd=root, check=True)


def fill(folder: Path, disk_mb: float, held: int | None) -> int:
    """A folder with so many messages, a third of them with an attempt that has not run. Without a number as
    many as are taken on, and their attempts fill it until compaction is forced: more it never holds for
    long. Gives how many it holds."""
    journal, now = Journal(folder, disk_mb * 1e6), time.time()
    most = scenario(60.0).settings(0)["policyLimits"]["mostHeld"] if held is None else held
    body = BODY if held is not None else 0
    while len(journal.live) < most and journal.has_room(body):
        number = len(journal.live) + 1
        message = JournalEntry(
            number, b"%016x" % number, "note", number % 8, now + LEFT_S, bytes(body), accepted_at=now
        )
        journal.record_accepted(message)
        if number % 3 == 0:
            journal.record_attempt(number, 0, f"s-{number % ENDPOINTS}", now)
            journal.record_outcome(number, 0, False)
        journal.flush()
    numbers = itertools.cycle([number for number in journal.live if number % 3 == 0])
    while held is None and journal.used < 0.99 * journal.space.compact_by:
        number = next(numbers)
        journal.record_attempt(number, 1, f"s-{number % ENDPOINTS}", now)
        journal.record_outcome(number, 1, False)
        journal.flush()
        if journal.segments[0].number > 40 and journal.crowded(0.99):
            break  # compaction keeps up, and is about to begin anew: fuller the folder is not for long
    journal.close()
    return len(journal.live)


def used_cpu_s(pid: int) -> float:
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


async def ready(root: Path, folder: Path, config: dict) -> tuple[float, float]:
    """Start a dispatcher and ask until it answers: wall and CPU seconds. It is killed then."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    path = folder / "config.json"
    path.write_text(json.dumps(config | {"listen": f"127.0.0.1:{port}"}))
    env = {name: value for name, value in os.environ.items() if not name.startswith("ROUTER_")}
    env |= {"ROUTER_CONFIG": str(path), "ROUTER_STATE": str(folder / "state")}
    began = time.monotonic()
    with (folder / "log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "rushhitch", cwd=root, env=env, stderr=log
        )
    try:
        async with asyncio.timeout(PATIENCE_S):
            while not await pong(port):
                assert process.returncode is None, (folder / "log").read_text()
                await asyncio.sleep(POLL_S)
        return time.monotonic() - began, used_cpu_s(process.pid)
    finally:
        process.kill()
        await process.wait()


async def pong(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    try:
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        return await reader.readline() == b"+PONG\r\n"
    except OSError:
        return False
    finally:
        writer.close()


async def measure(
    root: Path, disk_mb: float, held: int | None, count: int, times: int
) -> tuple[int, list[tuple[float, float]]]:
    """So many dispatchers at once, each with a folder of its own, some times over."""
    outside, found = [Surroundings() for _ in range(count)], []
    master = root / f"master-{disk_mb}-{held}"
    if not master.exists():
        master.mkdir()
        fill(master, disk_mb, held)
    holds = len(Journal(master, float("inf"), writable=False).live)
    for _ in range(times):
        folders = []
        for number in range(count):
            folder = Path(tempfile.mkdtemp(prefix=f"{number}-", dir=root))
            shutil.copytree(master, folder / "state")
            folders.append(folder)
        starts = zip(folders, outside, strict=True)
        found += await asyncio.gather(*(ready(root, path, around.config(disk_mb)) for path, around in starts))
    for around in outside:
        around.silent.close()
    return holds, found


def nine_in_ten(found: list[tuple[float, float]], which: int) -> float:
    return report.quantile([told[which] for told in found], 0.9)


def run(quick: bool) -> int:
    cases: list[tuple[float, int | None]] = [(DISKS_MB[0], held) for held in HELD]
    cases += [(disk_mb, None) for disk_mb in DISKS_MB]
    figures = []
    with tempfile.TemporaryDirectory(prefix="rushhitch-readiness-") as name:
        build(Path(name))
        for disk_mb, held in cases:
            for count in (1, CROWD):
                if quick and (held == HELD[1] or (count == CROWD and (held in HELD[1:] or disk_mb > 3.0))):
                    continue
                times = (2 if quick else 10) if count == 1 else (1 if quick else 3)
                holds, found = asyncio.run(measure(Path(name), disk_mb, held, count, times))
                label = f"{'full' if held is None else held}_{disk_mb:g}mb_{count}"
                beside = f"{holds} messages, {count} at once, nine in ten of {len(found)}"
                wall, cpu = nine_in_ten(found, 0), nine_in_ten(found, 1)
                figures.append(Figure(f"wall_{label}", wall, "s", "<=", AIM_S, beside))
                figures.append(Figure(f"cpu_{label}", cpu, "s", "<=", AIM_S * SHARE, beside))
                print(f"{label}: {wall:.2f} s, {cpu:.3f} s of CPU, {beside}", flush=True)
    return finish("Readiness of a restarted dispatcher", figures)


if __name__ == "__main__":
    sys.modules.setdefault("benchmarks.readiness", sys.modules[__name__])
    main_of(run)
