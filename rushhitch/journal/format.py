"""On-disk format of the journal, versions 1 and 2: segment headers, records and recovery from damage.

A segment is a file of one header followed by records:

    header  magic "RHJL", version u16, flags u16 (1: written with syncs), identity 16 bytes,
            segment u64, base u64, CRC-32 of these
    record  length u32 of the payload, checksum u32, sequence u64, type u8, payload

The checksum is the CRC-32 of the payload, seeded with the record's sequence and type. All numbers are
little-endian, times are Unix time in seconds. Sequence numbers increase by one across all segments, so a
missing record shows as a gap. A `MESSAGE` record holds the whole state of a message and replaces all earlier
records of its number. It is written on acceptance, and again, with the attempts, when compaction copies the
message forward; as a single record, such a copy is either complete or absent.

A message is recorded before its client is answered. Version 2 adds `RECEIVED` and `ACCEPTED`, for journals
that sync: `RECEIVED` is a message whose client has no answer yet, prefixed with a hash of the boot id.
Segments written without syncs have neither and keep version 1, which earlier builds read: there, a flag of
a message says that it was recorded before its answer, and the answer file (`answers.py`) if it was answered.
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
MAX_RECORD_BYTES = 1 << 24  # a greater length is damage

MESSAGE, ATTEMPT, OUTCOME, NOTICE, END, COLD, WARM, AWAITING_ACK, NOT_RUN, RECEIVED, ACCEPTED = range(1, 12)
KINDS = ("", "message", "try", "got", "owe", "end", "cold", "warm", "handed", "denied", "offer", "accept")
COPIED_KINDS = frozenset({MESSAGE, RECEIVED, COLD})  # kinds that compaction copies forward
BOOT_SIZE = 8  # bytes of the hash of a boot id
SYNCED = 1  # segment flag
RESUBMITTED, HAS_KEY, HAS_HISTORY, REMEMBER_ID, HAS_ATTRIBUTES = 1, 2, 4, 8, 16  # message flags
UNANSWERED = 32  # message flag: recorded before its client was answered; earlier builds ignore it
MESSAGE_HEAD = struct.Struct(
    "<QddqHBBB"
)  # number, deadline, accepted at, destination, attempts, flags, lengths
NUMBER = struct.Struct("<Q")
ATTEMPT_HEAD = struct.Struct("<QHd")
OUTCOME_HEAD = struct.Struct("<QHB")
ATTEMPT_KEY = struct.Struct(
    "<QH"
)  # of `AWAITING_ACK` and `NOT_RUN`; the latter adds the mark of the acknowledgement
NOTICE_HEAD = struct.Struct("<Qd")
PACE = struct.Struct("<d")
LENGTH = struct.Struct("<I")
KEY_SIZE = 16  # bytes: a key has at most 32 hexadecimal digits


class JournalError(ValueError):
    """The journal is unusable; the text gives the cause and the remedy. The folder is unchanged."""


class FolderInUseError(JournalError):
    """Another process holds the lock on the folder."""


@dataclass(slots=True)
class JournalEntry:
    """The state of a message that is recorded and not over. Times are Unix time in seconds."""

    number: int  # unique in the journal, unlike `id`, which a client may reuse once its message has ended
    id: bytes
    cls: str
    destination: int
    deadline: float
    body: bytes
    key: int = 0
    again: bool = False  # its client marked it as a resubmission
    attempts: int = 0
    out: dict[int, tuple[str, float]] = field(
        default_factory=dict
    )  # attempts without outcome: endpoint, start
    ran: tuple[str, float] | None = None  # earliest attempt with an outcome that may have run
    notice: tuple[str, float] | None = (
        None  # its end, as result and wait in ms, until the platform has received it
    )
    accepted_at: float = 0.0
    remember: bool = False  # keep the id past the end: `notice` may then be "delivered" or "failed"
    attributes: bytes = b""  # JSON object, for an event
    awaiting_ack: int | None = None  # the answered attempt whose acknowledgement is to come
    marks: list[bytes] = field(default_factory=list)  # of acknowledgements that an attempt never ran
    tenant: str = ""
    idempotency: bytes = b""  # key by which the endpoint detects a repeat
    segment: Any = field(default=None, compare=False, repr=False)  # holds the newest full record, or None

    def attempt_ended(self, number: int, may_have_run: bool) -> None:
        """Apply the outcome of an attempt in flight."""
        location = self.out.pop(number, None)
        if self.awaiting_ack == number:
            self.awaiting_ack = None
        if location is not None and may_have_run and (self.ran is None or location[1] < self.ran[1]):
            self.ran = location

    @property
    def first_run(self) -> tuple[str, float] | None:
        """Endpoint and time of the earliest attempt that may have run; one without an outcome may have."""
        runs = [*self.out.values(), *([self.ran] if self.ran else [])]
        return min(runs, key=itemgetter(1), default=None)


# Payloads


def boot_mark(boot: str) -> bytes:
    """A short hash of the boot id; zeros where the system has none."""
    return hashlib.blake2b(boot.encode(), digest_size=BOOT_SIZE).digest() if boot else bytes(BOOT_SIZE)


def message_payload(entry: JournalEntry, unanswered: bool = False) -> bytes:
    """Serialize the whole state of a message; `unanswered` flags that its client has no answer yet."""
    cls, extra = entry.cls.encode(), b""
    flags = (
        (RESUBMITTED if entry.again else 0)
        | (REMEMBER_ID if entry.remember else 0)
        | (UNANSWERED if unanswered else 0)
    )
    if entry.key:
        flags |= HAS_KEY
        extra = entry.key.to_bytes(KEY_SIZE, "little")
    identifiers = [entry.tenant, entry.idempotency.decode("latin-1")]
    if entry.out or entry.ran or entry.notice or entry.marks or any(identifiers):
        flags |= HAS_HISTORY
        state: list[Any] = [entry.ran, list(entry.out.items()), entry.notice]
        if entry.awaiting_ack is not None or entry.marks or any(identifiers):
            state += [entry.awaiting_ack, [mark.hex() for mark in entry.marks]]
        if any(identifiers):  # last, where builds without these fields ignore them
            state += identifiers
        history = json.dumps(state, separators=(",", ":")).encode()
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
    """Whether the client had no answer yet when the record was written."""
    return MESSAGE_HEAD.unpack_from(payload)[5] & UNANSWERED > 0


def read_message(payload: bytes, classes: dict[bytes, str]) -> JournalEntry:
    """Deserialize a message; `classes` interns the class names."""
    number, deadline, accepted_at, destination, attempts, flags, id_size, cls_size = MESSAGE_HEAD.unpack_from(
        payload
    )
    offset = MESSAGE_HEAD.size + id_size
    name, cls = payload[MESSAGE_HEAD.size : offset], payload[offset : offset + cls_size]
    offset += cls_size
    class_name = classes.get(cls)
    if class_name is None:
        class_name = classes[cls] = cls.decode()
    key = 0
    if flags & HAS_KEY:
        key, offset = int.from_bytes(payload[offset : offset + KEY_SIZE], "little"), offset + KEY_SIZE
    out: dict[int, tuple[str, float]] = {}
    ran = notice = awaiting_ack = None
    marks: list[bytes] = []
    tenant, idempotency = "", ""
    if flags & HAS_HISTORY:
        (size,) = LENGTH.unpack_from(payload, offset)
        offset += LENGTH.size
        ran, open_attempts, notice, *rest = json.loads(payload[offset : offset + size])
        if rest:
            awaiting_ack, marks = rest[0], [bytes.fromhex(mark) for mark in rest[1]]
        if len(rest) > 2:
            tenant, idempotency = rest[2:4]
        offset += size
        out = {attempt: (endpoint, when) for attempt, (endpoint, when) in open_attempts}
        ran, notice = tuple(ran) if ran else None, tuple(notice) if notice else None
    attributes = b""
    if flags & HAS_ATTRIBUTES:
        (size,) = LENGTH.unpack_from(payload, offset)
        offset += LENGTH.size
        attributes, offset = payload[offset : offset + size], offset + size
    again = flags & RESUBMITTED > 0
    return JournalEntry(
        number,
        name,
        class_name,
        destination,
        deadline,
        payload[offset:],
        key,
        again,
        attempts,
        out,
        ran,
        notice,
        accepted_at,
        flags & REMEMBER_ID > 0,
        attributes,
        awaiting_ack,
        marks,
        tenant,
        idempotency.encode("latin-1"),
    )


# Records


def record(kind: int, sequence: int, payload: bytes) -> bytes:
    """A record as bytes: its header and the payload."""
    checksum = zlib.crc32(payload, (sequence << 3 | kind) & 0xFFFFFFFF)
    return RECORD.pack(len(payload), checksum, sequence, kind) + payload


def header(identity: bytes, segment: int, base: int, synced: bool = False) -> bytes:
    version = VERSION if synced else VERSION_WITHOUT_RECEIVED
    head = HEADER.pack(MAGIC, version, SYNCED if synced else 0, identity, segment, base)
    return head + CHECKSUM.pack(zlib.crc32(head))


@dataclass(slots=True)
class Header:
    """A decoded segment header."""

    identity: bytes
    segment: int
    base: int
    synced: bool


def read_header(data: bytes, name: str) -> Header | None:
    """The header of a segment; None if it is torn or damaged. Raises `JournalError` for a newer version."""
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
    """Result of scanning a segment, in bytes."""

    valid_bytes: int = 0  # up to the end of the last whole record
    torn: int = 0  # after it
    damaged: int = 0  # before it, but part of no whole record


def records(data: bytes, scan: Scan) -> Iterator[tuple[int, int, bytes]]:
    """Yield the sequence, type and payload of each record. Damage is skipped up to the next whole record;
    `scan` then has the number of bytes skipped."""
    offset, size = HEADER_SIZE, len(data)
    crc32, unpack = zlib.crc32, RECORD.unpack_from
    scan.valid_bytes = offset
    min_sequence = 0  # sequences only increase: what looks like an older record is part of a body
    while offset + RECORD_SIZE <= size:
        length, checksum, sequence, kind = unpack(data, offset)
        end = offset + RECORD_SIZE + length
        if length <= MAX_RECORD_BYTES and end <= size and sequence >= min_sequence and 0 < kind < len(KINDS):
            payload = data[offset + RECORD_SIZE : end]
            if crc32(payload, (sequence << 3 | kind) & 0xFFFFFFFF) == checksum:
                if offset > scan.valid_bytes:
                    scan.damaged += offset - scan.valid_bytes
                yield sequence, kind, payload
                offset = scan.valid_bytes = end
                min_sequence = sequence + 1
                continue
        offset += 1
    scan.torn = size - scan.valid_bytes
