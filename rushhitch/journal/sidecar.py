"""Small files beside the journal's segments, replaced as a whole, within the same account of the disk."""

from __future__ import annotations

import contextlib
import errno
import logging
import os
import zlib

from rushhitch.journal.files import allocated_size
from rushhitch.journal.store import Journal, Sync

log = logging.getLogger(__name__)

DRAFT = ".draft"  # after the name, until the whole of it is written


class SidecarFile:
    """One such file: the old content or the new, never a part. A damaged one reads as none."""

    def __init__(self, journal: Journal, name: str) -> None:
        self.journal, self.files, self.name = journal, journal.files, name
        names = self.files.names()
        self.size = names.get(name, 0)
        if name + DRAFT in names:  # its writer was killed
            self.files.unlink(name + DRAFT)
            journal.used -= allocated_size(names[name + DRAFT])

    def load(self) -> bytes | None:
        """The content; None where there is none to trust, with a line in the log if it is damaged."""
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
        """Replace it; an `OSError` where the disk does not take it, and then the old one stands."""
        synced = self.journal.sync is not Sync.NONE
        previous = self.files.read(self.name) if synced and self.size else None
        self.replace(with_checksum(content))
        if not synced:
            return
        try:
            self.files.sync_folder()
        except OSError:
            self.restore(previous)
            raise

    def replace(self, data: bytes) -> None:
        """Write the whole of it beside the old one, and rename."""
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
        """Guards against a change that was refused and holds from the next start on."""
        try:
            if previous is not None:
                self.replace(previous)
                return
            self.files.unlink(self.name)
            self.journal.used -= allocated_size(self.size)
            self.size = 0
        except OSError as error:
            log.error("%s: a change that was refused may hold from the next start on: %s", self.name, error)


def with_checksum(content: bytes) -> bytes:
    return b"%08x\n" % zlib.crc32(content) + content


def verified_content(data: bytes) -> bytes | None:
    checksum, end, content = data.partition(b"\n")
    return content if end and checksum == b"%08x" % zlib.crc32(content) else None
