"""`python -m rushhitch shared ADDRESS`: shows the budgets of a running dispatcher and its loans."""

from __future__ import annotations

from typing import Any

from rushhitch.membership import show
from rushhitch.membership.wire import Role


def main(address: str, as_json: bool) -> int:
    """Returns the exit status: 0, or 2 if the dispatcher did not answer or the command cannot run."""
    return show.main(address, as_json, False, "shared", Role.SHARED, table)


def table(report: dict[str, Any]) -> str:
    """One line per budget, with the members it was lent to and borrowed from."""
    if not report:
        return "no budgets are shared here: [sharing] is not set"
    rows = [("budget", "size", "need", "floor", "part", "usable", "lent", "borrowed")]
    for name, budget in report["budgets"].items():
        amounts = [f"{budget[key]:.2f}" for key in ("size", "need", "floor", "part", "usable")]
        loans = [
            ", ".join(
                f"{member} {loan['units']:.2f} for {loan['for_s']:.1f} s"
                for member, loan in budget[key].items()
            )
            for key in ("lent", "borrowed")
        ]
        rows.append((name, *amounts, *loans))
    return "\n".join([f"{report['name']}: {report['messages']} messages sent", *show.columns(rows)])
