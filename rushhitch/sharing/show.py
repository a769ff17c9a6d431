"""`python -m rushhitch shared ADDRESS`: the budgets of a running dispatcher, and who holds what of them."""

from __future__ import annotations

from typing import Any

from rushhitch.membership import show
from rushhitch.membership.wire import Role


def main(word: str, as_json: bool) -> int:
    """0 where it was told, 2 where it could not be had."""
    return show.main(word, as_json, False, "shared", Role.SHARED, table)


def table(told: dict[str, Any]) -> str:
    """A line a budget, then whom it was lent to and borrowed of."""
    if not told:
        return "no budgets are shared here: [sharing] is not set"
    rows = [("budget", "size", "need", "floor", "part", "usable", "lent", "borrowed")]
    for name, budget in told["budgets"].items():
        figures = [f"{budget[key]:.2f}" for key in ("size", "need", "floor", "part", "usable")]
        loans = [
            ", ".join(f"{w} {one['units']:.2f} for {one['for_s']:.1f} s" for w, one in budget[key].items())
            for key in ("lent", "borrowed")
        ]
        rows.append((name, *figures, *loans))
    return "\n".join([f"{told['name']}: {told['messages']} messages sent", *show.columns(rows)])
