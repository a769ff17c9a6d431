"""Every interleaving of a small fleet to a stated depth: what comes, is lost or repeated; a crash, a restart.

The members are real `Detector`s whose chance always takes the first. From a fleet that has met, each state is
followed by every step that can come next; equal states are met once. In each the properties hold that must
hold at every moment: no incarnation goes back, the digest is that of the rows, and no process that acts is
outside the bounds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from lab.explorer import First
from rushhitch.membership.detector import Detector, Tuning
from rushhitch.membership.messages import Exchange, Row, Send
from rushhitch.membership.table import mark
from rushhitch.membership.view import State

STEP_S = 0.4  # a tick of everybody
MOST_OUT = 3  # messages on their way: when there are more, the oldest are delivered
TUNING = Tuning(
    probe_s=0.4, direct_s=0.3, verdict_s=0.7, suspect_s=0.4, patience=1.0, pause_s=5.0, forget_s=60.0, fleet=3
)


@dataclass
class Small:
    """The fleet, and what is on its way."""

    members: dict[str, Detector | None] = field(default_factory=dict)
    out: list[tuple[int, Any]] = field(default_factory=list)  # the port, and the message
    now: float = 100.0
    crashes: int = 0
    repeats: int = 0
    seen: dict[tuple[str, str], tuple[int, int]] = field(default_factory=dict)  # the newest that one held

    def start(self, name: str, process: int) -> None:
        port = 1 + list(self.members).index(name)
        own = Row(name, "h", port, "", 1000, process, int(State.ALIVE))
        detector = Detector(own, TUNING, First(), self.now)  # type: ignore[arg-type]
        detector.join([("h", n) for n in (1, 2, 3)])
        self.members[name] = detector
        self.seen = {pair: held for pair, held in self.seen.items() if pair[0] != name}

    def at(self, port: int) -> Detector | None:
        return list(self.members.values())[port - 1]

    def act(self, name: str, outputs: list) -> None:
        for output in outputs:
            if isinstance(output, Send):
                self.out.append((output.to[1], output.message))
            elif isinstance(output, Exchange) and (other := self.at(output.to[1])) is not None:
                detector = self.members[name]
                assert detector is not None
                theirs, ours = other.table.all_rows(), detector.table.all_rows()
                self.act(name, detector.merge(self.now, theirs))
                self.act(other.table.name, other.merge(self.now, ours))

    def deliver(self, index: int, keep: bool = False) -> None:
        port, message = self.out[index] if keep else self.out.pop(index)
        detector = self.at(port)
        if detector is not None:
            self.act(detector.table.name, detector.receive(self.now, message))

    def tick(self) -> None:
        self.now += STEP_S
        for name, detector in self.members.items():
            if detector is not None:
                self.act(name, detector.tick(self.now))

    def settle(self) -> None:
        """Deliver all until nothing is on its way."""
        while self.out:
            self.deliver(0)

    def steps(self) -> list[tuple[str, int]]:
        found = [("tick", 0)]
        for index in range(len(self.out)):
            found += [("deliver", index), ("lose", index)]
            if not self.repeats:
                found.append(("repeat", index))
        if not self.crashes:
            found.append(("crash", 0))
        if self.members["c"] is None:
            found.append(("restart", 0))
        return found

    def take(self, what: str, index: int) -> None:
        if what == "tick":
            self.tick()
        elif what == "deliver":
            self.deliver(index)
        elif what == "lose":
            self.out.pop(index)
        elif what == "repeat":
            self.repeats += 1
            self.deliver(index, keep=True)
        elif what == "crash":
            self.crashes += 1
            self.members["c"] = None
        else:
            self.start("c", 99)
        while len(self.out) > MOST_OUT:
            self.deliver(0)

    def broken(self) -> str | None:
        """What does not hold in this state."""
        acting = {n for n, d in self.members.items() if d is not None and d.bounds(self.now).leased}
        for name, detector in self.members.items():
            if detector is None:
                continue
            digest = 0
            for record in detector.table.records.values():
                row, pair = record.row, (name, record.row.name)
                digest ^= mark(row)
                if (row.incarnation, row.process) < self.seen.get(pair, (0, 0)):
                    return f"{name} goes back to an old incarnation of {row.name}"
                self.seen[pair] = (row.incarnation, row.process)
            if digest != detector.table.digest:
                return f"the digest of {name} is not that of its rows"
            told = detector.bounds(self.now)
            if told.most < len(acting | {name}):
                return f"{name} counts at most {told.most}, and {sorted(acting | {name})} act"
        return None

    def tells(self) -> list[str]:
        """How members are held."""
        there = [detector for detector in self.members.values() if detector is not None]
        return [record.state.name for detector in there for record in detector.table.records.values()]


def met(waits_s: float = 12.0) -> Small:
    """A fleet of three that has met, and whose leases hold."""
    small = Small(dict.fromkeys("abc"))
    for number, name in enumerate("abc"):
        small.start(name, 10 + number)
    while small.now < 100.0 + waits_s:
        small.tick()
        small.settle()
    return small
