"""Which endpoints operators have taken out, over restarts: a small file, written before they hear yes."""

from __future__ import annotations

import json
import logging

from rushhitch.journal import Journal
from rushhitch.journal.sidecar import SidecarFile

log = logging.getLogger(__name__)

DETACHED_FILE = "detached"


class DetachedEndpoints:
    """The set by endpoint id. `add` and `remove` raise `OSError` where the disk does not take it, and then
    nothing changed."""

    def __init__(self, journal: Journal) -> None:
        self.side = SidecarFile(journal, DETACHED_FILE)
        self.ids: set[str] = set()
        content = self.side.load()
        if content is not None:
            try:
                told = json.loads(content)
                self.ids = {str(name) for name in told["ids"]}
            except (ValueError, KeyError, TypeError) as error:
                log.error(
                    "%s makes no sense, and which endpoints are detached is unknown: %r", DETACHED_FILE, error
                )

    def add(self, endpoint: str) -> None:
        self.store(self.ids | {endpoint})

    def remove(self, endpoint: str) -> None:
        self.store(self.ids - {endpoint})

    def store(self, ids: set[str]) -> None:
        if ids != self.ids:
            self.side.store(json.dumps({"ids": sorted(ids)}).encode())
            self.ids = ids
