"""The figures that operators are told: the one place that counts them. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

COLUMNS = {"delivered": "success", "refused": "busy", "failed": "failure"}  # by how a message ended


class Metrics:
    """Counts from 0 with each process. An end is counted where it is given, once, by the name of its class,
    also of one that was dropped since."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self.ends = {column: Counter(dict.fromkeys(classes, 0)) for column in COLUMNS.values()}
        self.reconfig_ok = self.reconfig_failed = 0

    def named(self, classes: Iterable[str]) -> None:
        """Classes that are there from now on, with nothing counted yet."""
        for counter in self.ends.values():
            for cls in classes:
                counter.setdefault(cls, 0)

    def ended(self, cls: str, what: str) -> None:
        self.ends[COLUMNS[what]][cls] += 1

    def report(self, backend_calls: int, inflight: int, listed: int, down: int) -> dict[str, Any]:
        """All of them; the arguments are what others know."""
        told: dict[str, Any] = {column: dict(counter) for column, counter in self.ends.items()}
        return told | {
            "backend_calls": backend_calls,
            "inflight": inflight,
            "hosts_listed": listed,
            "hosts_down": down,
            "reconfig_ok": self.reconfig_ok,
            "reconfig_failed": self.reconfig_failed,
        }
