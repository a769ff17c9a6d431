"""`python -m lab.dispatcher`: the dispatcher as it is, on a disk whose room a scenario may take away.

The file that `RUSHHITCH_LAB_ROOM` names holds the bytes that the disk has for the folder, or `eio` where each
write fails, or `short` where each does its first half and then fails; without it the disk has enough. That of
`RUSHHITCH_LAB_CLOCK` holds the seconds by which the wall clock is off, that of `RUSHHITCH_LAB_KILL_BEHIND`
behind which answer the process is killed, that of `RUSHHITCH_LAB_KILL_AT` at which of its system calls.
Nothing else differs from
`python -m rushhitch`.
"""

from __future__ import annotations

import errno
import json
import math
import os
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

from lab.disk import FullFiles
from rushhitch.__main__ import main
from rushhitch.journal import store


class RoomFiles(FullFiles):
    """Reads its room anew at each write."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, float("inf"))
        self.told = Path(os.environ["RUSHHITCH_LAB_ROOM"])

    def act_write(self, fd: int, data: bytes | memoryview) -> int:
        if not self.told.exists():
            return os.write(fd, data)
        told = self.told.read_text()
        if told == "eio" or (told == "short" and len(data) < 2):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if told == "short":
            return os.write(fd, data[: len(data) // 2])
        self.room = float(told or "inf")
        return super().act_write(fd, data)

    def write_at(self, fd: int, data: bytes, offset: int) -> None:
        """In place: it takes no room, but fails where all writes do."""
        if self.told.exists() and self.told.read_text() in ("eio", "short"):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        super().write_at(fd, data, offset)

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


class KillBehindAnswer:
    """Stands for `socket.send`: kills the process in the step of the n-th answer that accepts a message, once
    a file tells which."""

    def __init__(self, path: Path) -> None:
        self.path, self.plain, self.answers = path, socket.socket.send, 0

    def send(self, sock: socket.socket, data: bytes, *flags: int) -> int:
        sent = self.plain(sock, data, *flags)
        if bytes(data[:3]) == b"+OK" and self.path.exists():
            self.answers += 1
            if self.answers >= int(self.path.read_text() or 1):
                os.kill(os.getpid(), signal.SIGKILL)
        return sent


class KillAtCall:
    """Counts the process's system calls that change something outside it, and kills it before or after the
    n-th, once a file tells which: the count begins as that file is first seen."""

    OF_OS = ("write", "pwrite", "fdatasync", "fsync", "replace", "unlink", "ftruncate")
    OF_SOCKETS = ("send", "connect", "close", "shutdown")

    def __init__(self, path: Path) -> None:
        self.path, self.count = path, 0
        self.nth, self.how = 0, ""

    def install(self) -> None:
        for name in self.OF_OS:
            setattr(os, name, self.counted(getattr(os, name)))
        for name in self.OF_SOCKETS:
            setattr(socket.socket, name, self.counted(getattr(socket.socket, name)))

    def counted(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def counting(*words: Any, **named: Any) -> Any:
            if isinstance(words[0], socket.socket) and words[0].family == socket.AF_UNIX:
                return call(*words, **named)  # the event loop's own
            here = self.here()
            if here and self.how == "before":
                os.kill(os.getpid(), signal.SIGKILL)
            result = call(*words, **named)
            if here:
                os.kill(os.getpid(), signal.SIGKILL)
            return result

        return counting

    def here(self) -> bool:
        """Whether this call is the one."""
        if not self.how and self.path.exists():
            nth, self.how = self.path.read_text().split()
            self.nth = int(nth)
        self.count += bool(self.how)
        return bool(self.how) and self.count == self.nth


class SteppedClock:
    """Stands for `time.time`: the system's, off by what a file tells, which is looked at now and then."""

    LOOK_S = 0.02  # between two looks

    def __init__(self, path: Path) -> None:
        self.path, self.plain, self.steady = path, time.time, time.monotonic
        self.looked_at, self.off_s = -math.inf, 0.0

    def __call__(self) -> float:
        if (now := self.steady()) - self.looked_at > self.LOOK_S:
            self.looked_at = now
            self.off_s = float(self.path.read_text() or 0.0) if self.path.exists() else 0.0
        return self.plain() + self.off_s


if __name__ == "__main__":
    if behind := os.environ.get("RUSHHITCH_LAB_KILL_BEHIND"):
        shim = KillBehindAnswer(Path(behind))
        socket.socket.send = lambda sock, data, *flags: shim.send(sock, data, *flags)  # type: ignore[method-assign]
    if kill_at := os.environ.get("RUSHHITCH_LAB_KILL_AT"):
        KillAtCall(Path(kill_at)).install()
    if clock := os.environ.get("RUSHHITCH_LAB_CLOCK"):
        time.time = SteppedClock(Path(clock))
    profile = Profile(told) if (told := os.environ.get("RUSHHITCH_LAB_PROFILE")) else None
    if os.environ.get("RUSHHITCH_LAB_ROOM"):
        store.Files = RoomFiles  # type: ignore[misc]
    code = main()
    if profile is not None:
        profile.write()
    sys.exit(code)
