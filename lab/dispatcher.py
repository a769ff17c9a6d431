"""`python -m lab.dispatcher`: the dispatcher as it is, on a disk whose room a scenario may take away.

The file that `RUSHHITCH_LAB_ROOM` names holds the bytes that the disk has for the folder; without it the disk
has enough. Nothing else differs from `python -m rushhitch`.
"""

from __future__ import annotations

import json
import os
import signal
import sys
from collections import Counter
from pathlib import Path
from types import FrameType

from lab.disk import FullFiles
from rushhitch.__main__ import main
from rushhitch.journal import store


class RoomFiles(FullFiles):
    """Reads its room anew at each write."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, float("inf"))
        self.told = Path(os.environ["RUSHHITCH_LAB_ROOM"])

    def act_write(self, fd: int, data: bytes | memoryview) -> int:
        if self.told.exists():
            self.room = float(self.told.read_text() or "inf")
            return super().act_write(fd, data)
        return os.write(fd, data)

    def act(self, work):  # no accounts: a real dispatcher's speed is measured with it
        return work()


PARTS = (  # where a sample belongs: the innermost frame from one of these files tells
    ("journal", ("rushhitch/journal/",)),
    ("HTTP", ("/h11/", "rushhitch/connection.py", "rushhitch/endpoints.py", "rushhitch/partners/")),
    ("RESP2", ("hiredis", "rushhitch/fronts/")),
    ("decisions", ("crowpier/",)),
    ("turns", ("rushhitch/",)),
    ("loop", ("asyncio/", "selectors.py", "uvloop")),
)
SAMPLE_S = 0.002  # of CPU time, between two samples


class Profile:
    """Samples where CPU time goes, by part; written as JSON when the process ends."""

    def __init__(self, path: str) -> None:
        self.path, self.counts = path, Counter()
        signal.signal(signal.SIGPROF, self.sample)
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_S, SAMPLE_S)

    def sample(self, number: int, frame: FrameType | None) -> None:
        while frame is not None:
            name = frame.f_code.co_filename
            for part, files in PARTS:
                if any(file in name for file in files):
                    self.counts[part] += 1
                    return
            frame = frame.f_back
        self.counts["other"] += 1

    def write(self) -> None:
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        Path(self.path).write_text(json.dumps(self.counts))


if __name__ == "__main__":
    profile = Profile(told) if (told := os.environ.get("RUSHHITCH_LAB_PROFILE")) else None
    if os.environ.get("RUSHHITCH_LAB_ROOM"):
        store.Files = RoomFiles  # type: ignore[misc]
    code = main()
    if profile is not None:
        profile.write()
    sys.exit(code)
