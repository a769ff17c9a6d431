"""`python -m lab`: play a scenario, the demo, or see how fast the lab itself is."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from lab import soak
from lab.demo import DEMO
from lab.history import History
from lab.rules import check
from lab.run import play, seeded, tell
from lab.scenario import BadScenario, Scenario, load_file, parse


def progress(text: str) -> None:
    """A live line on a terminal; nothing elsewhere."""
    if sys.stderr.isatty():
        print(f"\r{text:<100}", end="", file=sys.stderr, flush=True)


def run(scenario: Scenario, again: str, history: Path | None) -> int:
    print(
        f"{scenario.name}: {scenario.seconds:g} s, seed {scenario.seed}, {scenario.dispatchers} dispatcher(s)"
    )
    played = play(scenario, progress)
    if sys.stderr.isatty():
        print(file=sys.stderr)
    if history is not None:
        played.history.write(history)
        print(f"the history is in {history}")
    tell(played)
    if not played.sound:
        print(f"to play it again: {again}")
    return 0 if played.sound else 1


def main(words: list[str] | None = None) -> int:
    """0 where the rules are kept, 1 where not, 2 where the command makes no sense."""
    parser = argparse.ArgumentParser(prog="python -m lab", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    one = commands.add_parser("run", help="play a scenario file")
    one.add_argument("scenario", type=Path)
    demo = commands.add_parser("demo", help="some 20 s: six partners, one outage, one real dispatcher")
    for command in (one, demo):
        command.add_argument("--seconds", type=float, help="under load, in place of the scenario's")
        command.add_argument("--seed", type=int, help="in place of the scenario's")
        command.add_argument("--history", type=Path, help="write what was seen there, a JSON object a line")
    rules = commands.add_parser("check", help="check the rules on a history that was written before")
    rules.add_argument("history", type=Path)
    rules.add_argument(
        "scenario", type=Path, nargs="?", help="the scenario it came from; the demo if left out"
    )
    soaks = commands.add_parser("soak", help="many dispatchers under faults that overlap; the rules decide")
    soaks.add_argument("--seed", type=int, default=1)
    soaks.add_argument("--seeds", type=int, default=1, help="so many, from --seed on, one after another")
    soaks.add_argument("--processes", type=int, default=20)
    soaks.add_argument("--seconds", type=float, default=20.0)
    soaks.add_argument("--sync", choices=("none", "batch", "always"), default="none")
    soaks.add_argument("--with", dest="extra", action="append", default=[], choices=soak.EXTRA)
    soaks.add_argument("--only", action="append", default=[], choices=(*soak.ALWAYS, *soak.EXTRA))
    soaks.add_argument(
        "--leaving",
        type=float,
        metavar="PER_S",
        help="clients a second, for each dispatcher, that leave before they have heard; else the seed tells",
    )
    soaks.add_argument("--json", type=Path, help="append a JSON object for each seed to that file")
    soaks.add_argument("--folder", type=Path, help="keep states and logs there")
    soaks.add_argument("--history", type=Path, help="write what was seen there, a JSON object a line")
    top = commands.add_parser("top", help="how many messages a second the lab itself can play")
    top.add_argument("--seconds", type=float, default=5.0)
    told = parser.parse_args(words)
    try:
        if told.command == "demo":
            scenario = seeded(parse(DEMO, "demo"), told.seed, told.seconds)
            return run(scenario, f"python -m lab demo --seed {scenario.seed}", told.history)
        if told.command == "run":
            scenario = seeded(load_file(told.scenario), told.seed, told.seconds)
            return run(scenario, f"python -m lab run {told.scenario} --seed {scenario.seed}", told.history)
        if told.command == "check":
            return recheck(told.history, load_file(told.scenario) if told.scenario else parse(DEMO, "demo"))
        if told.command == "soak":
            return run_soaks(told)
        from lab.top import measure  # only this command needs it

        print(f"the lab itself: {measure(told.seconds):.0f} messages a second, from hand-in to delivery")
        return 0
    except (BadScenario, OSError) as error:
        print(f"lab: {error}", file=sys.stderr)
        return 2


def run_soaks(told: argparse.Namespace) -> int:
    """Seed after seed; 1 where one of them broke a rule or crashed."""
    broken = 0
    for seed in range(told.seed, told.seed + told.seeds):
        extra, only = tuple(told.extra), tuple(told.only)
        asked = soak.Soak(seed, told.processes, told.seconds, extra, only, told.sync, told.leaving)
        played = soak.play(asked, told.folder, progress)
        if told.history is not None:
            played.history.write(told.history)
        soak.tell(asked, soak.account(asked, played), told.json)
        broken += not played.sound
    return 1 if broken else 0


def recheck(path: Path, scenario: Scenario) -> int:
    import json

    from crowpier.benchlink import parse_settings

    settings = parse_settings(json.dumps(scenario.settings(0)).encode())
    broken = check(History.read(path).events, settings)
    for one in broken:
        print(f"BROKEN: {one}")
    print(f"{len(broken)} breaches")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
