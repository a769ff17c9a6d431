"""The interface between the core and a gate, which can withhold calls from listed endpoints."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class Gate(Protocol):
    """Decides which endpoints of the destinations that it covers may be called. The core calls `place` for
    each endpoint when it is listed and whenever its entry changes, and then checks `open`; when the answer of
    `open` changes, the gate must call `Covered.reapply_gate`. The decision module treats a closed endpoint as
    draining: no new calls."""

    def covers(self, destination: int) -> bool:
        """Whether the gate applies to the destination. The answer must never change."""

    def place(self, endpoint: str) -> None:
        """The endpoint is listed at a covered destination."""

    def remove(self, endpoint: str) -> None:
        """The endpoint is no longer listed."""

    def open(self, endpoint: str) -> bool:
        """Whether the endpoint may be called."""

    def withdrawn(self, endpoint: str) -> None:
        """The endpoint answered a call by refusing further deliveries."""


class Covered(Protocol):
    """The core, as a gate sees it."""

    def reapply_gate(self, endpoint: str) -> None:
        """Check `Gate.open` again for the endpoint."""

    def gated_lanes(self) -> Mapping[str, int | str]:
        """The lane of each covered endpoint."""
