"""How each benchmark ends: a table for people, a JSON object for machines, and 1 where an aim is missed."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass


@dataclass(slots=True)
class Figure:
    """One measured figure; `aim` says what it must be: at most (`<=`) or at least (`>=`) a bound."""

    name: str
    value: float
    unit: str
    sign: str = ""
    bound: float = 0.0
    beside: str = ""  # the baseline or a note

    @property
    def met(self) -> bool:
        return not self.sign or (self.value <= self.bound if self.sign == "<=" else self.value >= self.bound)


def finish(title: str, figures: list[Figure]) -> int:
    """Print the table and, as the last line, the JSON object; the exit code."""
    rows = [("figure", "value", "aim", "", "beside it")]
    for figure in figures:
        aim = f"{figure.sign} {figure.bound:g} {figure.unit}" if figure.sign else ""
        verdict = "" if not figure.sign else "met" if figure.met else "MISSED"
        rows.append((figure.name, f"{figure.value:.4g} {figure.unit}".strip(), aim, verdict, figure.beside))
    widths = [max(len(row[column]) for row in rows) for column in range(5)]
    print(title)
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())
    print(json.dumps({figure.name: round(figure.value, 6) for figure in figures}))
    return 0 if all(figure.met for figure in figures) else 1


def main_of(run) -> None:
    sys.exit(run("--quick" in sys.argv[1:]))
