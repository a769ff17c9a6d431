"""A clock by which spans go on over a restart, also where the wall clock is stepped."""

from __future__ import annotations

import json
import logging

from rushhitch.journal.sidecar import SidecarFile
from rushhitch.journal.store import Journal

log = logging.getLogger(__name__)

NAME = "clock"
WALL_CLOCK_STEP_S = 1.0  # a difference beyond that is told: a wall clock that is kept right drifts by less


def steady_clock_offset_s(journal: Journal, wall_s: float, monotonic_s: float, boot: str) -> float:
    """How far the steady clock is ahead of the monotonic one, which all processes of one boot share. The
    first of them takes it from the wall clock, a small file keeps it, and the others go on with it: whichever
    way the wall clock is stepped, attempts keep their ages and messages their deadlines. Where the monotonic
    clock reads less than when the file was written, it has begun anew, and so does the steady one."""
    clock_file, ahead_s = SidecarFile(journal, NAME), wall_s - monotonic_s
    if (content := clock_file.load()) is not None:
        try:
            stored = json.loads(content)
            if boot and stored["boot"] == boot and float(stored.get("monotonic_s", 0.0)) <= monotonic_s:
                stored_ahead_s = float(stored["ahead_s"])
                if abs(stored_ahead_s - ahead_s) > WALL_CLOCK_STEP_S:
                    log.warning("the wall clock was stepped by %.3f s: spans keep", ahead_s - stored_ahead_s)
                return stored_ahead_s
        except (ValueError, KeyError, TypeError) as error:
            log.error("%s makes no sense, ages go by the wall clock: %r", NAME, error)
    try:
        offset_record = {"boot": boot, "ahead_s": ahead_s, "monotonic_s": monotonic_s}
        clock_file.store(json.dumps(offset_record).encode())
    except OSError as error:
        log.error("%s is not kept, ages over a restart go by the wall clock: %s", NAME, error)
    return ahead_s
