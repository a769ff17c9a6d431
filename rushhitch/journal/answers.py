"""The answer file: two numbers, overwritten in place, that say which recorded messages were answered.

A message is recorded before its client is answered, and answers go out in the order of the numbers. The file
is updated around each answer: before it to `(number - 1, number)`, after it to `(number, number)`. A process
killed in between leaves one message in doubt, the one whose answer was being written. Messages above it were
never answered; those below it were, or their end is in the journal.

The file is written with `pwrite` rather than mapped: on a full file system a store to a mapped page raises
SIGBUS, while `pwrite` returns an error. The kernel copies the sixteen bytes at once, so a kill cannot leave a
partial write.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import Enum

from rushhitch.journal.files import BLOCK, Files

NAME = "answers"
MAGIC, VERSION = b"RHJA", 1
HEADER = struct.Struct("<4sHH16s8s")  # magic, version, zeros, journal identity, boot mark
CHECKSUM = struct.Struct("<I")
MARKS = struct.Struct("<QQ")
MARKS_AT = 64  # offset in bytes
SIZE = BLOCK


class Answered(Enum):
    """State of a message that was recorded before its client was answered."""

    YES = "answered"
    NO = "unanswered"
    IN_DOUBT = "in doubt"


@dataclass(frozen=True, slots=True)
class Marks:
    """Content of the file: numbers up to `answered` are settled, answers up to `answering` were begun."""

    boot: bytes
    answered: int
    answering: int

    def state(self, number: int) -> Answered:
        if number <= self.answered:
            return Answered.YES
        return Answered.IN_DOUBT if number <= self.answering else Answered.NO


def read_marks(data: bytes, identity: bytes) -> Marks | None:
    """Decode the file; None if it is torn, damaged or of another journal than `identity`."""
    if len(data) < SIZE:
        return None
    magic, version, _, owner, boot = HEADER.unpack_from(data)
    (checksum,) = CHECKSUM.unpack_from(data, HEADER.size)
    if magic != MAGIC or version != VERSION or owner != identity:
        return None
    if checksum != zlib.crc32(data[: HEADER.size]):
        return None
    return Marks(boot, *MARKS.unpack_from(data, MARKS_AT))


def content(identity: bytes, marks: Marks) -> bytes:
    """Encode the whole file."""
    head = HEADER.pack(MAGIC, VERSION, 0, identity, marks.boot)
    head += CHECKSUM.pack(zlib.crc32(head))
    return (head.ljust(MARKS_AT, b"\0") + MARKS.pack(marks.answered, marks.answering)).ljust(SIZE, b"\0")


class AnswerFile:
    """Writes the answer file. All methods raise `OSError` if the disk fails."""

    def __init__(self, files: Files) -> None:
        self.files, self.fd = files, -1

    def open(self, identity: bytes, marks: Marks) -> None:
        """Open the file, creating it if missing, and write `marks` to it."""
        fd = self.files.open_in_place(NAME)
        try:
            self.files.write_at(fd, content(identity, marks), 0)
        except BaseException:
            self.files.close(fd)
            raise
        self.fd = fd

    def begin(self, number: int) -> None:
        """Called before the answer to message `number` is written; all lower numbers are settled."""
        self.files.write_at(self.fd, MARKS.pack(number - 1, number), MARKS_AT)

    def done(self, number: int) -> None:
        """Called once the kernel has taken the whole answer."""
        self.files.write_at(self.fd, MARKS.pack(number, number), MARKS_AT)

    def close(self) -> None:
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            self.files.close(fd)
