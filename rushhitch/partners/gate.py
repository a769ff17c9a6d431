"""The seam between the core and what keeps endpoints shut that are listed."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class Gate(Protocol):
    """Says which endpoints of the destinations that it covers may be called. The core tells it of each that
    is listed, again at each change, and goes by `open` from then on; a gate that changes its mind calls
    `Covered.reapply_gate`. What it keeps shut is to the decision module as one that drains: no new calls."""

    def covers(self, destination: int) -> bool:
        """Whether it has a say there; the same answer always."""

    def place(self, endpoint: str) -> None:
        """The endpoint is listed there."""

    def remove(self, endpoint: str) -> None:
        """It no longer is."""

    def open(self, endpoint: str) -> bool:
        """Whether it may be called."""

    def withdrawn(self, endpoint: str) -> None:
        """It has answered a call with word that it wants nothing any more."""


class Covered(Protocol):
    """What the core keeps of the endpoints that a gate covers."""

    def reapply_gate(self, endpoint: str) -> None:
        """The gate has changed its mind on the endpoint."""

    def gated_lanes(self) -> Mapping[str, int | str]:
        """Their lanes, by endpoint."""
