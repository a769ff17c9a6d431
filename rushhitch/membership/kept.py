"""The incarnation in the state folder: a process that starts again begins above it.

None is needed to be right: others tell a process what they remember of its name. With it, also one whose
wall clock went back, and that hears nobody at first, begins above what it had.
"""

from __future__ import annotations

import json
import logging
import os
from pathlib import Path

from rushhitch.membership.messages import MOST_COUNT

log = logging.getLogger(__name__)

FILE = "member.json"
WRITE_S = 5.0  # between two writes: each word that others hold against a member raises its incarnation


class Kept:
    """Of the member of that name, in the folder."""

    def __init__(self, folder: Path, name: str) -> None:
        self.path, self.name = folder / FILE, name
        self.written, self.written_at = 0, float("-inf")

    def read(self) -> int:
        """0 where there is none that can be read, or one of another name."""
        try:
            told = json.loads(self.path.read_bytes())
            found = told["incarnation"] if told["name"] == self.name else 0
        except FileNotFoundError:
            return 0
        except (OSError, ValueError, TypeError, KeyError) as error:
            log.warning("%s is not read, and is not needed: %r", self.path, error)
            return 0
        return found if type(found) is int and 0 <= found < MOST_COUNT else 0

    def keep(self, now: float, incarnation: int) -> None:
        """Write it where it changed, and not too often. No error is raised: a full disk is no harm here."""
        if incarnation == self.written or now - self.written_at < WRITE_S:
            return
        self.written_at = now
        fresh = self.path.with_suffix(".new")
        try:
            fresh.write_text(json.dumps({"name": self.name, "incarnation": incarnation}))
            os.replace(fresh, self.path)
        except OSError as error:
            log.warning("the incarnation is not kept: %s", error)
            return
        self.written = incarnation
