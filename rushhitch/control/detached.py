"""Endpoints that operators have detached, kept across restarts in a file that is written before the ACK."""

from __future__ import annotations

import json
import logging

from rushhitch.journal import Journal
from rushhitch.journal.sidecar import SidecarFile

log = logging.getLogger(__name__)

DETACHED_FILE = "detached"


class DetachedEndpoints:
    """A set of endpoint ids. `add` and `remove` raise `OSError` if the write fails; the set is then
    unchanged."""

    def __init__(self, journal: Journal) -> None:
        self.side = SidecarFile(journal, DETACHED_FILE)
        self.ids: set[str] = set()
        content = self.side.load()
        if content is not None:
            try:
                stored = json.loads(content)
                self.ids = {str(name) for name in stored["ids"]}
            except (ValueError, KeyError, TypeError) as error:
                log.error(
                    "file %s is malformed, the detached endpoints are unknown: %r", DETACHED_FILE, error
                )

    def add(self, endpoint: str) -> None:
        self.store(self.ids | {endpoint})

    def remove(self, endpoint: str) -> None:
        self.store(self.ids - {endpoint})

    def store(self, ids: set[str]) -> None:
        if ids != self.ids:
            self.side.store(json.dumps({"ids": sorted(ids)}).encode())
            self.ids = ids
