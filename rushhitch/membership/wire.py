"""The wire between members, version 1. Bytes in, messages out; no I/O and no clock.

    datagram   magic "RM", version u8, kind u8, sender u64, receiver u64, number u64, payload, MAC 16 bytes
    stream     magic "RMX", version u8, role u8, process u64, nonce 16 bytes, from both sides; then frames of
               length u32, payload, MAC 32 bytes over both hellos, the sender's side and the payload

`sender` and `receiver` are numbers that processes draw at their start. A datagram counts for the very process
that it names, and once: so what was recorded before a restart, on either side, is nothing after it, with no
disk. Who does not know the receiver's number yet asks for it (WHO); the answer (HERE) names the asker's
process and its number. The MAC is HMAC-SHA256 of a key drawn from the shared secret, cut to 16 bytes in
datagrams.
"""

from __future__ import annotations

import enum
import hmac
import struct
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

import msgspec

from rushhitch.membership.messages import Ack, Ask, Message, Ping, Relayed, Row, Send, Vouch

MAGIC, VERSION = b"RM", 1
HEAD = struct.Struct(">2sBBQQQ")
MAC = 16
MOST_DATAGRAM = 1_400  # bytes: below any path's limit; what is longer is dropped unread
MOST_SENDERS = 8_192  # processes whose numbers are remembered
WINDOW = 256  # numbers below the highest that may still come, out of order
MOST_WAITING = 4  # messages kept for an address until its process is known
MOST_ASKED = 256  # addresses
STREAM_MAGIC = b"RMX"
HELLO = struct.Struct(">3sBBQ16s")
LENGTH = struct.Struct(">I")
MOST_FRAME = 1_048_576  # bytes: some 10,000 rows
STREAM_MAC = 32


class Kind(enum.IntEnum):
    """What a datagram is."""

    DATA = 1
    WHO = 2
    HERE = 3
    SHARED = 4  # what users of the membership tell each other: `rushhitch.sharing`


class Role(enum.IntEnum):
    """What a stream is for."""

    MEMBER = 1
    SHOW = 2
    SHARED = 3


class WireError(ValueError):
    """What came cannot be read, or is not allowed; the text says why."""


class Bad(enum.Enum):
    """Why a datagram was dropped."""

    FORM = "it cannot be read"
    VERSION = "another version of the wire"
    SECRET = "another secret, or forged"
    OLD = "it came before, or is for a process that is over"


class _Row(msgspec.Struct, array_like=True):
    name: str
    host: str
    port: int
    building: str
    incarnation: int
    process: int
    state: int
    by: list[str] = []


class _Vouch(msgspec.Struct, array_like=True):
    name: str
    incarnation: int
    by: str
    number: int


class _Message(msgspec.Struct, array_like=True):
    """`what` is the message's place in `KINDS`; further fields of a later build are left out."""

    what: int
    me: _Row
    seq: int
    digest: int
    news: list[_Row] = []
    vouches: list[_Vouch] = []
    target: _Row | None = None
    answered: bool = False


KINDS: tuple[type, ...] = (Ping, Ack, Ask, Relayed)
_encode = msgspec.msgpack.Encoder().encode
_read_message = msgspec.msgpack.Decoder(_Message).decode
_read_rows = msgspec.msgpack.Decoder(list[_Row]).decode


def encode(message: Message) -> bytes:
    """A message's payload."""
    told: list[Any] = [
        KINDS.index(type(message)),
        message.me,
        message.seq,
        message.digest,
        message.news,
        message.vouches,
    ]
    if isinstance(message, Ask):
        told.append(message.target)
    elif isinstance(message, Relayed):
        told += [None, message.answered]
    return _encode(told)


def row_of(told: _Row) -> Row:
    row = Row(
        told.name,
        told.host,
        told.port,
        told.building,
        told.incarnation,
        told.process,
        told.state,
        tuple(told.by),
    )
    if not row.is_valid():
        raise WireError(f"a row that no member tells: {row!r}")
    return row


def decode(data: bytes) -> Message:
    """Raises a `WireError` where it is none."""
    try:
        told = _read_message(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise WireError(f"not a message: {error}") from None
    if not 0 <= told.what < len(KINDS):
        raise WireError(f"a message of unknown kind {told.what}")
    news = tuple(row_of(row) for row in told.news)
    vouches = tuple(Vouch(v.name, v.incarnation, v.by, v.number) for v in told.vouches)
    head = (row_of(told.me), told.seq, told.digest)
    kind = KINDS[told.what]
    if kind is Ask:
        if told.target is None:
            raise WireError("a question on behalf of another names nobody")
        return Ask(*head, news, vouches, target=row_of(told.target))
    if kind is Relayed:
        return Relayed(*head, news, vouches, answered=told.answered)
    return kind(*head, news, vouches)


def encode_rows(rows: list[Row]) -> bytes:
    return _encode(rows)


def decode_rows(data: bytes) -> list[Row]:
    """Raises a `WireError` where it is no list of rows."""
    try:
        return [row_of(row) for row in _read_rows(data)]
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise WireError(f"not rows: {error}") from None


def key_of(secret: bytes) -> bytes:
    return hmac.digest(secret, b"rushhitch membership 1", "sha256")


@dataclass(frozen=True, slots=True)
class Carried:
    """A payload of a user of the membership, and the process that sent it."""

    process: int
    payload: bytes


@dataclass(slots=True)
class Numbers:
    """Which of a sender's numbers have come."""

    highest: int = 0
    seen: int = 0  # a bit for each of the last `WINDOW`

    def fresh(self, number: int) -> bool:
        """Whether it has not come yet; it has, from now on."""
        if number > self.highest:
            shift = number - self.highest
            self.seen = ((self.seen << shift) | 1) & ((1 << WINDOW) - 1) if shift < WINDOW else 1
            self.highest = number
            return True
        back = self.highest - number
        if back >= WINDOW or self.seen >> back & 1:
            return False
        self.seen |= 1 << back
        return True


class Sessions:
    """Seals what goes out and opens what comes in, for one process."""

    def __init__(self, process: int, secret: bytes) -> None:
        self.process, self.key = process, key_of(secret)
        self.number = 0
        self.there: OrderedDict[tuple[str, int], int] = OrderedDict()  # the process at an address
        self.waiting: OrderedDict[tuple[str, int], list[bytes]] = OrderedDict()
        self.senders: OrderedDict[int, Numbers] = OrderedDict()
        self.bad = dict.fromkeys(Bad, 0)

    def datagram(self, kind: Kind, receiver: int, payload: bytes = b"", number: int | None = None) -> bytes:
        if number is None:
            self.number += 1
            number = self.number
        head = HEAD.pack(MAGIC, VERSION, kind, self.process, receiver, number)
        return head + payload + hmac.digest(self.key, head + payload, "sha256")[:MAC]

    def seal(self, send: Send) -> bytes:
        """The datagram to send there: the message, or first the question who is there."""
        payload = encode(send.message)
        if (receiver := self.there.get(send.to)) is None and send.process:
            receiver = self.learn(send.to, send.process)
        if receiver is not None:
            return self.datagram(Kind.DATA, receiver, payload)
        waiting = self.waiting.setdefault(send.to, [])
        waiting.append(payload)
        del waiting[:-MOST_WAITING]
        while len(self.waiting) > MOST_ASKED:
            self.waiting.popitem(last=False)
        return self.datagram(Kind.WHO, 0)

    def learn(self, address: tuple[str, int], process: int) -> int:
        self.there[address] = process
        self.there.move_to_end(address)
        if len(self.there) > MOST_SENDERS:
            self.there.popitem(last=False)
        return process

    def open(self, data: bytes, source: tuple[str, int]) -> tuple[Message | Carried | None, list[bytes]]:
        """The message that came, if one did, and what to send back to the source. Nothing is raised: what
        makes no sense is counted in `bad`."""
        if not HEAD.size + MAC <= len(data) <= MOST_DATAGRAM:
            return self.drop(Bad.FORM)
        magic, version, kind, sender, receiver, number = HEAD.unpack_from(data)
        if magic != MAGIC:
            return self.drop(Bad.FORM)
        if version != VERSION:
            return self.drop(Bad.VERSION)
        if receiver != self.process and kind in (Kind.HERE, Kind.SHARED):
            return self.drop(Bad.OLD)  # before the costly check: nobody outside knows the process's number
        if not hmac.compare_digest(data[-MAC:], hmac.digest(self.key, data[:-MAC], "sha256")[:MAC]):
            return self.drop(Bad.SECRET)
        if kind == Kind.WHO or (kind == Kind.DATA and receiver != self.process):
            if kind == Kind.DATA:
                self.bad[Bad.OLD] += 1
            return None, [self.datagram(Kind.HERE, sender, number=number)]
        if kind == Kind.HERE:
            return self.here(source, sender, number)
        if kind not in (Kind.DATA, Kind.SHARED):
            return self.drop(Bad.FORM)
        if not self.fresh(sender, number):
            return self.drop(Bad.OLD)
        if kind == Kind.SHARED:
            return Carried(sender, data[HEAD.size : -MAC]), []
        try:
            message = decode(data[HEAD.size : -MAC])
        except WireError:
            return self.drop(Bad.FORM)
        self.learn((message.me.host, message.me.port), sender)
        return message, []

    def here(self, source: tuple[str, int], sender: int, number: int) -> tuple[None, list[bytes]]:
        """A process tells its number, in answer to what this one sent."""
        if not 0 < self.number - number + 1 <= WINDOW:
            return self.drop(Bad.OLD)
        self.learn(source, sender)
        return None, [self.datagram(Kind.DATA, sender, payload) for payload in self.waiting.pop(source, ())]

    def fresh(self, sender: int, number: int) -> bool:
        numbers = self.senders.get(sender)
        if numbers is None:
            numbers = self.senders[sender] = Numbers()
            if len(self.senders) > MOST_SENDERS:
                self.senders.popitem(last=False)
        self.senders.move_to_end(sender)
        return numbers.fresh(number)

    def drop(self, why: Bad) -> tuple[None, list[bytes]]:
        self.bad[why] += 1
        return None, []


class Stream:
    """One side of a stream: `greeting` first, then `send` frames; feed it bytes, take payloads out."""

    def __init__(self, role: Role, process: int, secret: bytes, nonce: bytes, calls: bool) -> None:
        self.key, self.calls = key_of(secret), calls
        self.greeting = HELLO.pack(STREAM_MAGIC, VERSION, role, process, nonce)
        self.theirs = b""
        self.role = role
        self.buffer = bytearray()

    def sealed(self, payload: bytes) -> bytes:
        """A frame, once the other side's hello has come."""
        if not self.theirs:
            raise WireError("a frame before the hello")
        if len(payload) > MOST_FRAME:
            raise WireError(f"a frame of {len(payload)} bytes, more than {MOST_FRAME}")
        return LENGTH.pack(len(payload)) + payload + self.mac(payload, self.calls)

    def mac(self, payload: bytes, by_caller: bool) -> bytes:
        hellos = self.greeting + self.theirs if self.calls else self.theirs + self.greeting
        return hmac.digest(self.key, (b"c" if by_caller else b"s") + hellos + payload, "sha256")

    def receive(self, data: bytes) -> bytes | None:
        """The frame that has come whole, if one has. A `WireError` ends the stream."""
        self.buffer += data
        if not self.theirs:
            if len(self.buffer) < HELLO.size:
                return None
            self.read_hello(bytes(self.buffer[: HELLO.size]))
            del self.buffer[: HELLO.size]
        if len(self.buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self.buffer)
        if length > MOST_FRAME:
            raise WireError(f"a frame of {length} bytes, more than {MOST_FRAME}")
        end = LENGTH.size + length
        if len(self.buffer) < end + STREAM_MAC:
            return None
        payload, told = bytes(self.buffer[LENGTH.size : end]), bytes(self.buffer[end : end + STREAM_MAC])
        del self.buffer[: end + STREAM_MAC]
        if not hmac.compare_digest(told, self.mac(payload, not self.calls)):
            raise WireError("the shared secrets differ: give [membership] secret_file the same content")
        return payload

    def read_hello(self, hello: bytes) -> None:
        magic, version, role, _, _ = HELLO.unpack(hello)
        if magic != STREAM_MAGIC:
            raise WireError("not a member: the magic is wrong")
        if version != VERSION:
            raise WireError(f"version {version} of the wire, this build speaks {VERSION}: upgrade the older")
        try:
            self.role = Role(role)
        except ValueError:
            raise WireError(f"a stream of unknown role {role}") from None
        self.theirs = hello
