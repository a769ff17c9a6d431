"""Persists the incarnation in the state folder, so that a restarted process begins above it.

Correctness does not depend on the file: other members report the incarnation they remember. The file covers
a process whose wall clock went back and that hears no member at first.
"""

from __future__ import annotations

import json
import logging
import os
from pathlib import Path

from rushhitch.membership.messages import MAX_COUNTER

log = logging.getLogger(__name__)

FILE = "member.json"
WRITE_INTERVAL_S = 5.0  # minimum; each refuted suspicion raises the incarnation


class IncarnationFile:
    """Incarnation file of the member `name` in `folder`."""

    def __init__(self, folder: Path, name: str) -> None:
        self.path, self.name = folder / FILE, name
        self.written, self.written_at = 0, float("-inf")

    def read(self) -> int:
        """The stored incarnation; 0 if the file is missing, unreadable or of another name."""
        try:
            stored = json.loads(self.path.read_bytes())
            incarnation = stored["incarnation"] if stored["name"] == self.name else 0
        except FileNotFoundError:
            return 0
        except (OSError, ValueError, TypeError, KeyError) as error:
            log.warning("cannot read %s, which is not needed: %r", self.path, error)
            return 0
        return incarnation if type(incarnation) is int and 0 <= incarnation < MAX_COUNTER else 0

    def store(self, now: float, incarnation: int) -> None:
        """Write a changed incarnation, rate-limited. Errors are only logged: a full disk does no harm."""
        if incarnation == self.written or now - self.written_at < WRITE_INTERVAL_S:
            return
        self.written_at = now
        temporary = self.path.with_suffix(".new")
        try:
            temporary.write_text(json.dumps({"name": self.name, "incarnation": incarnation}))
            os.replace(temporary, self.path)
        except OSError as error:
            log.warning("cannot store the incarnation: %s", error)
            return
        self.written = incarnation
