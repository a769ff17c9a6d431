"""Wire protocol between members, version 1. No I/O, no clock.

    datagram   magic "RM", version u8, kind u8, sender u64, receiver u64, number u64, payload, MAC 16 bytes
    stream     magic "RMX", version u8, role u8, process u64, nonce 16 bytes, from both sides; then frames of
               length u32, payload, MAC 32 bytes over both hellos, the sender's side and the payload

`sender` and `receiver` are random numbers that processes draw at their start. A datagram is accepted once and
only by the process that it names. This rejects replays across a restart of either side without stored state.
A sender that does not know the receiver's process asks for it (WHO); the answer (HERE) names the asker's
process and repeats its number. MACs are HMAC-SHA256 with a key derived from the shared secret, cut to 16
bytes in datagrams.
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
MAC_SIZE = 16
MAX_DATAGRAM_BYTES = 1_400  # fits any path's MTU; longer datagrams are dropped unread
MAX_SENDERS = 8_192  # processes whose numbers or addresses are remembered
WINDOW = 256  # replay window: numbers accepted out of order below the highest
MAX_QUEUED = 4  # messages queued per address until its process is known
MAX_QUEUED_ADDRESSES = 256
STREAM_MAGIC = b"RMX"
HELLO = struct.Struct(">3sBBQ16s")
LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 1_048_576  # about 10,000 rows
STREAM_MAC_SIZE = 32


class Kind(enum.IntEnum):
    """Type of a datagram."""

    DATA = 1
    WHO = 2
    HERE = 3
    SHARED = 4  # payloads of users of the membership: `rushhitch.sharing`


class Role(enum.IntEnum):
    """Purpose of a stream."""

    MEMBER = 1
    SHOW = 2
    SHARED = 3


class WireError(ValueError):
    """Malformed or forbidden input; the text says why."""


class DropReason(enum.Enum):
    """Why a datagram was dropped; names and values are logged."""

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
    """`what` is the index in `KINDS`. Additional fields of later versions are ignored."""

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
    """Encode a message as a datagram's payload."""
    fields: list[Any] = [
        KINDS.index(type(message)),
        message.me,
        message.seq,
        message.digest,
        message.news,
        message.vouches,
    ]
    if isinstance(message, Ask):
        fields.append(message.target)
    elif isinstance(message, Relayed):
        fields += [None, message.answered]
    return _encode(fields)


def to_row(raw: _Row) -> Row:
    row = Row(
        raw.name,
        raw.host,
        raw.port,
        raw.building,
        raw.incarnation,
        raw.process,
        raw.state,
        tuple(raw.by),
    )
    if not row.is_valid():
        raise WireError(f"invalid row: {row!r}")
    return row


def decode(data: bytes) -> Message:
    """Decode a payload. Raises `WireError` if it is no valid message."""
    try:
        raw = _read_message(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise WireError(f"malformed message: {error}") from None
    if not 0 <= raw.what < len(KINDS):
        raise WireError(f"unknown kind of message: {raw.what}")
    news = tuple(to_row(row) for row in raw.news)
    vouches = tuple(Vouch(v.name, v.incarnation, v.by, v.number) for v in raw.vouches)
    head = (to_row(raw.me), raw.seq, raw.digest)
    kind = KINDS[raw.what]
    if kind is Ask:
        if raw.target is None:
            raise WireError("indirect probe without a target")
        return Ask(*head, news, vouches, target=to_row(raw.target))
    if kind is Relayed:
        return Relayed(*head, news, vouches, answered=raw.answered)
    return kind(*head, news, vouches)


def encode_rows(rows: list[Row]) -> bytes:
    return _encode(rows)


def decode_rows(data: bytes) -> list[Row]:
    """Decode the rows of an exchange. Raises `WireError` if they are malformed."""
    try:
        return [to_row(row) for row in _read_rows(data)]
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise WireError(f"malformed rows: {error}") from None


def derive_key(secret: bytes) -> bytes:
    return hmac.digest(secret, b"rushhitch membership 1", "sha256")


@dataclass(frozen=True, slots=True)
class Carried:
    """A payload of a user of the membership, and the process that sent it."""

    process: int
    payload: bytes


@dataclass(slots=True)
class ReplayWindow:
    """Replay window: which of a sender's numbers were received."""

    highest: int = 0
    seen: int = 0  # bitmap of the last `WINDOW` numbers, lowest bit for `highest`

    def fresh(self, number: int) -> bool:
        """Mark a number as received; False if it was before, or is below the window."""
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
    """Authenticates and opens the datagrams of one process."""

    def __init__(self, process: int, secret: bytes) -> None:
        self.process, self.key = process, derive_key(secret)
        self.number = 0
        self.processes: OrderedDict[tuple[str, int], int] = OrderedDict()  # address -> process
        self.queued: OrderedDict[tuple[str, int], list[bytes]] = OrderedDict()
        self.senders: OrderedDict[int, ReplayWindow] = OrderedDict()
        self.drops = dict.fromkeys(DropReason, 0)

    def datagram(self, kind: Kind, receiver: int, payload: bytes = b"", number: int | None = None) -> bytes:
        if number is None:
            self.number += 1
            number = self.number
        head = HEAD.pack(MAGIC, VERSION, kind, self.process, receiver, number)
        return head + payload + hmac.digest(self.key, head + payload, "sha256")[:MAC_SIZE]

    def seal(self, send: Send) -> bytes:
        """The datagram to send: the message, or a WHO while the receiver's process is unknown."""
        payload = encode(send.message)
        if (receiver := self.processes.get(send.to)) is None and send.process:
            receiver = self.learn(send.to, send.process)
        if receiver is not None:
            return self.datagram(Kind.DATA, receiver, payload)
        queued = self.queued.setdefault(send.to, [])
        queued.append(payload)
        del queued[:-MAX_QUEUED]
        while len(self.queued) > MAX_QUEUED_ADDRESSES:
            self.queued.popitem(last=False)
        return self.datagram(Kind.WHO, 0)

    def learn(self, address: tuple[str, int], process: int) -> int:
        self.processes[address] = process
        self.processes.move_to_end(address)
        if len(self.processes) > MAX_SENDERS:
            self.processes.popitem(last=False)
        return process

    def open(self, data: bytes, source: tuple[str, int]) -> tuple[Message | Carried | None, list[bytes]]:
        """Return the message or payload received, if any, and datagrams to send back to `source`. Does not
        raise: dropped datagrams are counted in `drops`."""
        if not HEAD.size + MAC_SIZE <= len(data) <= MAX_DATAGRAM_BYTES:
            return self.drop(DropReason.FORM)
        magic, version, kind, sender, receiver, number = HEAD.unpack_from(data)
        if magic != MAGIC:
            return self.drop(DropReason.FORM)
        if version != VERSION:
            return self.drop(DropReason.VERSION)
        if receiver != self.process and kind in (Kind.HERE, Kind.SHARED):
            return self.drop(DropReason.OLD)  # cheaper than the MAC; outsiders do not know the number
        if not hmac.compare_digest(
            data[-MAC_SIZE:], hmac.digest(self.key, data[:-MAC_SIZE], "sha256")[:MAC_SIZE]
        ):
            return self.drop(DropReason.SECRET)
        if kind == Kind.WHO or (kind == Kind.DATA and receiver != self.process):
            if kind == Kind.DATA:
                self.drops[DropReason.OLD] += 1
            return None, [self.datagram(Kind.HERE, sender, number=number)]
        if kind == Kind.HERE:
            return self.here(source, sender, number)
        if kind not in (Kind.DATA, Kind.SHARED):
            return self.drop(DropReason.FORM)
        if not self.fresh(sender, number):
            return self.drop(DropReason.OLD)
        if kind == Kind.SHARED:
            return Carried(sender, data[HEAD.size : -MAC_SIZE]), []
        try:
            message = decode(data[HEAD.size : -MAC_SIZE])
        except WireError:
            return self.drop(DropReason.FORM)
        self.learn((message.me.host, message.me.port), sender)
        return message, []

    def here(self, source: tuple[str, int], sender: int, number: int) -> tuple[None, list[bytes]]:
        """Handle HERE, the answer to a recent datagram: learn the process and send queued messages."""
        if not 0 < self.number - number + 1 <= WINDOW:
            return self.drop(DropReason.OLD)
        self.learn(source, sender)
        return None, [self.datagram(Kind.DATA, sender, payload) for payload in self.queued.pop(source, ())]

    def fresh(self, sender: int, number: int) -> bool:
        numbers = self.senders.get(sender)
        if numbers is None:
            numbers = self.senders[sender] = ReplayWindow()
            if len(self.senders) > MAX_SENDERS:
                self.senders.popitem(last=False)
        self.senders.move_to_end(sender)
        return numbers.fresh(number)

    def drop(self, why: DropReason) -> tuple[None, list[bytes]]:
        self.drops[why] += 1
        return None, []


class Stream:
    """One side of a stream: send `greeting`, then `sealed` frames; pass received bytes to `receive`."""

    def __init__(self, role: Role, process: int, secret: bytes, nonce: bytes, calls: bool) -> None:
        self.key, self.calls = derive_key(secret), calls
        self.greeting = HELLO.pack(STREAM_MAGIC, VERSION, role, process, nonce)
        self.peer_hello = b""
        self.role = role
        self.buffer = bytearray()

    def sealed(self, payload: bytes) -> bytes:
        """Encode a frame. Raises `WireError` before the peer's hello was received, or if it is too long."""
        if not self.peer_hello:
            raise WireError("frame before the hello")
        if len(payload) > MAX_FRAME_BYTES:
            raise WireError(f"a frame of {len(payload)} bytes, more than {MAX_FRAME_BYTES}")
        return LENGTH.pack(len(payload)) + payload + self.mac(payload, self.calls)

    def mac(self, payload: bytes, by_caller: bool) -> bytes:
        hellos = self.greeting + self.peer_hello if self.calls else self.peer_hello + self.greeting
        return hmac.digest(self.key, (b"c" if by_caller else b"s") + hellos + payload, "sha256")

    def receive(self, data: bytes) -> bytes | None:
        """Return the payload of the next complete frame, if any. After a `WireError` close the stream."""
        self.buffer += data
        if not self.peer_hello:
            if len(self.buffer) < HELLO.size:
                return None
            self.read_hello(bytes(self.buffer[: HELLO.size]))
            del self.buffer[: HELLO.size]
        if len(self.buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self.buffer)
        if length > MAX_FRAME_BYTES:
            raise WireError(f"a frame of {length} bytes, more than {MAX_FRAME_BYTES}")
        end = LENGTH.size + length
        if len(self.buffer) < end + STREAM_MAC_SIZE:
            return None
        payload, mac = bytes(self.buffer[LENGTH.size : end]), bytes(self.buffer[end : end + STREAM_MAC_SIZE])
        del self.buffer[: end + STREAM_MAC_SIZE]
        if not hmac.compare_digest(mac, self.mac(payload, not self.calls)):
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
            raise WireError(f"unknown stream role {role}") from None
        self.peer_hello = hello
