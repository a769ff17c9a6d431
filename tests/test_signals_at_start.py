"""Signals that arrive while a process starts, with the command of the deploy file."""

import asyncio
import signal
import sys
import tomllib
from pathlib import Path

import pytest
from doubles import ROOT, Program, run_with_program
from test_request_lifecycle import sent_within

from lab.processes import send_signal

pytestmark = pytest.mark.usefixtures("each_loop")

DELAYS_S = (0.0, 0.005, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.2, 0.3)


def command():
    """The deploy file's `run`, with the interpreter of this test run."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return deploy["run"].replace(".venv/bin/python", sys.executable)


async def wait_for_exec(process):
    """Wait until the program has replaced the shell, as signals are meant for the program."""
    while not Path(f"/proc/{process.pid}/comm").read_text().startswith("python"):
        await asyncio.sleep(0.001)


def test_sighup_at_any_time_of_a_start_does_not_end_the_process(tmp_path):
    async def start_and_reload(delay_s):
        folder = tmp_path / f"{delay_s}"
        folder.mkdir()
        program = await Program(folder).start_doubles()
        process = await program.spawn("/bin/sh", "-c", command())
        try:
            await wait_for_exec(process)
            await asyncio.sleep(delay_s)
            send_signal(process, signal.SIGHUP)
            await program.wait_until_ready()
        finally:
            if process.returncode is None:
                await program.kill()

    async def work():
        for delay_s in DELAYS_S:
            await asyncio.wait_for(start_and_reload(delay_s), 30.0)

    asyncio.run(work())


def test_a_configuration_that_changes_during_the_start_is_applied(tmp_path):
    # The signal arrives around the first read of the file: whichever version it read, the new one must apply.
    @run_with_program(Program(tmp_path), started=False)
    async def _(program):
        for delay_s in (0.1, 0.15, 0.2, 0.25, 0.3, 0.35):
            process = await program.spawn("/bin/sh", "-c", command())
            await asyncio.sleep(delay_s)
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
def test_a_process_that_is_ended_while_it_starts_leaves_the_journal_as_it_was(tmp_path, series):
    # The message waits for a partner that is down; each start in between is ended after some delay.
    @run_with_program(Program(tmp_path), started=False)
    async def _(program):
        program.partner.stop()
        await program.start()
        client = await program.client()
        assert await client.add(b"m1", "pay", 24000) == b"+OK\r\n"
        await asyncio.sleep(0.2)  # a kill right after the answer may leave the message in doubt
        await program.kill()
        for delay_s in DELAYS_S[1::3]:
            process = await program.spawn("/bin/sh", "-c", command())
            await wait_for_exec(process)
            await asyncio.sleep(delay_s)
            for number in series:
                send_signal(process, number)
                await asyncio.sleep(0.005)
            assert await asyncio.wait_for(process.wait(), 3.7) in (0, -signal.SIGTERM)
        await program.partner.start(program.partner.address[1])
        await program.start()
        assert await sent_within(program, 3.0) == [b"m1"], program.log
