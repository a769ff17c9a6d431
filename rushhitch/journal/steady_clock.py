"""A clock for durations that span a restart, unaffected by steps of the wall clock."""

from __future__ import annotations

import json
import logging

from rushhitch.journal.sidecar import SidecarFile
from rushhitch.journal.store import Journal

log = logging.getLogger(__name__)

NAME = "clock"
WALL_CLOCK_STEP_S = 1.0  # a larger difference is logged: a synchronized wall clock drifts by less


def steady_clock_offset_s(journal: Journal, wall_s: float, monotonic_s: float, boot: str) -> float:
    """Offset in seconds of the steady clock from the monotonic one, which all processes of one boot share.

    The first process of a boot takes it from the wall clock and stores it in a file for the others. Attempts
    thus keep their ages and messages their deadlines when the wall clock is stepped. If the monotonic clock
    is below its value in the file, it has restarted, and the offset is taken anew."""
    clock_file, ahead_s = SidecarFile(journal, NAME), wall_s - monotonic_s
    if (content := clock_file.load()) is not None:
        try:
            stored = json.loads(content)
            if boot and stored["boot"] == boot and float(stored.get("monotonic_s", 0.0)) <= monotonic_s:
                stored_ahead_s = float(stored["ahead_s"])
                if abs(stored_ahead_s - ahead_s) > WALL_CLOCK_STEP_S:
                    log.warning(
                        "the wall clock was stepped by %.3f s: durations are unaffected",
                        ahead_s - stored_ahead_s,
                    )
                return stored_ahead_s
        except (ValueError, KeyError, TypeError) as error:
            log.error("%s is malformed, ages follow the wall clock: %r", NAME, error)
    try:
        offset_record = {"boot": boot, "ahead_s": ahead_s, "monotonic_s": monotonic_s}
        clock_file.store(json.dumps(offset_record).encode())
    except OSError as error:
        log.error("%s cannot be stored, ages after a restart follow the wall clock: %s", NAME, error)
    return ahead_s
