"""Which recorded messages have had their answers: two numbers in a small file, overwritten in place.

A message is recorded before its client is answered, and answers go out in the order of the numbers. Around
each answer the file says so: before it `(number - 1, number)`, behind it `(number, number)`. A process that
is killed between leaves the one message in doubt whose answer was being written; what is above it was never
answered, what is below it was, or its end is in the journal.

The file is written by `pwrite` rather than mapped: a store to a mapped page raises SIGBUS where the file
system finds no room for it, `pwrite` an error. Sixteen bytes are copied by the system in one go, so no kill
leaves half of them.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import Enum

from rushhitch.journal.files import BLOCK, Files

NAME = "answers"
MAGIC, VERSION = b"RHJA", 1
HEADER = struct.Struct("<4sHH16s8s")  # magic, version, zeros, journal's identity, mark of the machine's run
CHECKSUM = struct.Struct("<I")
MARKS = struct.Struct("<QQ")
MARKS_AT = 64  # bytes into the file
SIZE = BLOCK


class Answered(Enum):
    """What the file tells of a message that was recorded before its answer."""

    YES = "answered"
    NO = "unanswered"
    IN_DOUBT = "in doubt"


@dataclass(frozen=True, slots=True)
class Marks:
    """What stands in the file: all up to `answered` are settled, an answer up to `answering` was begun."""

    boot: bytes
    answered: int
    answering: int

    def state(self, number: int) -> Answered:
        if number <= self.answered:
            return Answered.YES
        return Answered.IN_DOUBT if number <= self.answering else Answered.NO


def read_marks(data: bytes, identity: bytes) -> Marks | None:
    """What the file of that journal tells; None where it is torn, damaged or another journal's."""
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
    """The whole file."""
    head = HEADER.pack(MAGIC, VERSION, 0, identity, marks.boot)
    head += CHECKSUM.pack(zlib.crc32(head))
    return (head.ljust(MARKS_AT, b"\0") + MARKS.pack(marks.answered, marks.answering)).ljust(SIZE, b"\0")


class AnswerFile:
    """The file while a process writes it. All methods raise `OSError` where the disk fails."""

    def __init__(self, files: Files) -> None:
        self.files, self.fd = files, -1

    def open(self, identity: bytes, marks: Marks) -> None:
        """Go on from these marks, which the file says already or says from now on."""
        fd = self.files.open_in_place(NAME)
        try:
            self.files.write_at(fd, content(identity, marks), 0)
        except BaseException:
            self.files.close(fd)
            raise
        self.fd = fd

    def begin(self, number: int) -> None:
        """The answer of that message is about to be written, and all before it is settled."""
        self.files.write_at(self.fd, MARKS.pack(number - 1, number), MARKS_AT)

    def done(self, number: int) -> None:
        """The whole of that answer is in the system's hands."""
        self.files.write_at(self.fd, MARKS.pack(number, number), MARKS_AT)

    def close(self) -> None:
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            self.files.close(fd)
