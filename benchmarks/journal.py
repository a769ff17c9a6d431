"""The journal against the JSON journal before it, in the same run: CPU of a message's life, bytes on disk,
replay, and the longest pause while compaction is at work. `python -m benchmarks.journal [--quick]`."""

from __future__ import annotations

import gc
import shutil
import statistics
import tempfile
import time
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from benchmarks import json_journal
from benchmarks.report import Figure, finish, main_of
from rushhitch import journal as segmented

BODY = bytes(range(256)) + b" of a payment order"  # about the size of one
WINDOW = 200  # messages live at once while lives are measured
LIVE = 100_000
DISK = 180e6  # bytes: what is live takes two fifths of it


@contextmanager
def folder() -> Iterator[Path]:
    where = Path(tempfile.mkdtemp(prefix="rushhitch-journal-"))
    try:
        yield where
    finally:
        shutil.rmtree(where)


def kept(module: Any, number: int) -> Any:
    return module.JournalEntry(number, b"%016x" % number, "payment-order", 7, 2_000_000_000.0, BODY)


def lives(module: Any, count: int) -> tuple[float, float]:
    """CPU microseconds and bytes in the folder by one message's life, as a dispatcher leads it: taken and
    tried in one flush, then its outcome and its end in another."""
    with folder() as where:
        journal = module.Journal(where, 1e12)
        out: deque[int] = deque()
        before = time.process_time()
        for number in range(1, count + 1):
            journal.record_accepted(kept(module, number))
            journal.record_attempt(number, 0, "endpoint-1", 1_900_000_000.0)
            journal.flush()
            out.append(number)
            if len(out) > WINDOW:
                old = out.popleft()
                journal.record_outcome(old, 0, True)
                journal.record_end(old)
                journal.flush()
        took = time.process_time() - before
        size = sum(
            path.stat().st_size for path in where.iterdir() if path.name.startswith(("journal", "segment"))
        )
        close(journal)
        return took / count * 1e6, size / count


def close(journal: Any) -> None:
    if hasattr(journal, "close"):
        journal.close()


def fill(module: Any, where: Path, disk: float) -> Any:
    journal = module.Journal(where, disk)
    for number in range(1, LIVE + 1):
        journal.record_accepted(kept(module, number))
        if number % 100 == 0:
            journal.flush()
    journal.flush()
    return journal


def replay(module: Any, repeats: int) -> float:
    """Seconds until 100,000 live messages are known again: the start of a process, less the rewriting that
    the JSON journal does there."""
    with folder() as where:
        close(fill(module, where, 1e12))
        times = []
        for _ in range(repeats):
            gc.collect()
            before = time.perf_counter()
            if module is json_journal:
                compact, module.Journal.compact = module.Journal.compact, lambda journal: None
                try:
                    journal = module.Journal(where, 1e12)
                finally:
                    module.Journal.compact = compact
            else:
                journal = module.Journal(where, 1e12)
            times.append(time.perf_counter() - before)
            assert len(journal.live) == LIVE, "not all came back"
            close(journal)
            del journal
        return min(times)


def pause_of_json() -> float:
    """Milliseconds for which the loop stands still while the JSON journal compacts 100,000 live messages."""
    with folder() as where:
        journal = fill(json_journal, where, 1e12)
        gc.collect()
        gc.freeze()
        before = time.perf_counter()
        journal.compact()
        took = time.perf_counter() - before
        gc.unfreeze()
        return took * 1000.0


def pauses(count: int) -> tuple[list[float], int]:
    """Milliseconds of each flush while so many further messages live and end beside 100,000 live ones, and
    how many live messages compaction copied meanwhile."""
    with folder() as where:
        journal = fill(segmented, where, DISK)
        copied = 0
        step = journal.step

        def counted() -> bool:
            nonlocal copied
            before = len(journal.segments[0].live)
            moved = step()
            copied += max(before - len(journal.segments[0].live), 0)
            return moved

        journal.step = counted
        gc.collect()
        gc.freeze()  # as the dispatcher does after its start: the collector's pauses are not the journal's
        times = []
        for number in range(LIVE + 1, LIVE + count + 1):
            journal.record_accepted(kept(segmented, number))
            journal.record_attempt(number, 0, "endpoint-1", 1_900_000_000.0)
            before = time.perf_counter()
            journal.flush()
            middle = time.perf_counter()
            journal.record_end(number)
            after = time.perf_counter()
            journal.flush()
            times += [middle - before, time.perf_counter() - after]
        gc.unfreeze()
        assert journal.used <= DISK, "the folder is over its limit"
        close(journal)
        return sorted(1000.0 * t for t in times), copied


def run(quick: bool) -> int:
    count, rounds = (20_000, 3) if quick else (60_000, 7)
    ratios, new, old = [], [], []
    for _ in range(rounds):  # one after the other, so that a noisy moment strikes both
        new.append(lives(segmented, count))
        old.append(lives(json_journal, count))
        ratios.append(new[-1][0] / old[-1][0])
    new_replay, old_replay = replay(segmented, rounds), replay(json_journal, rounds)
    old_pause = pause_of_json()
    times, copied = pauses(150_000 if quick else 400_000)
    few = [lives(module, 1000)[1] for module in (segmented, json_journal)]  # before anything is dropped
    new_cpu, old_cpu = (statistics.median(row[0] for row in rows) for rows in (new, old))
    figures = [
        Figure(
            "life_cpu_ratio",
            statistics.median(ratios),
            "",
            "<=",
            0.5,
            "of the JSON journal's, median of rounds",
        ),
        Figure("life_cpu_us", new_cpu, "us", beside=f"{old_cpu:.1f} us"),
        Figure(
            "disk_bytes",
            few[0],
            "B",
            beside=f"{few[1]:.0f} B, written by a message's life, body {len(BODY)} B",
        ),
        Figure("replay_speedup", old_replay / new_replay, "times", ">=", 3.0, f"{LIVE:,} live messages"),
        Figure("replay_s", new_replay, "s", beside=f"{old_replay:.2f} s"),
        Figure("pause_ms", times[-1], "ms", "<=", 5.0, f"{old_pause:.0f} ms, with {LIVE:,} live messages"),
        Figure("pause_p999_ms", times[int(0.999 * len(times))], "ms"),
        Figure(
            "copied", float(copied), "messages", ">=", 1000.0, "by compaction, while pauses were measured"
        ),
    ]
    return finish("Journal: segments against JSON lines", figures)


if __name__ == "__main__":
    main_of(run)
