"""The payloads of what members share, in membership's datagrams: `[what, number, units by budget]`, in
msgpack. Further fields of a later build are left out."""

from __future__ import annotations

import msgspec

from rushhitch.sharing.messages import LoanGrant, LoanRequest

KINDS: tuple[type, ...] = (LoanRequest, LoanGrant)


class _Message(msgspec.Struct, array_like=True):
    what: int  # the message's place in `KINDS`
    number: int
    units: dict[str, float]


_encode = msgspec.msgpack.Encoder().encode
_read = msgspec.msgpack.Decoder(_Message).decode


def encode(message: LoanRequest | LoanGrant) -> bytes:
    return _encode([KINDS.index(type(message)), message.number, message.units])


def decode(data: bytes) -> LoanRequest | LoanGrant:
    """Raises a `ValueError` where it is none."""
    try:
        told = _read(data)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None
    if not 0 <= told.what < len(KINDS):
        raise ValueError(f"a message of unknown kind {told.what}")
    return KINDS[told.what](told.number, told.units)
