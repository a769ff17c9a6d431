"""Fetches a running planner's view and prints it as a table."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from rushhitch.config.deployment import DeploymentError, DeploymentSettings
from rushhitch.planning.wire import Kind, Link, Role, WireError, frame

TIMEOUT_S = 3.0


async def fetch(address: tuple[str, int], secret: bytes) -> dict[str, Any]:
    """Returns the view; raises `WireError`, `OSError` or `TimeoutError`."""
    link = Link(Role.SHOW, "show", secret)
    async with asyncio.timeout(TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(link.greeting())
            while data := await reader.read(65_536):
                for kind, payload in link.receive(data):
                    if kind is Kind.VIEW:
                        return json.loads(payload)
                    writer.write(link.handshake(kind, payload))
                    if link.ready:
                        writer.write(frame(Kind.SHOW))
            raise WireError("the planner closed the connection")
        finally:
            writer.close()


def table(view: dict[str, Any]) -> str:
    """Formats the view with one line per lane."""
    rows = [
        ("lane", "state", "limit/s", "kind", "term", "cold", "wait ms", "promised", "shares by forwarder")
    ]
    for lane in view["lanes"]:
        shares = [
            f"{s['forwarder']} {s['holding']:.2f} ({s['age_ms'] / 1000.0:.1f}s)" for s in lane["shares"]
        ]
        promised = sum(share["promised"] for share in lane["shares"])
        state = lane["state"] if lane["state"] != "another's" else f"of {lane['owner']}"
        limit = "-" if lane["limit"] is None else f"{lane['limit']:.2f}"
        cold = "cold" if lane["cold"] else ""
        kind, term = lane["kind"] or "?", str(lane["term"])
        rest = (f"{lane['wait_ms']:.0f}", f"{promised:.2f}", ", ".join(shares))
        rows.append((lane["lane"], state, limit, kind, term, cold, *rest))
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    ]
    head = f"planner {view['planner']}; up: {', '.join(view['up'])}; {len(view['forwarders'])} forwarders"
    if "members" in view:
        held = ", ".join(f"{row['name']} {row['state']}" for row in view["members"])
        head = f"{head}\nmembers: {held}"
    return "\n".join([head, *lines])


async def show(deployment: DeploymentSettings, name: str) -> None:
    try:
        print(table(await fetch(deployment.planners[name], deployment.secret)))
    except (OSError, TimeoutError, WireError) as error:
        raise DeploymentError(
            f"planner {name} at {deployment.planners[name][0]}:{deployment.planners[name][1]}: {error!r}"
        ) from None
