"""`python -m lab.ill`: the dispatcher as it is, with something wrong inside the process.

The file that `RUSHHITCH_LAB_ILL` names holds a JSON object, read anew all the time:

    wall_s     at the start only: the wall clock is so many seconds off
    jump_s     the loop's clock goes forward by so many seconds, each time that the figure grows
    lag_s      each turn of the loop takes so long
    enobufs    each send of a datagram to another member fails
    needs      by budget its size and what this process would use of it; what it may use is written, with
               the machine's monotonic clock, to the file beside that ends in .used
    later      at the start only: messages and rows have fields that this build does not know
"""

from __future__ import annotations

import errno
import json
import os
import socket
import sys
import time
from pathlib import Path
from typing import Any

from rushhitch.__main__ import main
from rushhitch.membership import server, wire
from rushhitch.membership.messages import Ask, Message, Relayed, Row
from rushhitch.sharing import server as sharing
from rushhitch.sharing.messages import Send

LOOK_S = 0.05
NOTE_S = 0.04
LATER = {"of a later build": 1}


def told() -> dict[str, Any]:
    path = Path(os.environ["RUSHHITCH_LAB_ILL"])
    return json.loads(path.read_bytes()) if path.exists() else {}


class Failing(socket.socket):
    """Sends nothing while the buffers are told to be full."""

    full = False

    def sendto(self, *words: Any) -> int:
        if self.full:
            raise OSError(errno.ENOBUFS, os.strerror(errno.ENOBUFS))
        return super().sendto(*words)


class Ill(server.Server):
    """A member with the faults that the file tells."""

    def start(self) -> None:
        super().start()
        assert self.sock is not None, "it has just been opened"
        self.sock: Failing = Failing(fileno=self.sock.detach())  # type: ignore[assignment]
        self.jumped = 0.0
        self.loop.time = lambda: time.monotonic() + self.jumped  # type: ignore[method-assign]
        self.look()

    def look(self) -> None:
        if self.sock is None:
            return
        ill = told()
        self.jumped = max(self.jumped, float(ill.get("jump_s", 0.0)))
        self.sock.full = bool(ill.get("enobufs"))
        if lag := float(ill.get("lag_s", 0.0)):
            time.sleep(lag)
        self.loop.call_later(LOOK_S, self.look)


class Needy(sharing.Sharing):
    """Its needs are told by the file, and what it may use is recorded."""

    def start(self) -> None:
        self.record = Path(os.environ["RUSHHITCH_LAB_ILL"]).with_suffix(".used").open("a")
        super().start()
        self.note()

    def note(self) -> None:
        self.loop.call_later(NOTE_S, self.note)
        for name, (size, need) in told().get("needs", {}).items():
            self.part(name, size)
            self.budgets.set_need(name, need)
        self.write()

    def write(self) -> None:
        for name, budget in self.budgets.budgets.items():
            usable = self.budgets.usable(name, sharing.clock())
            self.record.write(f"{time.monotonic():.6f} {name} {usable:.6f} {min(usable, budget.need):.6f}\n")
        self.record.flush()

    def send(self, messages: list[Send]) -> None:
        self.write()  # what is lent is not usable here from before the other hears of it
        super().send(messages)


def later_row(row: Row) -> list[Any]:
    return [*row, LATER]


def later_message(message: Message) -> bytes:
    target = later_row(message.target) if isinstance(message, Ask) else None
    answered = isinstance(message, Relayed) and message.answered
    kind = wire.KINDS.index(type(message))
    news = [later_row(row) for row in message.news]
    head = [kind, later_row(message.me), message.seq, message.digest]
    return wire._encode([*head, news, message.vouches, target, answered, LATER])


def later_rows(rows: list[Row]) -> bytes:
    return wire._encode([later_row(row) for row in rows])


if __name__ == "__main__":
    at_start = told()
    if off_s := at_start.get("wall_s"):
        true_time = time.time
        time.time = lambda: true_time() + off_s
    if at_start.get("later"):
        wire.encode, server.encode_rows = later_message, later_rows
    server.Server, sharing.Sharing = Ill, Needy  # type: ignore[misc]
    sys.exit(main())
