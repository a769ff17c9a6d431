"""Messages between members. Each carries its sender's row; `news` are piggybacked rows.

Sequence numbers have a meaning for their sender only, and no times go over the wire: an answer is dated by
when its request was sent, by the requester's clock. So a delayed datagram is never taken for fresh.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from rushhitch.membership.view import State

MAX_NAME_CHARS = 64
MAX_WITNESSES = 8  # per suspicion
MAX_COUNTER = 1 << 62  # exclusive, of incarnations and process numbers


class Row(NamedTuple):
    """A member as held by the sender. `process` is a random number drawn at process start; `by` names the
    witnesses that could not reach it, while it is suspect."""

    name: str
    host: str
    port: int
    building: str
    incarnation: int
    process: int
    state: int
    by: tuple[str, ...] = ()

    def is_valid(self) -> bool:
        """Whether all fields are within their limits."""
        return (
            0 < len(self.name) <= MAX_NAME_CHARS
            and len(self.host) <= MAX_NAME_CHARS
            and 0 < self.port < 65_536
            and len(self.building) <= MAX_NAME_CHARS
            and 0 <= self.incarnation < MAX_COUNTER
            and 0 <= self.process < MAX_COUNTER
            and self.state in State._value2member_map_
            and len(self.by) <= MAX_WITNESSES
            and all(len(name) <= MAX_NAME_CHARS for name in self.by)
        )


class Vouch(NamedTuple):
    """Statement by `by` that it had an answer from a member while that incarnation was suspected."""

    name: str
    incarnation: int
    by: str
    number: int  # counts the voucher's vouches, so that each is applied once


@dataclass(frozen=True, slots=True)
class BaseMessage:
    """Common fields: sender's row, sequence number, digest of the sender's table, piggybacked updates."""

    me: Row
    seq: int
    digest: int
    news: tuple[Row, ...] = ()
    vouches: tuple[Vouch, ...] = ()


@dataclass(frozen=True, slots=True)
class Ping(BaseMessage):
    """Requests an `Ack`."""


@dataclass(frozen=True, slots=True)
class Ack(BaseMessage):
    """Answers a ping; `seq` is the ping's."""


@dataclass(frozen=True, slots=True)
class Ask(BaseMessage):
    """Requests an indirect probe: the receiver pings `target` and answers with `Relayed`."""

    target: Row = field(kw_only=True)


@dataclass(frozen=True, slots=True)
class Relayed(BaseMessage):
    """Result of an indirect probe: whether the target answered in time; `seq` is the `Ask`'s."""

    answered: bool = field(kw_only=True)


Message = Ping | Ack | Ask | Relayed


@dataclass(frozen=True, slots=True)
class Send:
    """Send the message as one datagram."""

    to: tuple[str, int]
    message: Message
    process: int = 0  # number of the receiver's process; 0 if unknown


@dataclass(frozen=True, slots=True)
class Exchange:
    """Exchange all rows with the member at that address over a stream (anti-entropy)."""

    to: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Warn:
    """Log a warning for operators."""

    text: str


Output = Send | Exchange | Warn
