"""Encoding of budget messages, the payloads of membership's datagrams: msgpack of `[kind, number, units by
budget]`. Additional fields of a later version are ignored."""

from __future__ import annotations

import msgspec

from rushhitch.sharing.messages import LoanGrant, LoanRequest

KINDS: tuple[type, ...] = (LoanRequest, LoanGrant)


class _Message(msgspec.Struct, array_like=True):
    kind: int  # index in `KINDS`
    number: int
    units: dict[str, float]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_Message).decode


def encode(message: LoanRequest | LoanGrant) -> bytes:
    return _encode([KINDS.index(type(message)), message.number, message.units])


def decode(data: bytes) -> LoanRequest | LoanGrant:
    """Raises `ValueError` if the data is not a message of a known kind."""
    try:
        message = _decode(data)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None
    if not 0 <= message.kind < len(KINDS):
        raise ValueError(f"unknown kind of budget message: {message.kind}")
    return KINDS[message.kind](message.number, message.units)
