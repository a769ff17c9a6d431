"""The subcommands of `python -m rushhitch`; without arguments it runs the dispatcher."""

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

ANY_DISK = float("inf")  # commands read a journal of any size


def main(argv: Sequence[str]) -> int:
    """Run a subcommand. Returns the exit code: 0 on success, 1 if a check failed, 2 if it could not be
    run."""
    parser = argparse.ArgumentParser(prog="python -m rushhitch", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    journal = commands.add_parser("journal", help="inspect, verify or compact a journal")
    journal.add_argument("action", choices=("inspect", "verify", "compact"))
    journal.add_argument("folder", type=Path, help="the state folder, $ROUTER_STATE of its dispatcher")
    journal.add_argument("--disk-mb", type=float, help="with compact: size limit of the folder, in megabytes")
    commands.add_parser("forward", help="run a dispatcher guided by the planners of deploy/rushhitch.toml")
    plan = commands.add_parser("plan", help="run a planner")
    plan.add_argument("name", help="its name in [planning] planners")
    plan.add_argument("--show", action="store_true", help="print the view of the running planner and exit")
    members = commands.add_parser("members", help="list the members that a running dispatcher knows")
    members.add_argument("address", help="host:port of its [membership] listen")
    members.add_argument("--json", action="store_true", help="print the full answer as one JSON object")
    members.add_argument("--watch", action="store_true", help="repeat every second until interrupted")
    shared = commands.add_parser(
        "shared", help="list the budgets that a running dispatcher shares, and their holders"
    )
    shared.add_argument("address", help="host:port of its [membership] listen")
    shared.add_argument("--json", action="store_true", help="print the full answer as one JSON object")
    args = parser.parse_args(argv)
    if args.command == "forward":
        return run_forwarder()
    if args.command == "plan":
        return run_planner(args)
    if args.command == "members":
        from rushhitch.membership import show

        return show.main(args.address, args.json, args.watch)
    if args.command == "shared":
        from rushhitch.sharing import show as sharing

        return sharing.main(args.address, args.json)
    return journal_command(args)


def run_forwarder() -> int:
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


def run_planner(args: argparse.Namespace) -> int:
    from rushhitch.config.deployment import DeploymentError, read_deployment
    from rushhitch.planning import server, show
    from rushhitch.process import run

    def work() -> Coroutine[Any, Any, None]:
        deployment = read_deployment(os.environ)
        if args.name not in deployment.planners:
            known = ", ".join(deployment.planners) or "there are none"
            raise DeploymentError(f"[planning] planners has no {args.name!r}: {known}")
        if args.show:
            return show.show(deployment, args.name)
        return server.serve(deployment, args.name)

    return run(work)


def journal_command(args: argparse.Namespace) -> int:
    if not args.folder.is_dir():
        print(f"rushhitch journal: {args.folder} is not a folder: name $ROUTER_STATE", file=sys.stderr)
        return 2
    try:
        return {"inspect": inspect, "verify": verify, "compact": compact}[args.action](args)
    except (JournalError, OSError) as error:
        print(f"rushhitch journal: {error}", file=sys.stderr)
        return 2


def inspect(args: argparse.Namespace) -> int:
    """Print the open messages with their attempts and pending notices. Read-only; the dispatcher may be
    running."""
    print(table(Journal(args.folder, ANY_DISK, writable=False), time.time()))
    return 0


def verify(args: argparse.Namespace) -> int:
    """Check the journal, read-only. Returns 1 if it is damaged."""
    journal = Journal(args.folder, ANY_DISK, writable=False)
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


def compact(args: argparse.Namespace) -> int:
    """Compact the journal. Fails on the folder's lock while the dispatcher runs."""
    limit = args.disk_mb * 1e6 if args.disk_mb else ANY_DISK
    journal = Journal(args.folder, limit)
    before = journal.used
    journal.compact()
    print(f"{before} bytes before, {journal.used} now, {len(journal.live)} live messages")
    journal.close()
    return 0
