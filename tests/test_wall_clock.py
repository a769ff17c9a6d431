"""The wall clock is stepped: spans go on by the time that passes, while a process runs and over a restart."""

import time

import pytest
from doubles import ROOT, Program, run_with_program

STEPS_S = (-3600.0, -5.0, 5.0, 3600.0)
LEFT_MS = 6000
SLACK_MS = 50.0
STEPPED = """import pathlib, time

plain, told = time.time, pathlib.Path(__file__).with_name("step")
time.time = lambda: plain() + (float(told.read_text()) if told.exists() else 0.0)
"""


@pytest.fixture
def stepped(tmp_path, monkeypatch):
    """A folder whose file `step` says by how much the program's wall clock is off."""
    (tmp_path / "sitecustomize.py").write_text(STEPPED)
    monkeypatch.setenv("PYTHONPATH", f"{tmp_path}:{ROOT}")
    return tmp_path


async def handed_in(program, status):
    """A message whose first call is answered so; when its time is up, by the monotonic clock."""
    client = await program.client()
    due = time.monotonic() + LEFT_MS / 1000.0
    assert await client.add(b"m1", "note", LEFT_MS) == b"+OK\r\n"
    (await program.partner.next()).answer(status)
    return due


async def restarted(program, step_s, partner=True):
    """Killed, and started again with the wall clock off by so much."""
    await program.kill()
    (program.folder / "step").write_text(str(step_s))
    if not partner:
        program.partner.stop()
    await program.start()


def left_at(due):
    return (due - time.monotonic()) * 1000.0


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_step_while_the_process_is_down_moves_no_deadline(stepped, step_s):
    @run_with_program(Program(stepped), started=False)
    async def _(program):
        await program.start()
        due = await handed_in(program, 500)
        await restarted(program, step_s)
        request = await program.partner.next()
        told = float(request.headers["x-time-left-ms"])
        assert request.headers["x-correlation-id"] == "m1"
        assert 0.0 < told <= left_at(due) + SLACK_MS + 100.0  # the call is waited for no longer than that


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_step_while_the_process_runs_moves_no_end(stepped, step_s):
    @run_with_program(Program(stepped), started=False)
    async def _(program):
        await program.start()
        client = await program.client()
        due = time.monotonic() + 1.5
        assert await client.add(b"m1", "pay", 1500) == b"+OK\r\n"
        await program.partner.next()  # has no answer
        (stepped / "step").write_text(str(step_s))
        assert await program.notice() == {"ref": "m1", "result": "dead"}
        assert -600.0 < left_at(due) * -1.0 < 300.0


@pytest.mark.parametrize("step_s", STEPS_S)
def test_what_is_held_over_a_step_and_a_restart_has_its_end_in_time(stepped, step_s):
    @run_with_program(Program(stepped), started=False)
    async def _(program):
        await program.start()
        due = await handed_in(program, 500)
        await restarted(program, step_s, partner=False)
        notice = await program.notice()
        assert notice["ref"] == "m1"
        late_ms = -left_at(due)
        assert late_ms < 300.0, f"{late_ms:.0f} ms late"
        if step_s > 0.0:
            assert late_ms > -2500.0, f"{-late_ms:.0f} ms early"


def test_a_monotonic_clock_that_begins_anew_does_so_for_spans_too(tmp_path):
    from rushhitch.journal import Journal
    from rushhitch.journal.steady_clock import steady_clock_offset_s

    journal = Journal(tmp_path, 3e6)
    assert steady_clock_offset_s(journal, 1000.0, 100.0, "one") == 900.0
    assert steady_clock_offset_s(journal, 5000.0, 110.0, "one") == 900.0, "the wall clock was set forward"
    assert steady_clock_offset_s(journal, 1020.0, 5.0, "one") == 1015.0, "the same name, and another run"
    journal.close()
