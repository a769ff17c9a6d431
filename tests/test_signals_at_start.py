"""Signals that come while a process starts, by the deploy file's own command."""

import asyncio
import signal
import sys
import tomllib

from doubles import ROOT, Program

MOMENTS_S = (0.0, 0.005, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.2, 0.3)


def command():
    """The deploy file's `run`, by the interpreter of this test run."""
    told = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return told["run"].replace(".venv/bin/python", sys.executable)


def test_a_reload_at_any_moment_of_a_start_does_not_end_the_process(tmp_path):
    async def one(at):
        folder = tmp_path / f"{at}"
        folder.mkdir()
        program = await Program(folder).surroundings()
        process = await program.spawn("/bin/sh", "-c", command())
        try:
            await asyncio.sleep(at)
            process.send_signal(signal.SIGHUP)
            await program.serves()
        finally:
            if process.returncode is None:
                await program.kill()

    async def work():
        for at in MOMENTS_S:
            await asyncio.wait_for(one(at), 30.0)

    asyncio.run(work())
