"""What the journal may take of the disk, worked out before it is spent. Bytes throughout; no I/O.

The folder holds at most `disk` bytes, each file counted in whole blocks. From the bottom up: live messages
take at most `max_live_bytes`; compaction starts once the files pass `compaction_start_bytes` and is forced past
`compact_by`; new messages are taken only up to `max_bytes_when_accepting`; what lies above is for outcomes, notices and
ends, and for one segment that compaction writes before it can drop an old one.
"""

from __future__ import annotations

LIVE_SHARE = 0.4  # of the disk, for what is live: compaction then frees more than it writes
COMPACT_SHARE = 0.5  # of the disk: fuller, and old segments are worked off beside live work
FORCE_SHARE = 0.75  # of the disk: fuller, and each write first works off a whole segment
ACCEPT_SHARE = 0.85  # of the disk: fuller, and nothing new is taken on
SEGMENT_SHARE = 1 / 16  # of the disk: the smallest thing that can be given back
MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES = (
    4_096,
    2_097_152,
)  # bytes: a disk's block; to unlink more takes milliseconds
RESTART_SEGMENTS = 64  # files that short lives of the process may leave
RESERVE_SHARE = 1 / 32  # of the disk: real bytes that are given back when the disk itself is full
MAX_RESERVE_BYTES = 1_048_576  # bytes: room for some 20,000 ends
RECORD_ROOM = (
    400  # bytes that a live message's further records take: eight attempts with outcomes, and its end
)


class Space:
    """The limits that follow from the disk's size."""

    def __init__(self, disk: float) -> None:
        self.disk = disk
        self.max_live_bytes = LIVE_SHARE * disk
        self.compaction_start_bytes = COMPACT_SHARE * disk
        self.compact_by = FORCE_SHARE * disk
        self.max_bytes_when_accepting = ACCEPT_SHARE * disk
        self.segment = int(min(max(SEGMENT_SHARE * disk, MIN_SEGMENT_BYTES), MAX_SEGMENT_BYTES))
        self.reserve = int(min(RESERVE_SHARE * disk, MAX_RESERVE_BYTES))
        self.segments = RESTART_SEGMENTS + 2.0 * disk / self.segment  # more small ones are worked off too
