"""What happened, as those outside the dispatchers saw it: one event a line, with its time.

Times are milliseconds since the run began, by one clock. The events, and their fields:

| event | fields |
| --- | --- |
| `endpoint` | endpoint, dest, lane (what shares a limit and waits), zone, per_s (calls a second it takes) |
| `offer` | id, origin and first (see `lab.clients`), cls, dest, key, left_ms, crc (of the body), dispatcher |
| `answer` | id, answer (`ok`, `busy`, `error`, `none` in time, `closed` or `reset` without one), wait_ms |
| `left` | id, how (`close`, `reset`, `unread`): its client closed with no answer read; then `answer` `left` |
| `call` | call (a number), endpoint, dispatcher, ids, crcs, began_ms (its first byte); `at` is its last |
| `reply` | call, ends (by id, see `NEVER_RAN`), wait_ms |
| `malformed` | endpoint, dispatcher, why: a call that is not as the protocol has it |
| `gone` | call: the dispatcher closed the connection before its reply |
| `refused` | endpoint, dispatcher: a connection was reset before any call |
| `notice` | id, result, wait_ms |
| `told` | dispatcher, endpoint, state: the directory has written it |
| `outage`, `return` | lane: from the first to the second all calls fail; it returns cold |
| `over` | the run has ended |
| `ready`, `stopping`, `ended` | dispatcher: it serves; it was sent SIGTERM, or (`kill`) SIGKILL; it is gone |
| `paused`, `resumed` | dispatcher: it was sent SIGSTOP, SIGCONT |
| `disk_fails`, `disk_works` | dispatcher: from the first to the second its writes fail |
"""

from __future__ import annotations

import json
import math
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

Event = dict[str, Any]

ACCEPTED = "accepted"
EXPIRED, NO_MORE = "expired", "no_more"  # 410 and 504, or so told in a batch
TOLD_OVER = frozenset({EXPIRED, NO_MORE})  # no further call can succeed
NEVER_RAN = TOLD_OVER | {"turned away", "deferred", "not sent", "denied"}
MAY_HAVE_RUN = frozenset({ACCEPTED, "fault", "error", "spoilt", "reset"})


class History:
    """Events in the order in which they were seen."""

    def __init__(self, events: Iterable[Event] = ()) -> None:
        self.events: list[Event] = list(events)
        self.deadlines: dict[str, float] = {}  # by id, when a message that was handed in is out of time
        self.started = time.monotonic()

    def now(self) -> float:
        return (time.monotonic() - self.started) * 1000.0

    def add(self, what: str, **fields: Any) -> Event:
        event = {"at": self.now(), "what": what, **fields}  # `at` may be among the fields
        self.events.append(event)
        if what == "offer":
            self.deadlines[event["id"]] = event["at"] + event["left_ms"]
        return event

    def out_of_time(self, name: str) -> bool:
        """Whether the time of a message that was handed in is up, as its client counts it."""
        return self.now() >= self.deadlines.get(name, math.inf)

    def write(self, path: Path) -> None:
        """One JSON object a line."""
        with path.open("w") as file:
            for event in self.events:
                file.write(json.dumps(event, separators=(",", ":")) + "\n")

    @classmethod
    def read(cls, path: Path) -> History:
        return cls(json.loads(line) for line in path.read_text().splitlines() if line)


def without_guests(events: list[Event]) -> list[Event]:
    """The history without messages that others than the lab's clients handed in, of whom it cannot tell."""
    ours = {event["id"] for event in events if event["what"] == "offer"}
    calls: dict[int, set[str]] = {}
    kept = []
    for event in events:
        if event["what"] == "call":
            places = [place for place, name in enumerate(event["ids"]) if name in ours]
            calls[event["call"]] = {event["ids"][place] for place in places}
            if places:
                told = {key: [event[key][place] for place in places] for key in ("ids", "crcs")}
                kept.append(event | told)
        elif event["what"] in ("reply", "gone"):
            names = calls.get(event["call"], set())
            if names and event["what"] == "reply":
                event = event | {"ends": {name: end for name, end in event["ends"].items() if name in names}}
            if names:
                kept.append(event)
        elif event["what"] != "notice" or event["id"] in ours:
            kept.append(event)
    return kept
