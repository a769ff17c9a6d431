"""Disks that fail: the journal's file layer with a fault in front of any operation that changes something.

The manner is that of SQLite's I/O and crash tests: operations are counted, the n-th fails, and n goes up
until a run ends without reaching it, so that no point is picked by hand.
"""

from __future__ import annotations

import errno
import os
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rushhitch.journal.files import Files, allocated_size


class Crash(BaseException):
    """The process is killed here. Not an `Exception`, so that nothing handles it."""


class CountingFiles(Files):
    """Counts the operations that change something, and holds the folder to a limit (bytes) at each."""

    def __init__(self, folder: Path, limit: float = float("inf")) -> None:
        super().__init__(folder)
        self.limit, self.count, self.most = limit, 0, 0
        self.fds: set[int] = set()

    def act(self, work: Callable[[], Any]) -> Any:
        """One operation; subclasses put their faults here."""
        result = work()
        held = sum(allocated_size(size) for size in self.names().values())
        self.most = max(self.most, held)
        assert held <= self.limit, f"the folder holds {held} bytes, more than {self.limit:g}"
        return result

    def create(self, name: str) -> int:
        def work() -> int:
            fd = super(CountingFiles, self).create(name)
            self.fds.add(fd)
            return fd

        self.count += 1
        return self.act(work)

    def write(self, fd: int, data: bytes | memoryview) -> int:
        self.count += 1
        return self.act_write(fd, data)

    def act_write(self, fd: int, data: bytes | memoryview) -> int:
        return self.act(lambda: super(CountingFiles, self).write(fd, data))

    def open_in_place(self, name: str) -> int:
        def work() -> int:
            fd = super(CountingFiles, self).open_in_place(name)
            self.fds.add(fd)
            return fd

        self.count += 1
        return self.act(work)

    def write_at(self, fd: int, data: bytes, offset: int) -> None:
        """Happens or does not: the system copies so few bytes in one go."""
        self.count += 1
        self.act(lambda: super(CountingFiles, self).write_at(fd, data, offset))

    def truncate(self, fd: int, size: int) -> None:
        self.count += 1
        self.act(lambda: super(CountingFiles, self).truncate(fd, size))

    # Syncs count as operations but do not go to the device: what a cut leaves is this layer's own account,
    # and waiting for the device shows nothing (it was 100 s of the suite).

    def sync(self, fd: int) -> None:
        self.count += 1
        self.act(lambda: None)

    def sync_name(self, name: str) -> None:
        self.count += 1
        self.act(lambda: None)

    def sync_folder(self) -> None:
        self.count += 1
        self.act(lambda: None)

    def rename(self, old: str, new: str) -> None:
        self.count += 1
        self.act(lambda: super(CountingFiles, self).rename(old, new))

    def unlink(self, name: str) -> None:
        self.count += 1
        self.act(lambda: super(CountingFiles, self).unlink(name))

    def duplicate(self, fd: int) -> int:
        other = super().duplicate(fd)
        self.fds.add(other)
        return other

    def close(self, fd: int) -> None:
        self.fds.discard(fd)
        super().close(fd)

    def die(self) -> None:
        """What the end of a process does: its descriptors and its lock go."""
        for fd in self.fds:
            os.close(fd)
        self.fds.clear()
        self.unlock()


HOWS = ("before", "after", "one byte", "half", "all but one byte")


class CrashingFiles(CountingFiles):
    """The process dies at the n-th operation: before it, after it, or with part of a write done. `reached`
    says whether it came to that, `fits` whether that way of dying fits the operation."""

    def __init__(self, folder: Path, at: int, how: str, limit: float = float("inf")) -> None:
        super().__init__(folder, limit)
        self.at, self.how = at, how
        self.reached = False

    def act(self, work: Callable[[], Any]) -> Any:
        if self.count == self.at and self.how in ("before", "after"):
            self.reached = True
            if self.how == "after":
                super().act(work)
            raise Crash(f"killed {self.how} operation {self.at}")
        self.reached |= self.count >= self.at
        return super().act(work)

    def act_write(self, fd: int, data: bytes | memoryview) -> int:
        if self.count == self.at and self.how not in ("before", "after"):
            self.reached = True
            part = {"one byte": 1, "half": len(data) // 2, "all but one byte": len(data) - 1}[self.how]
            super().act_write(fd, data[:part])
            raise Crash(f"killed with {part} of {len(data)} bytes written in operation {self.at}")
        return super().act_write(fd, data)


class FailingFiles(CountingFiles):
    """From the n-th operation on, so many fail with a disk's error; a write may do half before."""

    def __init__(
        self, folder: Path, at: int, lasting: int = 1, short: bool = False, error: int = errno.ENOSPC
    ) -> None:
        super().__init__(folder)
        self.at, self.lasting, self.short, self.error = at, lasting, short, error

    @property
    def fails(self) -> bool:
        return self.at <= self.count < self.at + self.lasting

    def act(self, work: Callable[[], Any]) -> Any:
        if self.fails:
            raise OSError(self.error, os.strerror(self.error))
        return super().act(work)

    def act_write(self, fd: int, data: bytes | memoryview) -> int:
        if self.fails and self.short and self.count == self.at and len(data) > 1:
            return CountingFiles.act(self, lambda: Files.write(self, fd, data[: len(data) // 2]))
        return super().act_write(fd, data)


class FullFiles(CountingFiles):
    """A disk with so many bytes for the folder, `room`, which a test changes as it goes. A write does what
    still fits, in whole blocks, as a disk does."""

    def __init__(self, folder: Path, room: float, limit: float = float("inf")) -> None:
        super().__init__(folder, limit)
        self.room = room

    def act_write(self, fd: int, data: bytes | memoryview) -> int:
        size = os.fstat(fd).st_size
        others = sum(allocated_size(held) for held in self.names().values()) - allocated_size(size)
        fits = int(max(self.room - others, allocated_size(size))) - size
        if fits <= 0:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return super().act_write(fd, data[:fits])


class Inode:
    """What a file holds for sure, and what was written since."""

    def __init__(self) -> None:
        self.durable = b""
        self.since: list[tuple[int, bytes | None]] = []  # offset and data; without data, a truncation there

    def content(self, keep: Callable[[], bool]) -> bytes:
        data = bytearray(self.durable)
        for offset, part in self.since:
            if not keep():
                continue
            if part is None:
                del data[offset:]
                continue
            data.extend(bytes(max(offset - len(data), 0)))  # what vanished before it reads as zeros
            data[offset : offset + len(part)] = part
        return bytes(data)


class PowerCutFiles(CountingFiles):
    """A machine whose power goes: after `cut`, of what was not synced any part may be gone, in any order: of
    a file's writes, and of what was made, renamed or unlinked in the folder."""

    def __init__(self, folder: Path, limit: float = float("inf")) -> None:
        super().__init__(folder, limit)
        self.inodes: dict[str, Inode] = {}
        self.open: dict[int, Inode] = {}
        for name in self.names():
            self.inodes[name] = Inode()
            self.inodes[name].durable = self.read(name)
        self.durable_names = dict(self.inodes)
        self.changes: list[dict[str, Inode | None]] = []

    def change(self, **names: Inode | None) -> None:
        self.changes.append(names)
        for name, inode in names.items():
            if inode is None:
                self.inodes.pop(name, None)
            else:
                self.inodes[name] = inode

    def create(self, name: str) -> int:
        fd = super().create(name)
        self.open[fd] = Inode()
        self.change(**{name: self.open[fd]})
        return fd

    def duplicate(self, fd: int) -> int:
        other = super().duplicate(fd)
        self.open[other] = self.open[fd]
        return other

    def close(self, fd: int) -> None:
        self.open.pop(fd, None)
        super().close(fd)

    def act_write(self, fd: int, data: bytes | memoryview) -> int:
        offset = os.fstat(fd).st_size
        written = super().act_write(fd, data)
        self.open[fd].since.append((offset, bytes(data[:written])))
        return written

    def open_in_place(self, name: str) -> int:
        fd = super().open_in_place(name)
        if name not in self.inodes:
            self.change(**{name: Inode()})
        self.open[fd] = self.inodes[name]
        return fd

    def write_at(self, fd: int, data: bytes, offset: int) -> None:
        super().write_at(fd, data, offset)
        self.open[fd].since.append((offset, data))

    def truncate(self, fd: int, size: int) -> None:
        super().truncate(fd, size)
        self.open[fd].since.append((size, None))

    def sync(self, fd: int) -> None:
        super().sync(fd)
        inode = self.open[fd]
        inode.durable, inode.since = inode.content(lambda: True), []

    def sync_name(self, name: str) -> None:
        super().sync_name(name)
        inode = self.inodes[name]
        inode.durable, inode.since = inode.content(lambda: True), []

    def sync_folder(self) -> None:
        super().sync_folder()
        self.durable_names, self.changes = dict(self.inodes), []

    def rename(self, old: str, new: str) -> None:
        super().rename(old, new)
        self.change(**{new: self.inodes[old], old: None})

    def unlink(self, name: str) -> None:
        super().unlink(name)
        self.change(**{name: None})

    def cut(self, seed: int) -> None:
        """The power goes. The real folder then holds what a restart might find; each seed is one case."""
        chance = random.Random(seed)
        self.die()
        keeps = chance.choice((0.0, 0.3, 0.7, 1.0))
        names = dict(self.durable_names)
        for change in self.changes:
            if chance.random() < keeps:
                for name, inode in change.items():
                    if inode is None:
                        names.pop(name, None)
                    else:
                        names[name] = inode
        for name in self.names():
            os.unlink(self.folder / name)
        for name, inode in names.items():
            (self.folder / name).write_bytes(inode.content(lambda: chance.random() < keeps))
