"""`python -m rushhitch members ADDRESS`: shows the members as seen by a running dispatcher."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from collections.abc import Callable
from typing import Any

from rushhitch.config.deployment import DeploymentError, MembershipSettings, address_of, read_deployment
from rushhitch.membership.server import call
from rushhitch.membership.wire import Role, WireError

FETCH_TIMEOUT_S = 3.0
WATCH_INTERVAL_S = 1.0


async def fetch(address: tuple[str, int], secret: bytes, role: Role = Role.SHOW) -> dict[str, Any]:
    """The report of the dispatcher at `address`. Raises `OSError`, `TimeoutError` or `WireError`."""
    async with asyncio.timeout(FETCH_TIMEOUT_S):
        process = int.from_bytes(os.urandom(8), "big")
        return json.loads(await call(address, role, process, secret, b""))


def table(report: dict[str, Any]) -> str:
    """Format a report as text: members, time in their state, and those only reachable through others."""
    rows = [("member", "state", "for s", "building", "incarnation", "address", "way")]
    for row in report["members"]:
        way = "itself" if row["name"] == report["name"] else "by others only" if row["one_way"] else ""
        since, incarnation = f"{row['for_s']:.0f}", str(row["incarnation"])
        rows.append((row["name"], row["state"], since, row["building"], incarnation, row["address"], way))
    flags = [what for what in ("alone", "displaced") if report[what]]
    flags += [] if report["leased"] else ["out of touch with half of them"]
    head = (
        f"{report['name']}: {report['least']} to {report['most']} may be acting; "
        f"doubt of itself {report['doubt']} of 8; "
        f"{report['sent_per_s']:.1f} datagrams and {report['sent_bytes_per_s']:.0f} bytes a second sent, "
        f"{report['received_per_s']:.1f} and {report['received_bytes_per_s']:.0f} received"
    )
    return "\n".join([head, *(f"  {flag}" for flag in flags), *columns(rows)])


def columns(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    ]


def main(
    word: str,
    as_json: bool,
    watch: bool,
    command: str = "members",
    role: Role = Role.SHOW,
    shown: Callable[[dict[str, Any]], str] = table,
) -> int:
    """Print the report that a stream of `role` returns. Exit code: 0, or 2 without a report."""
    try:
        own = read_deployment(os.environ).membership
        if own is None:
            needs = "[membership] in deploy/rushhitch.toml: its secret_file is the way in"
            raise DeploymentError(f"{command} needs {needs}")
        if (address := address_of(word)) is None:
            raise DeploymentError(
                f"{command} {word}: write host:port, the [membership] listen of a dispatcher"
            )
        while True:
            report = ask(own, address, role)
            print(json.dumps(report) if as_json else shown(report), flush=True)
            if not watch:
                return 0
            time.sleep(WATCH_INTERVAL_S)
    except DeploymentError as error:
        print(f"rushhitch: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 0


def ask(own: MembershipSettings, address: tuple[str, int], role: Role) -> dict[str, Any]:
    try:
        return asyncio.run(fetch(address, own.secret, role))
    except (OSError, TimeoutError, WireError) as error:
        raise DeploymentError(f"no answer from {address[0]}:{address[1]}: {error!r}") from None
