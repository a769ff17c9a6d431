"""All disk access of the journal: one method per operation, so that tests can inject a fault into each."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from pathlib import Path

BLOCK = 512  # bytes: sizes are counted in whole blocks, as the platform and `st_blocks` do
MODE = 0o600  # owner only: bodies are payment orders


def allocated_size(size: int) -> int:
    """`size` in bytes, rounded up to whole blocks."""
    return -(-size // BLOCK) * BLOCK


class Files:
    """Operations on one folder, by file name. All raise `OSError`; `write` may be partial, as write(2) may.
    Callers close the descriptors they open. Tests override these methods to inject faults."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.lock_fd = -1

    def names(self) -> dict[str, int]:
        """Size in bytes of each regular file in the folder."""
        with os.scandir(self.folder) as entries:
            return {entry.name: entry.stat().st_size for entry in entries if entry.is_file()}

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def create(self, name: str) -> int:
        """Create or truncate a file for appending; returns the descriptor."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        return os.open(self.folder / name, flags, MODE)

    def open_in_place(self, name: str) -> int:
        """Open a file for overwriting in place, creating it if missing; returns the descriptor."""
        return os.open(self.folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, MODE)

    def write(self, fd: int, data: bytes | memoryview) -> int:
        return os.write(fd, data)

    def write_at(self, fd: int, data: bytes, offset: int) -> None:
        """Overwrite bytes at `offset`. On `OSError` some of them may be written."""
        if os.pwrite(fd, data, offset) < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def size(self, fd: int) -> int:
        return os.fstat(fd).st_size

    def truncate(self, fd: int, size: int) -> None:
        os.ftruncate(fd, size)

    def sync(self, fd: int) -> None:
        """Make the data of the file durable against a power failure."""
        os.fdatasync(fd)

    def sync_name(self, name: str) -> None:
        """`sync` by file name."""
        fd = os.open(self.folder / name, os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.fdatasync(fd)
        finally:
            os.close(fd)

    def sync_folder(self) -> None:
        """Make creations, renames and unlinks in the folder durable."""
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def duplicate(self, fd: int) -> int:
        """Another descriptor of the same open file description."""
        return os.dup(fd)

    def close(self, fd: int) -> None:
        os.close(fd)

    def rename(self, old: str, new: str) -> None:
        os.replace(self.folder / old, self.folder / new)

    def unlink(self, name: str) -> None:
        os.unlink(self.folder / name)

    def lock(self, name: str) -> bool:
        """Lock the folder until `unlock` or the end of the process; False if another process holds it. A lock
        taken over from another process (`lock_fd`) is held already."""
        if self.lock_fd >= 0:
            return True
        self.lock_fd = os.open(self.folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, MODE)
        try:
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.unlock()
            return False
        except OSError:  # no locks on this file system; the folder belongs to one dispatcher anyway
            pass
        return True

    def unlock(self) -> None:
        if self.lock_fd >= 0:
            with contextlib.suppress(OSError):
                os.close(self.lock_fd)
            self.lock_fd = -1
