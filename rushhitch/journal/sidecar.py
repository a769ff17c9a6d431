"""Small files in the journal's folder, replaced atomically and counted towards its disk limit."""

from __future__ import annotations

import contextlib
import errno
import logging
import os
import zlib

from rushhitch.journal.files import allocated_size
from rushhitch.journal.store import Journal, Sync

log = logging.getLogger(__name__)

DRAFT = ".draft"  # suffix of the temporary file


class SidecarFile:
    """One such file. It holds the old or the new content, never a part; if damaged, it reads as missing."""

    def __init__(self, journal: Journal, name: str) -> None:
        self.journal, self.files, self.name = journal, journal.files, name
        names = self.files.names()
        self.size = names.get(name, 0)
        if name + DRAFT in names:  # left by a killed process
            self.files.unlink(name + DRAFT)
            journal.used -= allocated_size(names[name + DRAFT])

    def load(self) -> bytes | None:
        """The content; None if it is missing, unreadable or damaged, the last two with a log line."""
        if not self.size:
            return None
        try:
            content = verified_content(self.files.read(self.name))
        except OSError as error:
            log.error("%s cannot be read: %s", self.name, error)
            return None
        if content is None:
            log.error("%s is damaged: what it held is unknown", self.name)
        return content

    def store(self, content: bytes) -> None:
        """Replace the content. Raises `OSError` if that fails; the old content then remains."""
        synced = self.journal.sync is not Sync.NONE
        previous = self.files.read(self.name) if synced and self.size else None
        self.replace(sealed(content))
        if not synced:
            return
        try:
            self.files.sync_folder()
        except OSError:
            self.restore(previous)
            raise

    def replace(self, data: bytes) -> None:
        """Write `data` to a temporary file and rename it over the old one."""
        if self.journal.used + allocated_size(len(data)) > self.journal.space.disk:
            self.journal.make_room(allocated_size(len(data)))
        draft = self.name + DRAFT
        fd = self.files.create(draft)
        try:
            try:
                if self.files.write(fd, data) < len(data):
                    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
                if self.journal.sync is not Sync.NONE:
                    self.files.sync(fd)
            finally:
                self.files.close(fd)
            self.files.rename(draft, self.name)
        except BaseException:
            with contextlib.suppress(OSError):
                self.files.unlink(draft)
            raise
        self.journal.used += allocated_size(len(data)) - allocated_size(self.size)
        self.size = len(data)

    def restore(self, previous: bytes | None) -> None:
        """Put back the previous content: a change reported as failed must not hold from the next start on."""
        try:
            if previous is not None:
                self.replace(previous)
                return
            self.files.unlink(self.name)
            self.journal.used -= allocated_size(self.size)
            self.size = 0
        except OSError as error:
            log.error("%s: a change reported as failed may hold from the next start on: %s", self.name, error)


def sealed(content: bytes) -> bytes:
    return b"%08x\n" % zlib.crc32(content) + content


def verified_content(data: bytes) -> bytes | None:
    checksum, end, content = data.partition(b"\n")
    return content if end and checksum == b"%08x" % zlib.crc32(content) else None
