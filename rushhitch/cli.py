"""The subcommands of `python -m rushhitch`; with no words it is the dispatcher."""

from __future__ import annotations

import argparse
import os
import sys
import time
from collections.abc import Coroutine, Sequence
from pathlib import Path
from typing import Any

from rushhitch.journal import Journal, JournalError
from rushhitch.journal.inspect import damage, table

ANY_DISK = float("inf")  # a command reads what is there, whatever its limit


def main(words: Sequence[str]) -> int:
    """0 where all is well, 1 where a check failed, 2 where the command could not be carried out."""
    parser = argparse.ArgumentParser(prog="python -m rushhitch", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    journal = commands.add_parser("journal", help="look into a journal, check it, or shorten it")
    journal.add_argument("action", choices=("inspect", "verify", "compact"))
    journal.add_argument("folder", type=Path, help="the folder that lasts, $ROUTER_STATE of its dispatcher")
    journal.add_argument("--disk-mb", type=float, help="with compact: the limit of the folder, in megabytes")
    commands.add_parser("forward", help="the dispatcher, guided by the planners of deploy/rushhitch.toml")
    plan = commands.add_parser("plan", help="a planner")
    plan.add_argument("name", help="which of the [planning] planners it is")
    plan.add_argument("--show", action="store_true", help="print the view of the one that runs, and end")
    members = commands.add_parser("members", help="who is there, as a running dispatcher holds it")
    members.add_argument("address", help="host:port of its [membership] listen")
    members.add_argument("--json", action="store_true", help="all that it tells, as one JSON object")
    members.add_argument("--watch", action="store_true", help="again every second, until interrupted")
    shared = commands.add_parser("shared", help="budgets that a running dispatcher shares, and their holders")
    shared.add_argument("address", help="host:port of its [membership] listen")
    shared.add_argument("--json", action="store_true", help="all that it tells, as one JSON object")
    told = parser.parse_args(words)
    if told.command == "forward":
        return forward()
    if told.command == "plan":
        return planner(told)
    if told.command == "members":
        from rushhitch.membership import show

        return show.main(told.address, told.json, told.watch)
    if told.command == "shared":
        from rushhitch.sharing import show as sharing

        return sharing.main(told.address, told.json)
    return journal_command(told)


def forward() -> int:
    from rushhitch.config.platform import ConfigurationError, read_configuration
    from rushhitch.process import run
    from rushhitch.service import serve

    def work() -> Coroutine[Any, Any, None]:
        configuration = read_configuration(os.environ)
        if not configuration.deployment.planners:
            raise ConfigurationError(
                "forward needs [planning] planners in deploy/rushhitch.toml: name them there"
            )
        return serve(configuration, forward=True)

    return run(work)


def planner(told: argparse.Namespace) -> int:
    from rushhitch.config.deployment import DeploymentError, read_deployment
    from rushhitch.planning import server, show
    from rushhitch.process import run

    def work() -> Coroutine[Any, Any, None]:
        deployment = read_deployment(os.environ)
        if told.name not in deployment.planners:
            known = ", ".join(deployment.planners) or "there are none"
            raise DeploymentError(f"[planning] planners has no {told.name!r}: {known}")
        if told.show:
            return show.show(deployment, told.name)
        return server.serve(deployment, told.name)

    return run(work)


def journal_command(told: argparse.Namespace) -> int:
    if not told.folder.is_dir():
        print(f"rushhitch journal: {told.folder} is not a folder: name $ROUTER_STATE", file=sys.stderr)
        return 2
    try:
        return {"inspect": inspect, "verify": verify, "compact": compact}[told.action](told)
    except (JournalError, OSError) as error:
        print(f"rushhitch journal: {error}", file=sys.stderr)
        return 2


def inspect(told: argparse.Namespace) -> int:
    """Who is live, since when, where tried, what is owed. Reads only; the dispatcher may run."""
    print(table(Journal(told.folder, ANY_DISK, writable=False), time.time()))
    return 0


def verify(told: argparse.Namespace) -> int:
    """Reads only; 1 on damage."""
    journal = Journal(told.folder, ANY_DISK, writable=False)
    report = journal.report
    print(f"{report.records} records, {len(journal.segments)} segments, {len(journal.live)} live messages")
    if report.torn:
        print(
            f"{report.torn} bytes of torn ends: a process was killed while it wrote; nothing is lost by that"
        )
    for line in damage(report):
        print(line)
    print("sound" if report.clean else "DAMAGED")
    return 0 if report.clean else 1


def compact(told: argparse.Namespace) -> int:
    """Only with the dispatcher down: the folder's lock tells."""
    limit = told.disk_mb * 1e6 if told.disk_mb else ANY_DISK
    journal = Journal(told.folder, limit)
    before = journal.used
    journal.compact()
    print(f"{before} bytes before, {journal.used} now, {len(journal.live)} live messages")
    journal.close()
    return 0
