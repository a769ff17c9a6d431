"""Disk space limits of the journal, all in bytes. No I/O.

The folder holds at most `disk` bytes, each file counted in whole blocks. In increasing order: live messages
take at most `max_live_bytes`; compaction starts above `compaction_start_bytes` and is forced above
`compact_by`; messages are accepted only up to `max_bytes_when_accepting`. The rest is for outcomes, notices
and ends, and for one segment that compaction writes before it can remove an old one.
"""

from __future__ import annotations

LIVE_SHARE = 0.4  # of the disk, for live messages: compaction then frees more than it writes
COMPACT_SHARE = 0.5  # of the disk: above it, compaction runs in steps alongside other work
FORCE_SHARE = 0.75  # of the disk: above it, each write first compacts a whole segment
ACCEPT_SHARE = 0.85  # of the disk: above it, no message is accepted
SEGMENT_SHARE = 1 / 16  # of the disk: space is freed by whole segments
MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES = 4_096, 2_097_152  # a disk block; more takes ms to unlink
RESTART_SEGMENTS = 64  # files allowed for the segments that frequent restarts leave
RESERVE_SHARE = 1 / 32  # of the disk: allocated, and freed when the file system is full
MAX_RESERVE_BYTES = 1_048_576  # room for some 20,000 ends
RECORD_ROOM = 400  # bytes of a message's further records: eight attempts with outcomes, and its end


class Space:
    """The limits that follow from the size of the disk."""

    def __init__(self, disk: float) -> None:
        self.disk = disk
        self.max_live_bytes = LIVE_SHARE * disk
        self.compaction_start_bytes = COMPACT_SHARE * disk
        self.compact_by = FORCE_SHARE * disk
        self.max_bytes_when_accepting = ACCEPT_SHARE * disk
        self.segment = int(min(max(SEGMENT_SHARE * disk, MIN_SEGMENT_BYTES), MAX_SEGMENT_BYTES))
        self.reserve = int(min(RESERVE_SHARE * disk, MAX_RESERVE_BYTES))
        self.segments = RESTART_SEGMENTS + 2.0 * disk / self.segment  # above this number, compaction runs too
