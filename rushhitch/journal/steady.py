"""A clock by which attempts keep their age over a restart, also where the wall clock is set back."""

from __future__ import annotations

import json
import logging
import math

from rushhitch.journal.side import Side
from rushhitch.journal.store import Journal

log = logging.getLogger(__name__)

NAME = "clock"
READING_S = 0.001  # two clocks are read one after the other: a difference so small is none


def ahead_of(journal: Journal, wall_s: float, monotonic_s: float, boot: str) -> float:
    """How far the steady clock is ahead of the monotonic one, which all processes of one boot share. It
    starts at the wall clock, and where an earlier process of this boot had it further on, there: the wall
    clock was set back, and by it that process's attempts would look younger than they are. A small file keeps
    it."""
    side, ahead_s, before_s = Side(journal, NAME), wall_s - monotonic_s, -math.inf
    if (content := side.load()) is not None:
        try:
            told = json.loads(content)
            if boot and told["boot"] == boot:
                before_s = float(told["ahead_s"])
        except (ValueError, KeyError, TypeError) as error:
            log.error("%s makes no sense, ages go by the wall clock: %r", NAME, error)
    if before_s - ahead_s > READING_S:
        log.warning("the wall clock was set back by %.3f s: attempts keep their age", before_s - ahead_s)
    if before_s + READING_S >= ahead_s:
        return before_s
    try:
        side.store(json.dumps({"boot": boot, "ahead_s": ahead_s}).encode())
    except OSError as error:
        log.error("%s is not kept, ages over a restart go by the wall clock: %s", NAME, error)
    return ahead_s
