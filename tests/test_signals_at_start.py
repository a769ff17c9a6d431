"""Signals that come while a process starts, by the deploy file's own command."""

import asyncio
import signal
import sys
import tomllib
from pathlib import Path

import pytest
from doubles import ROOT, Program, run_with_program
from test_request_lifecycle import sent_within

from lab.processes import send_signal

MOMENTS_S = (0.0, 0.005, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.2, 0.3)


def command():
    """The deploy file's `run`, by the interpreter of this test run."""
    told = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return told["run"].replace(".venv/bin/python", sys.executable)


async def runs(process):
    """Until the shell has been replaced by the program: whoever sends signals means that one."""
    while not Path(f"/proc/{process.pid}/comm").read_text().startswith("python"):
        await asyncio.sleep(0.001)


def test_a_reload_at_any_moment_of_a_start_does_not_end_the_process(tmp_path):
    async def one(at):
        folder = tmp_path / f"{at}"
        folder.mkdir()
        program = await Program(folder).start_doubles()
        process = await program.spawn("/bin/sh", "-c", command())
        try:
            await runs(process)
            await asyncio.sleep(at)
            send_signal(process, signal.SIGHUP)
            await program.wait_until_ready()
        finally:
            if process.returncode is None:
                await program.kill()

    async def work():
        for at in MOMENTS_S:
            await asyncio.wait_for(one(at), 30.0)

    asyncio.run(work())


def test_a_configuration_that_changes_during_the_start_is_in_force_afterwards(tmp_path):
    # The signal comes as soon as the file has been read the first time: whatever it read, the new one counts.
    @run_with_program(Program(tmp_path), started=False)
    async def _(program):
        for at in (0.1, 0.15, 0.2, 0.25, 0.3, 0.35):
            process = await program.spawn("/bin/sh", "-c", command())
            await asyncio.sleep(at)
            new = await program.move_discovery()
            send_signal(process, signal.SIGHUP)
            await program.wait_until_ready()
            watch = await asyncio.wait_for(new.next(), 10.0)
            assert watch.target.startswith("/discovery/hosts")
            await program.kill()


@pytest.mark.parametrize(
    "series",
    [
        (signal.SIGTERM,),
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
    ],
    ids=lambda series: "-".join(number.name for number in series),
)
def test_a_process_that_is_told_to_end_as_it_starts_leaves_what_it_found(tmp_path, series):
    # The message waits for a partner that is not there; each start in between is told to end at its moment.
    @run_with_program(Program(tmp_path), started=False)
    async def _(program):
        program.partner.stop()
        await program.start()
        client = await program.client()
        assert await client.add(b"m1", "pay", 24000) == b"+OK\r\n"
        await asyncio.sleep(
            0.2
        )  # a kill right behind the answer may leave the message in doubt: not meant here
        await program.kill()
        for at in MOMENTS_S[1::3]:
            process = await program.spawn("/bin/sh", "-c", command())
            await runs(process)
            await asyncio.sleep(at)
            for number in series:
                send_signal(process, number)
                await asyncio.sleep(0.005)
            assert await asyncio.wait_for(process.wait(), 3.7) in (0, -signal.SIGTERM)
        await program.partner.start(program.partner.address[1])
        await program.start()
        assert await sent_within(program, 3.0) == [b"m1"], program.log
