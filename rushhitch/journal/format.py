"""The journal's bytes on disk, versions 1 and 2: headers, records, and what a damaged file still tells.

A segment is a file of one header and records:

    header  magic "RHJL", version u16, flags u16 (1: written with syncs), identity 16 bytes,
            segment u64, base u64, CRC-32 of these
    record  length u32 of the payload, checksum u32, sequence u64, type u8, payload

The checksum is the CRC-32 of the payload, begun from the record's sequence and type. All numbers are
little-endian. Sequence numbers go up by one through all segments of a journal, so that a
record that is missing shows as a gap. Times are Unix time in seconds. A `MESSAGE` record replaces all that
was told of its number before: it is written when a message is taken, and again, with its attempts, when
compaction copies it forward; being one record, such a copy is there as a whole or not at all.

A message is recorded before its client is answered. Version 2 adds `RECEIVED` and `ACCEPTED`, for journals that
sync: an offer is a message, behind a mark of the run of the machine, whose client has no answer yet. Segments
that are written without syncs have neither, and are of version 1, which an earlier build reads: there, a flag
of the message says that its answer came later, and the answer file (`answers.py`) which ones did.
"""

from __future__ import annotations

import hashlib
import json
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from operator import itemgetter
from typing import Any

MAGIC, VERSION = b"RHJL", 2
VERSION_WITHOUT_RECEIVED = 1
HEADER = struct.Struct("<4sHH16sQQ")
CHECKSUM = struct.Struct("<I")
HEADER_SIZE = HEADER.size + CHECKSUM.size
RECORD = struct.Struct("<IIQB")
RECORD_SIZE = RECORD.size
MAX_RECORD_BYTES = 1 << 24  # bytes: no record is longer, a length beyond is damage

MESSAGE, ATTEMPT, OUTCOME, NOTICE, END, COLD, WARM, AWAITING_ACK, NOT_RUN, RECEIVED, ACCEPTED = range(1, 12)
KIND_NAMES = (
    "",
    "message",
    "try",
    "got",
    "owe",
    "end",
    "cold",
    "warm",
    "handed",
    "denied",
    "offer",
    "accept",
)
COPIED_KINDS = frozenset({MESSAGE, RECEIVED, COLD})  # what compaction copies forward
BOOT_SIZE = 8  # bytes that mark a run of the machine
SYNCED = 1  # flag of a segment
MAY_REPEAT_FLAG, HAS_KEY, HAS_HISTORY, REMEMBER_ID, HAS_ATTRIBUTES = 1, 2, 4, 8, 16  # flags of a message
UNANSWERED = 32  # likewise: recorded before its client was answered; builds before pass over it
MESSAGE_HEAD = struct.Struct("<QddqHBBB")  # number, deadline, taken at, destination, attempts, flags, lengths
NUMBER = struct.Struct("<Q")
ATTEMPT_HEAD = struct.Struct("<QHd")
OUTCOME_HEAD = struct.Struct("<QHB")
ATTEMPT_KEY = struct.Struct("<QH")  # an attempt was answered, and is acknowledged later; `NOT_RUN` has a mark
NOTICE_HEAD = struct.Struct("<Qd")
PACE = struct.Struct("<d")
LENGTH = struct.Struct("<I")
KEY_SIZE = 16  # bytes: a key has 32 hexadecimal digits at most


class JournalError(ValueError):
    """The journal cannot be used as it is; the text says why and what to do. Nothing was changed."""


class FolderInUseError(JournalError):
    """Another process holds the folder."""


@dataclass(slots=True)
class JournalEntry:
    """A message that was taken on and is not over, as far as the journal knows."""

    number: int  # never used twice while the journal lasts: an id may be, when its first message has ended
    id: bytes
    cls: str
    destination: int
    deadline: float
    body: bytes
    key: int = 0
    again: bool = False
    attempts: int = 0
    out: dict[int, tuple[str, float]] = field(default_factory=dict)  # attempts with no outcome: where, when
    ran: tuple[str, float] | None = None  # the first attempt that had an outcome and may have run
    notice: tuple[str, float] | None = None  # it has ended; the platform has yet to be told how
    accepted_at: float = 0.0
    remember: bool = False  # its identity outlasts its end: then `notice` may be "delivered" or "failed"
    attributes: bytes = b""  # of an event, a JSON object
    awaiting_ack: int | None = None  # the attempt that was answered, of which an acknowledgement is to come
    marks: list[bytes] = field(default_factory=list)  # of acknowledgements by which an attempt never ran
    tenant: str = ""
    idempotency: bytes = b""  # the key by which its endpoint knows a repeat
    segment: Any = field(
        default=None, compare=False, repr=False
    )  # segment of its newest `MESSAGE` record, or None

    def attempt_ended(self, number: int, may_have_run: bool) -> None:
        """The outcome of an attempt that was out."""
        location = self.out.pop(number, None)
        if self.awaiting_ack == number:
            self.awaiting_ack = None
        if location is not None and may_have_run and (self.ran is None or location[1] < self.ran[1]):
            self.ran = location

    @property
    def first_run(self) -> tuple[str, float] | None:
        """Where and when it may have run first; an attempt without an outcome may have."""
        runs = [*self.out.values(), *([self.ran] if self.ran else [])]
        return min(runs, key=itemgetter(1), default=None)


# Payloads


def boot_mark(boot: str) -> bytes:
    """A short mark of a run of the machine; zeros where the system does not tell which it is."""
    return hashlib.blake2b(boot.encode(), digest_size=BOOT_SIZE).digest() if boot else bytes(BOOT_SIZE)


def message_payload(entry: JournalEntry, unanswered: bool = False) -> bytes:
    """All that is known of a message; `unanswered`, while its client has no answer."""
    cls, extra = entry.cls.encode(), b""
    flags = (
        (MAY_REPEAT_FLAG if entry.again else 0)
        | (REMEMBER_ID if entry.remember else 0)
        | (UNANSWERED if unanswered else 0)
    )
    if entry.key:
        flags |= HAS_KEY
        extra = entry.key.to_bytes(KEY_SIZE, "little")
    named = [entry.tenant, entry.idempotency.decode("latin-1")]
    if entry.out or entry.ran or entry.notice or entry.marks or any(named):
        flags |= HAS_HISTORY
        tried: list[Any] = [entry.ran, list(entry.out.items()), entry.notice]
        if entry.awaiting_ack is not None or entry.marks or any(named):
            tried += [entry.awaiting_ack, [mark.hex() for mark in entry.marks]]
        if any(named):  # last, where builds that do not know of them pass over them
            tried += named
        history = json.dumps(tried, separators=(",", ":")).encode()
        extra += LENGTH.pack(len(history)) + history
    if entry.attributes:
        flags |= HAS_ATTRIBUTES
        extra += LENGTH.pack(len(entry.attributes)) + entry.attributes
    head = MESSAGE_HEAD.pack(
        entry.number,
        entry.deadline,
        entry.accepted_at,
        entry.destination,
        entry.attempts,
        flags,
        len(entry.id),
        len(cls),
    )
    return b"".join((head, entry.id, cls, extra, entry.body))


def is_unanswered(payload: bytes) -> bool:
    """Whether the message of a record had no answer as it was written."""
    return MESSAGE_HEAD.unpack_from(payload)[5] & UNANSWERED > 0


def read_message(payload: bytes, classes: dict[bytes, str]) -> JournalEntry:
    """The message of a record; `classes` keeps one string for each class's name."""
    number, deadline, accepted_at, destination, attempts, flags, id_size, cls_size = MESSAGE_HEAD.unpack_from(
        payload
    )
    at = MESSAGE_HEAD.size + id_size
    name, cls = payload[MESSAGE_HEAD.size : at], payload[at : at + cls_size]
    at += cls_size
    known = classes.get(cls)
    if known is None:
        known = classes[cls] = cls.decode()
    key = 0
    if flags & HAS_KEY:
        key, at = int.from_bytes(payload[at : at + KEY_SIZE], "little"), at + KEY_SIZE
    out: dict[int, tuple[str, float]] = {}
    ran = notice = handed = None
    marks: list[bytes] = []
    tenant, idempotency = "", ""
    if flags & HAS_HISTORY:
        (size,) = LENGTH.unpack_from(payload, at)
        at += LENGTH.size
        ran, tries, notice, *rest = json.loads(payload[at : at + size])
        if rest:
            handed, marks = rest[0], [bytes.fromhex(mark) for mark in rest[1]]
        if len(rest) > 2:
            tenant, idempotency = rest[2:4]
        at += size
        out = {attempt: (endpoint, when) for attempt, (endpoint, when) in tries}
        ran, notice = tuple(ran) if ran else None, tuple(notice) if notice else None
    attributes = b""
    if flags & HAS_ATTRIBUTES:
        (size,) = LENGTH.unpack_from(payload, at)
        at += LENGTH.size
        attributes, at = payload[at : at + size], at + size
    again = flags & MAY_REPEAT_FLAG > 0
    return JournalEntry(
        number,
        name,
        known,
        destination,
        deadline,
        payload[at:],
        key,
        again,
        attempts,
        out,
        ran,
        notice,
        accepted_at,
        flags & REMEMBER_ID > 0,
        attributes,
        handed,
        marks,
        tenant,
        idempotency.encode("latin-1"),
    )


# Records


def record(kind: int, sequence: int, payload: bytes) -> bytes:
    """One record."""
    checksum = zlib.crc32(payload, (sequence << 3 | kind) & 0xFFFFFFFF)
    return RECORD.pack(len(payload), checksum, sequence, kind) + payload


def header(identity: bytes, segment: int, base: int, synced: bool = False) -> bytes:
    version = VERSION if synced else VERSION_WITHOUT_RECEIVED
    head = HEADER.pack(MAGIC, version, SYNCED if synced else 0, identity, segment, base)
    return head + CHECKSUM.pack(zlib.crc32(head))


@dataclass(slots=True)
class Header:
    """What a segment's header tells."""

    identity: bytes
    segment: int
    base: int
    synced: bool


def read_header(data: bytes, name: str) -> Header | None:
    """The header of a segment; None where it is torn or damaged. A `JournalError` for a newer version."""
    if len(data) < HEADER_SIZE:
        return None
    magic, version, flags, identity, segment, base = HEADER.unpack_from(data)
    if magic == MAGIC and version > VERSION:
        raise JournalError(
            f"{name} has format version {version}, and this build reads up to {VERSION}: start the build "
            "that wrote it, or move the folder's files away if what they hold may be lost"
        )
    (checksum,) = CHECKSUM.unpack_from(data, HEADER.size)
    if magic != MAGIC or checksum != zlib.crc32(data[: HEADER.size]):
        return None
    return Header(identity, segment, base, flags & SYNCED > 0)


@dataclass(slots=True)
class Scan:
    """How the reading of a segment went."""

    valid_bytes: int = 0  # bytes up to the end of the last record
    torn: int = 0  # bytes at the end that make no whole record
    damaged: int = 0  # bytes before the last record that make none


def records(data: bytes, scan: Scan) -> Iterator[tuple[int, int, bytes]]:
    """The records of a segment as sequence, type and payload. Past damage it goes on at the next whole
    record; `scan` tells afterwards what was left out."""
    at, size = HEADER_SIZE, len(data)
    crc32, unpack = zlib.crc32, RECORD.unpack_from
    scan.valid_bytes = at
    least = 0  # sequence numbers only go up: what looks like an older record is part of some body
    while at + RECORD_SIZE <= size:
        length, checksum, sequence, kind = unpack(data, at)
        end = at + RECORD_SIZE + length
        if length <= MAX_RECORD_BYTES and end <= size and sequence >= least and 0 < kind < len(KIND_NAMES):
            payload = data[at + RECORD_SIZE : end]
            if crc32(payload, (sequence << 3 | kind) & 0xFFFFFFFF) == checksum:
                if at > scan.valid_bytes:
                    scan.damaged += at - scan.valid_bytes
                yield sequence, kind, payload
                at = scan.valid_bytes = end
                least = sequence + 1
                continue
        at += 1
    scan.torn = size - scan.valid_bytes
