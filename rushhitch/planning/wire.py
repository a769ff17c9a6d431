"""The wire protocol between forwarders and planners, version 1. Bytes in, messages out; no I/O.

    frame      length u32 (of type and payload, big-endian), type u8, payload
    hello      magic "RHPL", version u16, nonce 16 bytes, role u8, name
    proof      HMAC-SHA256 with the secret over the peer's hello and one's own
    report     MessagePack array, as in `messages.Report`
    grants     MessagePack array, as in `messages.Grants`
    refusal    text: reason for closing the connection

Both sides send hello immediately and prove that they know the secret; no other frame is accepted before that.
Sizes are bounded: a frame's length, a report's lanes. An unknown version or type is refused with a reason.
"""

from __future__ import annotations

import enum
import hmac
import os
import struct
from collections.abc import Iterator
from dataclasses import fields
from typing import get_type_hints

import msgspec

from rushhitch.planning.messages import MAX_NAME_LENGTH, Grant, Grants, LaneReport, Report

MAGIC, VERSION = b"RHPL", 1
FRAME = struct.Struct(">IB")
HELLO = struct.Struct(">4sH16sB")
MAX_FRAME_BYTES = 4_194_304  # enough for 20,000 lanes in one report
MAX_HELLO_BYTES = 512  # for frames before authentication
NONCE_BYTES = 16


class Kind(enum.IntEnum):
    """Frame types."""

    HELLO = 1
    PROOF = 2
    REPORT = 3
    GRANTS = 4
    REFUSAL = 5
    SHOW = 6  # request for a planner's view
    VIEW = 7


class Role(enum.IntEnum):
    """Roles in a hello."""

    FORWARDER = 1
    PLANNER = 2
    SHOW = 3


class WireError(ValueError):
    """Received data is malformed or not allowed; the text gives the reason."""


def _positional_struct(kind: type) -> type[msgspec.Struct]:
    """A message's wire form: all fields of the dataclass by position, in its order, none optional."""
    types = get_type_hints(kind)
    return msgspec.defstruct(
        f"_{kind.__name__}", [(item.name, types[item.name]) for item in fields(kind)], array_like=True
    )


_Lane, _Grant = _positional_struct(LaneReport), _positional_struct(Grant)


class _Report(msgspec.Struct, array_like=True):
    forwarder: str
    number: int
    elapsed_ms: float
    heard: list[str]
    lanes: list[_Lane]  # type: ignore[valid-type]


class _Grants(msgspec.Struct, array_like=True):
    planner: str
    number: int
    grants: list[_Grant]  # type: ignore[valid-type]


_encode = msgspec.msgpack.Encoder().encode
_read_report = msgspec.msgpack.Decoder(_Report).decode
_read_grants = msgspec.msgpack.Decoder(_Grants).decode
_LANE, _GRANT = _Lane.__struct_fields__, _Grant.__struct_fields__


def encode_report(report: Report) -> bytes:
    lanes = [[getattr(lane, name) for name in _LANE] for lane in report.lanes]
    return _encode([report.forwarder, report.number, report.elapsed_ms, report.heard, lanes])


def decode_report(data: bytes) -> Report:
    """Decodes a report or raises `WireError`. `LaneReport.is_valid` checks its values."""
    try:
        row = _read_report(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise WireError(f"not a report: {error}") from None
    lanes = [LaneReport(*[getattr(lane, name) for name in _LANE]) for lane in row.lanes]
    return Report(row.forwarder, row.number, row.elapsed_ms, row.heard, lanes)


def encode_grants(grants: Grants) -> bytes:
    rows = [[getattr(grant, name) for name in _GRANT] for grant in grants.grants]
    return _encode([grants.planner, grants.number, rows])


def decode_grants(data: bytes) -> Grants:
    """Decodes a planner's answer or raises `WireError`."""
    try:
        row = _read_grants(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise WireError(f"not grants: {error}") from None
    grants = [Grant(*[getattr(grant, name) for name in _GRANT]) for grant in row.grants]
    return Grants(row.planner, row.number, grants)


def frame(kind: Kind, payload: bytes = b"") -> bytes:
    if len(payload) >= MAX_FRAME_BYTES:
        raise WireError(f"a frame of {len(payload)} bytes, more than {MAX_FRAME_BYTES}")
    return FRAME.pack(1 + len(payload), kind) + payload


class Link:
    """Protocol state of one connection: bytes in, frames out. `role` and `name` are its own; `peer_role` and
    `peer` are authenticated once `ready` is true."""

    def __init__(self, role: Role, name: str, secret: bytes, nonce: bytes = b"") -> None:
        if not 0 < len(name) <= MAX_NAME_LENGTH:
            raise WireError(f"a name must have 1 to {MAX_NAME_LENGTH} characters, not {len(name)}")
        self.role, self.secret = role, secret
        self.hello = HELLO.pack(MAGIC, VERSION, nonce or os.urandom(NONCE_BYTES), role) + name.encode()
        self.buffer = bytearray()
        self.peer, self.peer_role = "", role
        self.peer_hello = b""
        self.ready = False

    def greeting(self) -> bytes:
        """The first frame to send."""
        return frame(Kind.HELLO, self.hello)

    def receive(self, data: bytes) -> Iterator[tuple[Kind, bytes]]:
        """Yields complete frames; raises `WireError`. Pass handshake frames to `handshake` meanwhile."""
        self.buffer += data
        while len(self.buffer) >= FRAME.size:
            length, number = FRAME.unpack_from(self.buffer)
            limit = MAX_FRAME_BYTES if self.ready else MAX_HELLO_BYTES
            if not 1 <= length <= limit:
                raise WireError(f"a frame of {length} bytes, more than {limit}")
            if len(self.buffer) < FRAME.size - 1 + length:
                return
            payload = bytes(self.buffer[FRAME.size : FRAME.size - 1 + length])
            del self.buffer[: FRAME.size - 1 + length]
            try:
                kind = Kind(number)
            except ValueError:
                raise WireError(f"a frame of unknown type {number}") from None
            if kind is Kind.REFUSAL:
                raise WireError(f"the other side refused: {payload.decode('utf-8', 'replace')[:200]}")
            yield kind, payload

    def handshake(self, kind: Kind, payload: bytes) -> bytes:
        """Processes a handshake frame and returns the bytes to answer."""
        if kind is Kind.HELLO and not self.peer_hello:
            self.read_hello(payload)
            return frame(Kind.PROOF, self.proof(self.peer_hello, self.hello))
        if kind is Kind.PROOF and self.peer_hello:
            if not hmac.compare_digest(payload, self.proof(self.hello, self.peer_hello)):
                raise WireError(
                    "the shared secrets differ: give [planning] secret_file the same content everywhere"
                )
            self.ready = True
            return b""
        raise WireError(f"a frame {kind.name} before the handshake is over")

    def read_hello(self, payload: bytes) -> None:
        if len(payload) <= HELLO.size:
            raise WireError("a hello that is too short")
        magic, version, _, role = HELLO.unpack_from(payload)
        if magic != MAGIC:
            raise WireError("not a forwarder or planner: the magic is wrong")
        if version != VERSION:
            raise WireError(
                f"version {version} of the wire, and this build speaks {VERSION}: upgrade the older side"
            )
        try:
            self.peer_role, self.peer = Role(role), payload[HELLO.size :].decode()
        except ValueError:
            raise WireError("a hello with an unknown role or an unreadable name") from None
        if self.peer_role is self.role:
            # Also prevents reflection: a peer that sends a side's own hello and proof back to it.
            raise WireError(f"a {self.role.name.lower()} does not talk to another: check the addresses")
        self.peer_hello = payload

    def proof(self, theirs: bytes, ours: bytes) -> bytes:
        """Covers both hellos in order, so that one side's proof is not valid as the other's."""
        return hmac.digest(self.secret, theirs + b"\0" + ours, "sha256")
