"""The journal's only way to the disk: each operation is one method, so that a fault can be put before any."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from pathlib import Path

BLOCK = 512  # bytes: files are counted in whole blocks, as the platform and `st_blocks` do
MODE = 0o600  # bodies are payment orders: nobody else reads them


def allocated_size(size: int) -> int:
    """Bytes that a file of this size counts for: whole blocks."""
    return -(-size // BLOCK) * BLOCK


class Files:
    """Operations on one folder, by file name. All raise `OSError`; `write` may write less than it is given,
    as write(2) may. Whoever opens a file closes it. Tests put faults in front of these methods."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.lock_fd = -1

    def names(self) -> dict[str, int]:
        """The size in bytes of each plain file in the folder."""
        with os.scandir(self.folder) as entries:
            return {entry.name: entry.stat().st_size for entry in entries if entry.is_file()}

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def create(self, name: str) -> int:
        """A new, empty file for appending; its descriptor."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        return os.open(self.folder / name, flags, MODE)

    def open_in_place(self, name: str) -> int:
        """A file whose bytes are overwritten where they stand, made if there is none; its descriptor."""
        return os.open(self.folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, MODE)

    def write(self, fd: int, data: bytes | memoryview) -> int:
        return os.write(fd, data)

    def write_at(self, fd: int, data: bytes, offset: int) -> None:
        """Overwrite bytes in place: all of them or, with an `OSError`, possibly fewer."""
        if os.pwrite(fd, data, offset) < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def size(self, fd: int) -> int:
        return os.fstat(fd).st_size

    def truncate(self, fd: int, size: int) -> None:
        os.ftruncate(fd, size)

    def sync(self, fd: int) -> None:
        """Until this returns, what was written to the file may be lost with the machine's power."""
        os.fdatasync(fd)

    def sync_name(self, name: str) -> None:
        """The same by name."""
        fd = os.open(self.folder / name, os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.fdatasync(fd)
        finally:
            os.close(fd)

    def sync_folder(self) -> None:
        """The same for files that were made, renamed or unlinked."""
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def duplicate(self, fd: int) -> int:
        """Another descriptor of the same open file."""
        return os.dup(fd)

    def close(self, fd: int) -> None:
        os.close(fd)

    def rename(self, old: str, new: str) -> None:
        os.replace(self.folder / old, self.folder / new)

    def unlink(self, name: str) -> None:
        os.unlink(self.folder / name)

    def lock(self, name: str) -> bool:
        """Hold the folder until the process ends or `unlock`; False where another process holds it. A lock
        that was handed over (`lock_fd`) is held already."""
        if self.lock_fd >= 0:
            return True
        self.lock_fd = os.open(self.folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, MODE)
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.unlock()
            return False
        except OSError:  # a file system without locks: the folder is private to one dispatcher anyway
            pass
        return True

    def unlock(self) -> None:
        if self.lock_fd >= 0:
            with contextlib.suppress(OSError):
                os.close(self.lock_fd)
            self.lock_fd = -1
