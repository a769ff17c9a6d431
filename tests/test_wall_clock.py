"""Steps of the wall clock do not move deadlines, neither while a process runs nor across a restart."""

import time

import pytest
from doubles import ROOT, Program, run_with_program

STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)
LEFT_MS = 6000
SLACK_MS = 50.0
STEPPED = """import pathlib, time

real_time, offset_file = time.time, pathlib.Path(__file__).with_name("step")
time.time = lambda: real_time() + (float(offset_file.read_text()) if offset_file.exists() else 0.0)
"""


@pytest.fixture
def stepped(tmp_path, monkeypatch):
    """A folder whose file `step` has the offset of the program's wall clock, in seconds."""
    (tmp_path / "sitecustomize.py").write_text(STEPPED)
    monkeypatch.setenv("PYTHONPATH", f"{tmp_path}:{ROOT}")
    return tmp_path


async def submit(program, status):
    """Submit a message and answer its first call with `status`; returns its deadline on the monotonic
    clock."""
    client = await program.client()
    deadline = time.monotonic() + LEFT_MS / 1000.0
    assert await client.add(b"m1", "note", LEFT_MS) == b"+OK\r\n"
    (await program.partner.next()).answer(status)
    return deadline


async def restart(program, step_s, partner=True):
    """Kill the program and start it with its wall clock off by `step_s`."""
    await program.kill()
    (program.folder / "step").write_text(str(step_s))
    if not partner:
        program.partner.stop()
    await program.start()


def left_ms(deadline):
    return (deadline - time.monotonic()) * 1000.0


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_step_while_the_process_is_down_does_not_move_deadlines(stepped, step_s):
    @run_with_program(Program(stepped), started=False)
    async def _(program):
        await program.start()
        deadline = await submit(program, 500)
        await restart(program, step_s)
        request = await program.partner.next()
        stated_ms = float(request.headers["x-time-left-ms"])
        assert request.headers["x-correlation-id"] == "m1"
        assert (
            0.0 < stated_ms <= left_ms(deadline) + SLACK_MS + 100.0
        )  # the call must not outlast the deadline


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_step_while_the_process_runs_does_not_move_deadlines(stepped, step_s):
    @run_with_program(Program(stepped), started=False)
    async def _(program):
        await program.start()
        client = await program.client()
        deadline = time.monotonic() + 1.5
        assert await client.add(b"m1", "pay", 1500) == b"+OK\r\n"
        await program.partner.next()  # gets no answer
        (stepped / "step").write_text(str(step_s))
        assert await program.notice() == {"ref": "m1", "result": "dead"}
        assert -600.0 < left_ms(deadline) * -1.0 < 300.0


@pytest.mark.parametrize("step_s", STEPS_S)
def test_an_open_message_expires_on_time_after_a_step_and_a_restart(stepped, step_s):
    @run_with_program(Program(stepped), started=False)
    async def _(program):
        await program.start()
        deadline = await submit(program, 500)
        await restart(program, step_s, partner=False)
        notice = await program.notice()
        assert notice["ref"] == "m1"
        late_ms = -left_ms(deadline)
        assert late_ms < 300.0, f"{late_ms:.0f} ms late"
        if step_s > 0.0:
            assert late_ms > -2500.0, f"{-late_ms:.0f} ms early"


def test_a_restarted_monotonic_clock_gets_a_new_offset(tmp_path):
    from rushhitch.journal import Journal
    from rushhitch.journal.steady_clock import steady_clock_offset_s

    journal = Journal(tmp_path, 3e6)
    assert steady_clock_offset_s(journal, 1000.0, 100.0, "one") == 900.0
    assert steady_clock_offset_s(journal, 5000.0, 110.0, "one") == 900.0, "the wall clock was set forward"
    assert steady_clock_offset_s(journal, 1020.0, 5.0, "one") == 1015.0, (
        "same boot id, but the monotonic clock restarted"
    )
    journal.close()
