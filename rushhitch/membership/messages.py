"""What members tell each other. Each message has its sender's own row; `news` are rows that go along.

Sequence numbers mean something to their sender alone, and no time goes over the wire: an answer counts by
when its question was sent, on the clock of who asked. So what waited in a socket is never taken for news.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from rushhitch.membership.view import State

MOST_NAME = 64  # characters
MOST_BY = 8  # witnesses told of a suspicion
MOST_COUNT = 1 << 62


class Row(NamedTuple):
    """One member as its teller holds it. `process` is a number that its process drew at its start; `by` are
    those who could not reach it, where it is suspect."""

    name: str
    host: str
    port: int
    building: str
    incarnation: int
    process: int
    state: int
    by: tuple[str, ...] = ()

    def sound(self) -> bool:
        """Whether it is one that a member can have told."""
        return (
            0 < len(self.name) <= MOST_NAME
            and len(self.host) <= MOST_NAME
            and 0 < self.port < 65_536
            and len(self.building) <= MOST_NAME
            and 0 <= self.incarnation < MOST_COUNT
            and 0 <= self.process < MOST_COUNT
            and self.state in State._value2member_map_
            and len(self.by) <= MOST_BY
            and all(len(name) <= MOST_NAME for name in self.by)
        )


class Vouch(NamedTuple):
    """Its teller had an answer of a member that others suspect in that incarnation."""

    name: str
    incarnation: int
    by: str
    number: int  # of the teller's words, so that each counts once


@dataclass(frozen=True, slots=True)
class Said:
    """What each message has: its sender's row, a number, the digest of what its sender holds, and news."""

    me: Row
    seq: int
    digest: int
    news: tuple[Row, ...] = ()
    vouches: tuple[Vouch, ...] = ()


@dataclass(frozen=True, slots=True)
class Ping(Said):
    """Asks for an answer."""


@dataclass(frozen=True, slots=True)
class Ack(Said):
    """Answers a ping; `seq` is the ping's."""


@dataclass(frozen=True, slots=True)
class Ask(Said):
    """Asks another to ping `target`."""

    target: Row = field(kw_only=True)


@dataclass(frozen=True, slots=True)
class Relayed(Said):
    """How that went: it has answered, or not within the time of a ping; `seq` is the question's."""

    answered: bool = field(kw_only=True)


Message = Ping | Ack | Ask | Relayed


@dataclass(frozen=True, slots=True)
class Send:
    """Send the message as one datagram."""

    to: tuple[str, int]
    message: Message
    process: int = 0  # of the receiver, where it is known


@dataclass(frozen=True, slots=True)
class Exchange:
    """Exchange all rows with whoever is there, over a stream."""

    to: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Warn:
    """Tell operators."""

    text: str


Output = Send | Exchange | Warn
