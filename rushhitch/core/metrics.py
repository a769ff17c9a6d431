"""The counters reported to operators (INFO), kept in one place. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

COLUMNS = {"delivered": "success", "refused": "busy", "failed": "failure"}  # by the end of a message


class Metrics:
    """Counters start at 0 in each process. Each end is counted once, by the process that gives it, under the
    name of its class, even if the class was removed from the settings since."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self.ends = {column: Counter(dict.fromkeys(classes, 0)) for column in COLUMNS.values()}
        self.reconfig_ok = self.reconfig_failed = 0

    def named(self, classes: Iterable[str]) -> None:
        """Add counters for classes that are new in the settings."""
        for counter in self.ends.values():
            for cls in classes:
                counter.setdefault(cls, 0)

    def ended(self, cls: str, what: str) -> None:
        self.ends[COLUMNS[what]][cls] += 1

    def report(self, backend_calls: int, inflight: int, listed: int, down: int) -> dict[str, Any]:
        """All counters, and the given gauges that other components hold."""
        counts: dict[str, Any] = {column: dict(counter) for column, counter in self.ends.items()}
        return counts | {
            "backend_calls": backend_calls,
            "inflight": inflight,
            "hosts_listed": listed,
            "hosts_down": down,
            "reconfig_ok": self.reconfig_ok,
            "reconfig_failed": self.reconfig_failed,
        }
