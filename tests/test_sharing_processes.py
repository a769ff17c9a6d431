"""Processes of the program that share a budget, under faults; the wire format; the settings."""

import asyncio
import bisect
import json
import os
import signal
import subprocess
import sys
import time
from collections import defaultdict

import pytest
from doubles import ROOT, TOLD
from fleets import MEET_S

from lab.fleet import MemberFleet
from lab.member_cases import cut, healed
from rushhitch.config.deployment import DeploymentError, parse_deployment
from rushhitch.sharing.budgets import LOAN_S
from rushhitch.sharing.messages import LoanGrant, LoanRequest
from rushhitch.sharing.wire import decode, encode

SIZE = 100.0
FLOOR = 0.1
FRESH_S = 0.3  # a record older than this is ignored: a process writes one every 0.04 s


def set_needs(fleet, **units):
    """Set what each running process would use from now on; 0 for those not named."""
    for name in fleet.names:
        if fleet.processes.get(name) is None or fleet.processes[name].returncode is None:
            fleet.falls_ill(name, needs={"x": [SIZE, units.get(name, 0.0)]})


def records(fleet):
    """By process: the time of each record, the usable units, and those that it would use."""
    found = defaultdict(list)
    for name in fleet.names:
        path = fleet.folder / f"{name}.used"
        for line in path.read_text().splitlines() if path.exists() else ():
            at, budget, usable, used = line.split()
            if budget == "x":
                found[name].append((float(at), float(usable), float(used)))
    return found


def sums(fleet, since=0.0):
    """For each record since that time: the time, the units usable by all, and those that they would use."""
    lines = {name: (entries, [at for at, _, _ in entries]) for name, entries in records(fleet).items()}
    moments = sorted({at for _, times in lines.values() for at in times})
    for moment in moments[bisect.bisect_left(moments, since) :]:
        usable = used = 0.0
        for entries, times in lines.values():
            place = bisect.bisect_right(times, moment) - 1
            if place >= 0 and moment - times[place] <= FRESH_S:
                usable, used = usable + entries[place][1], used + entries[place][2]
        yield moment, usable, used


class Sharers(MemberFleet):
    """A fleet whose processes read their needs from a file."""

    async def __aenter__(self):
        for name in self.names:
            self.ill[name] = {"needs": {"x": [SIZE, 0.0]}}
        return await super().__aenter__()


def with_sharers(tmp_path, size=4, seconds=60.0, **options):
    def decorate(test):
        async def work():
            async with Sharers(tmp_path, size, TOLD, floor=FLOOR, **options) as fleet:
                await fleet.until(fleet.all_there, MEET_S)
                await test(fleet)
            moments = list(sums(fleet))
            over = [moment for moment in moments if moment[1] > SIZE * (1.0 + 1e-6)]
            assert len(moments) > 100 and not over, f"{len(over)} moments over the budget, first {over[0]}"

        asyncio.run(asyncio.wait_for(work(), seconds))

    return decorate


def usable(fleet, name):
    """The usable units in the last record of the process."""
    return records(fleet)[name][-1][1]


def used_up(fleet, since, seconds):
    """Whether since that time over 90% of the budget was in use for `seconds` without interruption."""
    begun = None
    for at, _, used in sums(fleet, since):
        if used <= 0.9 * SIZE:
            begun = None
        elif begun is None:
            begun = at
        elif at - begun >= seconds:
            return True
    return False


def test_the_only_member_in_need_gets_nearly_all_and_loses_its_loans_if_it_stalls(tmp_path):
    @with_sharers(tmp_path)
    async def _(fleet):
        set_needs(fleet, d0=SIZE)
        await fleet.until(lambda: usable(fleet, "d0") > 0.9 * SIZE, 25.0)
        env = dict(os.environ) | {"RUSHHITCH_TOML": str(tmp_path / "d1.toml")}
        address = "{}:{}".format(*fleet.ways.real["d0"])
        command = [sys.executable, "-m", "rushhitch", "shared", address]
        options = {"cwd": ROOT, "env": env, "capture_output": True, "text": True}
        shown = await asyncio.to_thread(subprocess.run, command, **options)
        assert shown.returncode == 0 and shown.stdout.count("for") >= 3 and "borrowed" in shown.stdout, shown
        report = json.loads((await asyncio.to_thread(subprocess.run, [*command, "--json"], **options)).stdout)
        assert set(report["budgets"]["x"]["borrowed"]) == {"d1", "d2", "d3"}
        fleet.watch.stands_still("d0", 6.0)
        fleet.processes["d0"].send_signal(signal.SIGSTOP)
        set_needs(fleet, d0=SIZE, d1=SIZE, d2=SIZE, d3=SIZE)
        await fleet.until(lambda: all(usable(fleet, name) > 0.2 * SIZE for name in ("d1", "d2", "d3")), 8.0)
        before = len(records(fleet)["d0"])
        fleet.processes["d0"].send_signal(signal.SIGCONT)
        await fleet.until(lambda: len(records(fleet)["d0"]) > before)
        assert records(fleet)["d0"][before][1] <= 0.3 * SIZE, "its loans had ended"


def test_partitioned_halves_share_among_themselves_and_do_not_exceed_the_budget(tmp_path):
    @with_sharers(tmp_path, buildings=2)
    async def _(fleet):
        set_needs(fleet, d0=SIZE, d1=SIZE)
        await fleet.until(lambda: usable(fleet, "d0") + usable(fleet, "d1") > 0.9 * SIZE, 25.0)
        fleet.watch.strike(cut(lambda a, b: fleet.building[a] != fleet.building[b]))
        across = [(a, b) for a in fleet.names for b in fleet.names if fleet.building[a] != fleet.building[b]]
        loans_end = time.monotonic() + LOAN_S  # of all loans from one half to the other
        await fleet.until(lambda: all(fleet.states(a).get(b) == "gone" for a, b in across), 15.0)
        # Used for longer than a loan lasts, so it was lent again within each half. `test_sharing.py` checks
        # how soon, in virtual time: when loans end and are requested depends on the time before the cut.
        await fleet.until(lambda: used_up(fleet, loans_end, LOAN_S), 20.0)
        assert all(fleet.states(a).get(b) == "gone" for a, b in across), "the halves met during the cut"
        fleet.watch.strike(healed)
        await fleet.until(fleet.all_there, 20.0)


def test_killed_members_use_nothing_and_restarted_ones_have_only_their_floor_at_first(tmp_path):
    @with_sharers(tmp_path, size=5)
    async def _(fleet):
        set_needs(fleet, d0=SIZE)
        await fleet.until(lambda: usable(fleet, "d0") > 0.9 * SIZE, 25.0)
        dead = ("d0", "d1", "d2")
        await asyncio.gather(*map(fleet.kill, dead))
        for name in dead:
            fleet.ill[name] = {"needs": {"x": [SIZE, SIZE]}}
            (tmp_path / f"{name}.used").rename(tmp_path / f"{name}-before.used")
        await asyncio.gather(*map(fleet.start, dead))
        await fleet.until(lambda: len(records(fleet)["d0"]) > 5)
        assert records(fleet)["d0"][0][1] == pytest.approx(FLOOR * SIZE / 5)
        set_needs(fleet, d0=SIZE, d1=SIZE, d2=SIZE, d3=SIZE, d4=SIZE)
        await fleet.until(lambda: all(usable(fleet, name) > 0.18 * SIZE for name in fleet.names), 30.0)


@pytest.mark.parametrize("message", [LoanRequest(7, {"lane 3": 2.5}), LoanGrant(8, {})])
def test_message_survives_encoding_and_fields_of_a_later_version_are_ignored(message):
    assert decode(encode(message)) == message
    longer = bytearray(encode(message))
    assert longer[0] == 0x93
    longer[0] = 0x94
    assert decode(bytes(longer) + b"\xc3") == message


@pytest.mark.parametrize("data", [b"", b"\x93\x07\x01\x80", b"\x93\x00\x01\x81\xa1x\xa1y", b"\xff" * 50])
def test_malformed_message_raises_value_error(data):
    with pytest.raises(ValueError):
        decode(data)


def test_sharing_settings_are_validated(tmp_path):
    secret = tmp_path / "secret"
    secret.write_bytes(b"s" * 16)
    member = '[membership]\nlisten = "127.0.0.1:7101"\nseeds = ["127.0.0.1:7101"]\n'
    member += f'secret_file = "{secret}"\n'
    deployment = parse_deployment(member + "[sharing]\nfloor = 0.2\n", "f")
    assert deployment.sharing is not None and deployment.sharing.floor == 0.2
    assert parse_deployment(member + "[sharing]\n", "f").sharing.floor == 0.1
    assert parse_deployment(member, "f").sharing is None
    with pytest.raises(DeploymentError, match=r"f:6: floor must be a share from 0.01 to 0.9, not 1"):
        parse_deployment(member + "[sharing]\nfloor = 1\n", "f")
    with pytest.raises(
        DeploymentError, match=r"f:1: \[sharing\] needs members, no planners: add \[membership\]"
    ):
        parse_deployment("[sharing]\n", "f")
    planning = f'[planning]\nplanners = {{ p = "127.0.0.1:1" }}\nsecret_file = "{secret}"\n'
    with pytest.raises(DeploymentError, match="planners share limits"):
        parse_deployment(member + planning + "[sharing]\n", "f")
