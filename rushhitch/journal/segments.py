"""In-memory state of a journal's segment files."""

from __future__ import annotations

from dataclasses import dataclass, field

PREFIX, SUFFIX = "segment-", ".log"


@dataclass(slots=True, eq=False)
class Segment:
    """One segment file; `base` is the sequence number of its first record."""

    number: int
    base: int
    size: int = 0
    fd: int = -1
    sealed: bool = True  # no further writes
    live: dict[int, None] = field(
        default_factory=dict
    )  # numbers of messages whose newest full record is here
    cold: set[str] = field(default_factory=set)  # endpoints whose `COLD` record is here
    damaged: bool = False
    durable_bytes: int = 0  # bytes that survive a power failure
    name_durable: bool = False  # so does its directory entry

    @property
    def name(self) -> str:
        return f"{PREFIX}{self.number:012d}{SUFFIX}"


def forget_cold(endpoint: str, cold: dict[str, float], segments: dict[str, Segment]) -> None:
    """Remove the endpoint from the cold ones and from the segment that records it."""
    cold.pop(endpoint, None)
    if (segment := segments.pop(endpoint, None)) is not None:
        segment.cold.discard(endpoint)
