"""The files of a journal, as their owner keeps account of them."""

from __future__ import annotations

from dataclasses import dataclass, field

PREFIX, SUFFIX = "segment-", ".log"


@dataclass(slots=True, eq=False)
class Segment:
    """One file of the journal."""

    number: int
    base: int
    size: int = 0
    fd: int = -1
    sealed: bool = True  # nothing more is written to it
    live: dict[int, None] = field(default_factory=dict)  # whose newest `MESSAGE` record stands here
    cold: set[str] = field(default_factory=set)  # likewise of endpoints
    damaged: bool = False
    durable_bytes: int = 0  # bytes that outlast the machine's power
    name_durable: bool = False  # its name does so too

    @property
    def name(self) -> str:
        return f"{PREFIX}{self.number:012d}{SUFFIX}"


def forget_cold(endpoint: str, cold: dict[str, float], homes: dict[str, Segment]) -> None:
    """Forget that the endpoint is cold, and where that is recorded."""
    cold.pop(endpoint, None)
    if (home := homes.pop(endpoint, None)) is not None:
        home.cold.discard(endpoint)
