"""Deduplication windows across a restart: a retry may reach its partner only while the partner still
recognises its key. Arrivals are measured at the partner."""

import asyncio
import json
import signal
import time
from dataclasses import dataclass, field, replace

import pytest
from dispatcher_harness import settings
from doubles import WORTH, Program, run
from process_harness import CALL_S, Partner, SimulatedProcess, virtual
from test_endings import UnreachablePeer
from test_endpoints import with_caller

from crowpier import Dispatcher
from crowpier.interface import (
    AttemptEnded,
    AttemptInProgress,
    Effect,
    EndpointListReceived,
    Entry,
    ListKind,
    MessageAccepted,
    MessageClass,
    Outcome,
    Send,
)
from lab.disk import CountingFiles
from rushhitch import connection
from rushhitch.connection import Connection
from rushhitch.core.resumption import resume
from rushhitch.journal import Journal, JournalEntry
from rushhitch.journal.sidecar import sealed
from rushhitch.journal.steady_clock import steady_clock_offset_s
from rushhitch.partners.codec import Attempt

WINDOW_S = 1.0
BERTH = {"name": "berth", "effect": "by_key", "group": "all", "windowMs": WINDOW_S * 1000.0} | WORTH
BERTH |= {"aimMs": 6000.0, "hardLimitMs": 20_000.0}  # no call times out in these tests
GAPS_S = (0.3, 0.9, 1.5)  # from the end of a process to the next start
SLACK_S = 0.05  # tolerance of time limits on real sockets


class ProgramWithWindow(Program):
    """With a class whose retries are deduplicated for one second, and a partner whose address can change."""

    at = None
    window_ms = WINDOW_S * 1000.0

    def config(self):
        config = super().config()
        config["settings"]["categories"] = [BERTH | {"windowMs": self.window_ms}]
        config["settings"]["policyLimits"]["connectTimeoutMs"] = 20_000.0
        if self.at is not None:
            config["known"]["servers"][0]["addr"] = "{}:{}".format(*self.at)
        return config

    async def take(self, client, *names):
        for name in names:
            assert await client.add(name, "berth", 20_000) == b"+OK\r\n"


@dataclass
class Seen:
    """What the partner and the platform saw of each message, in loop time of the test."""

    calls: dict[str, list[float]] = field(default_factory=dict)
    dead: set[str] = field(default_factory=set)
    lag_s: float = 0.0  # largest delay of the test's own loop

    async def hear(self, program, answers):
        """Record calls, answer them once `answers` is set, and accept notices."""
        loop = asyncio.get_running_loop()

        async def called():
            while True:
                request = await program.partner.next()
                self.calls.setdefault(request.headers["x-correlation-id"], []).append(loop.time())
                if answers.is_set():
                    request.answer(200)

        async def notified():
            while True:
                request = await program.platform.next()
                if request.target == "/status":
                    self.dead |= {json.loads(line)["ref"] for line in request.body.splitlines()}
                    request.answer(204)

        async def lag():
            while True:
                since = loop.time()
                await asyncio.sleep(0.005)
                self.lag_s = max(self.lag_s, loop.time() - since - 0.005)

        await asyncio.gather(called(), notified(), lag())

    async def first_calls(self, *names):
        while not self.calls.keys() >= set(names):
            await asyncio.sleep(0.005)


async def restarted(folder, end, gap_s, names, apart_s, window_ms=WINDOW_S * 1000.0):
    """Submit messages `apart_s` apart, end the process while each has one call in flight, and restart it
    after `gap_s`; returns what was seen of them."""
    folder.mkdir()
    program, seen, answers = await ProgramWithWindow(folder).start_doubles(), Seen(), asyncio.Event()
    program.window_ms = window_ms
    hearing = asyncio.create_task(seen.hear(program, answers))
    try:
        await program.start()
        client = await program.client()
        for name in names:
            await asyncio.sleep(apart_s)
            await program.take(client, name.encode())
        await seen.first_calls(*names)
        program.process.send_signal(end)
        await program.process.wait()
        await asyncio.sleep(gap_s)
        answers.set()
        await program.start()
        while program.journal().live:
            await asyncio.sleep(0.02)
        return seen
    finally:
        hearing.cancel()
        if program.process.returncode is None:
            await program.kill()


@pytest.mark.parametrize("end", [signal.SIGKILL, signal.SIGTERM], ids=["SIGKILL", "SIGTERM"])
def test_retry_after_a_restart_arrives_within_its_window_or_not_at_all(tmp_path, end):
    # Three restarts in parallel: after the longest gap all windows are over; after the shortest none is, even
    # if the start is slow; the one between may go either way. Shutdown after SIGTERM takes 3.3 s.
    windows_s = (15.0, 1.6 if end is signal.SIGKILL else 5.2, WINDOW_S)
    names = ["m0", "m1", "m2"]

    async def work():
        plays = (
            restarted(tmp_path / f"{gap_s}", end, gap_s, names, 0.3, window_s * 1000.0)
            for gap_s, window_s in zip(GAPS_S, windows_s, strict=True)
        )
        for seen, window_s in zip(await asyncio.gather(*plays), windows_s, strict=True):
            for name in names:
                first, *again = seen.calls[name]
                late = max((at - first - window_s for at in again), default=0.0)
                assert late <= SLACK_S + seen.lag_s, f"{name} came {late:.3f} s after its window"
                assert again or name in seen.dead, f"{name} was neither retried nor reported"
                assert again or window_s < 15.0, f"{name} was not retried"
                assert not again or window_s > WINDOW_S, f"{name} was retried"

    run(work())


@pytest.mark.parametrize(
    ("end", "loop"),
    [(signal.SIGKILL, "asyncio"), (signal.SIGTERM, "asyncio"), (signal.SIGKILL, "uvloop")],
    ids=["SIGKILL", "SIGTERM", "SIGKILL, uvloop"],
)
def test_retry_after_a_restart_that_connects_after_its_window_is_not_sent(tmp_path, monkeypatch, end, loop):
    window_s = 3.2 if end is signal.SIGKILL else 6.8  # shutdown after SIGTERM takes 3.3 s
    (tmp_path / "own.toml").write_text(f'[process]\nloop = "{loop}"\n')
    monkeypatch.setenv("RUSHHITCH_TOML", str(tmp_path / "own.toml"))

    async def work():
        program, unreachable = await ProgramWithWindow(tmp_path).start_doubles(), UnreachablePeer()
        program.window_ms = window_s * 1000.0
        try:
            await program.start()
            await program.take(await program.client(), b"m1")
            await program.partner.next()
            since = time.monotonic()
            program.process.send_signal(end)
            await program.process.wait()
            program.at = unreachable.address
            await program.start()
            await unreachable.wait_for_pending_connection()
            assert time.monotonic() - since < window_s, "the start was too slow for a meaningful test"
            await asyncio.sleep(since + window_s - time.monotonic())
            others, accepted = {sock.getsockname() for sock in unreachable.queued}, []
            for sock in unreachable.queued:
                sock.close()

            async def accept():
                while True:
                    accepted.append((await asyncio.get_running_loop().sock_accept(unreachable.listener))[0])

            accepting = asyncio.create_task(accept())  # the program connects when its SYN is retransmitted
            assert await program.notice() == {"ref": "m1", "result": "dead"}
            accepting.cancel()
            await program.kill()
            came_up = [sock for sock in accepted if sock.getpeername() not in others]
            for sock in came_up:
                sock.settimeout(5.0)
                assert sock.recv(1000) == b"", "a retry was started after its window"
            assert came_up, "the connection was never established: the test proves nothing"
            for sock in accepted:
                sock.close()
        finally:
            unreachable.close()
            if program.process.returncode is None:
                await program.kill()

    run(work())


STEP = """import os, time
wall, step = time.time, float(os.environ["STEP_S"])
time.time = lambda: wall() + step
"""


def test_wall_clock_set_back_between_processes_extends_no_window(tmp_path, monkeypatch):
    # The wall clock of the second process is 2.4 s behind: by that clock alone a retry would be in time, even
    # if the start is slow.
    (tmp_path / "sitecustomize.py").write_text(STEP)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))

    async def work():
        program = await ProgramWithWindow(tmp_path).start_doubles()
        program.window_ms = 2500.0
        try:
            monkeypatch.setenv("STEP_S", "0")
            await program.start()
            await program.take(await program.client(), b"m1")
            await program.partner.next()
            since = time.monotonic()
            await program.kill()
            monkeypatch.setenv("STEP_S", "-2.4")
            await asyncio.sleep(since + 2.5 - time.monotonic())
            await program.start()
            assert await program.notice() == {"ref": "m1", "result": "dead"}
            assert program.partner.requests.empty()
            assert any("was stepped by -2." in line for line in program.log)
        finally:
            if program.process.returncode is None:
                await program.kill()

    run(work())


# In virtual time


class SilentPartner(Partner):
    """Answers only in the second process; records when it was called, in virtual time."""

    def write(self, endpoint, attempts, allowed):
        for attempt in attempts:
            if attempt in allowed:
                self.outside.calls.setdefault(attempt.id, []).append(self.outside.time.now)
                self.outside.out.add(attempt.id)
                if self.process_number > 1:
                    self.node.loop.call_later(CALL_S, self.end, endpoint, attempt, Outcome.OK)


class SteadyClockProcess(SimulatedProcess):
    """Stores its steady clock in the folder, as the service does; the first turn may be delayed by
    `late_s`."""

    partner, classes = SilentPartner, [BERTH]
    boot, late_s = "one", 0.0

    def begin(self):
        node, clock, turn = self.node, self.outside.time, self.node.turn
        node.ahead_s = steady_clock_offset_s(node.journal, clock.wall + clock.now, clock.now, self.boot)

        def late():
            clock.now += self.late_s  # no timer runs meanwhile
            turn()

        node.turn = late
        resume(node)
        node.turn = turn


class RebootedProcess(SteadyClockProcess):
    boot = "two"


class SlowStartProcess(SteadyClockProcess):
    late_s = 0.25


def kept_to_windows(tmp_path, second, gap_s, set_back_s=0.0, within=False):
    """Crash a process with three messages of different ages in flight and start a second one. The wall clock
    is set back before that, or `within` the first process. Returns the number of retries of each, which must
    all be in its window; the others must be reported as dead."""
    repeats = []

    def work(outside):
        outside.calls, clock = {}, outside.time
        for number, process_class in enumerate((SteadyClockProcess, second), 1):
            files = CountingFiles(tmp_path, 1e6)
            made = process_class(outside, files, number, disk=1e6)
            if number == 1:
                for name in (b"m0", b"m1", b"m2"):
                    made.offer(name, "berth")
                    clock.run(0.3)
                    if within and name == b"m1":
                        clock.wall -= set_back_s
                files.die()
                outside.killed()
                clock.run(gap_s)
                clock.wall -= 0.0 if within else set_back_s
        clock.run(30.0)
        files.die()
        for name in (b"m0", b"m1", b"m2"):
            first, *again = outside.calls[name]
            assert all(at - first <= WINDOW_S for at in again), f"{name} came after its window"
            assert again or outside.told[name] == "dead"
            repeats.append(len(again))

    virtual(work)
    return repeats


@pytest.mark.parametrize("within", [False, True], ids=["between the processes", "within the first"])
@pytest.mark.parametrize("set_back_s", [0.0, 0.2, 0.8, 3600.0])
@pytest.mark.parametrize(("gap_s", "repeats"), [(0.05, [1, 1, 1]), (0.3, [0, 1, 1]), (0.9, [0, 0, 0])])
def test_wall_clock_set_back_makes_no_attempt_younger(tmp_path, gap_s, repeats, set_back_s, within):
    assert kept_to_windows(tmp_path, SteadyClockProcess, gap_s, set_back_s, within) == repeats


@pytest.mark.parametrize("set_back_s", [3.0, 3600.0])
def test_attempt_of_unknown_age_is_past_its_window(tmp_path, set_back_s):
    # After a reboot with a wall clock that is behind, an attempt appears to lie in the future.
    assert kept_to_windows(tmp_path, RebootedProcess, 0.05, set_back_s) == [0, 0, 0]


def test_window_continues_during_a_slow_start(tmp_path):
    # The delay is between reading the ages from the journal and the turn that passes them to the module.
    assert kept_to_windows(tmp_path, SlowStartProcess, 0.05) == [0, 1, 1]


@pytest.mark.parametrize("spoilt", [b"", b"x", b"00000000\n{}", None])
def test_unreadable_clock_file_falls_back_to_the_wall_clock(tmp_path, spoilt):
    journal = Journal(tmp_path, 3e6)
    if spoilt is None:
        (tmp_path / "clock").write_bytes(sealed(b'{"boot":"one"}'))
    else:
        (tmp_path / "clock").write_bytes(spoilt)
    assert steady_clock_offset_s(journal, 1000.0, 10.0, "one") == 990.0
    assert steady_clock_offset_s(journal, 900.0, 20.0, "one") == 990.0, (
        "a wall clock that was set back changed steady time"
    )
    assert steady_clock_offset_s(journal, 900.0, 20.0, "two") == 880.0
    assert steady_clock_offset_s(journal, 900.0, 20.0, "") == 880.0, "the clock of an unknown boot was used"
    journal.close()


@pytest.mark.parametrize("compacted", [False, True])
def test_journal_keeps_the_first_attempt_that_may_have_run(tmp_path, compacted):
    journal = Journal(tmp_path, 3e6)
    journal.record_accepted(JournalEntry(1, b"m1", "berth", 7, 4e9, b"x"))
    for number, may_have_run in enumerate((False, True, True)):
        journal.record_attempt(1, number, f"e{number}", 1000.25 + number)
        journal.record_outcome(1, number, may_have_run)
    journal.record_attempt(1, 3, "e3", 1003.25)
    journal.flush()
    if compacted:
        journal.compact()
    journal.close()
    (kept,) = Journal(tmp_path, 3e6, writable=False).live.values()
    assert kept.first_run == kept.ran == ("e1", 1001.25)


@pytest.mark.parametrize("sent_ago_ms", [0.0, 700.0])
def test_window_of_an_inherited_call_starts_when_it_was_sent(sent_ago_ms):
    changed = settings(classes=(MessageClass("berth", 3000, 20000, effect=Effect.KEYED, window_ms=1000),))
    dispatcher = Dispatcher(changed, seed=1)
    lent = (AttemptInProgress(0, "e1", 1, sent_ago_ms),)
    dispatcher.handle(5000.0, [EndpointListReceived(ListKind.FULL, 1, (Entry("e1", 1),))])
    dispatcher.handle(5000.0, [MessageAccepted(1, 0, 1, 20000.0, attempts=1, out=lent)])
    dispatcher.handle(5100.0, [AttemptEnded(1, 0, "e1", Outcome.RESET, 100.0)])
    for now in range(5100, 5300, 10):
        for action in dispatcher.handle(float(now), []):
            if isinstance(action, Send):
                assert action.start_by_ms == 6000.0 - sent_ago_ms
                return
    raise AssertionError("it was not retried")


# The last byte


def test_retry_to_a_slow_reader_is_not_completed_after_its_window():
    # The partner starts to read only after the window, long after the decision to send.
    @with_caller()
    async def _(caller):
        loop, read, gone = asyncio.get_running_loop(), asyncio.Event(), asyncio.Event()
        size, arrived = 20_000_000, 0  # more than the sockets' buffers hold

        async def slow(reader, writer):
            nonlocal arrived
            await read.wait()
            await reader.readuntil(b"\r\n\r\n")
            while data := await reader.read(1 << 20):
                arrived += len(data)
            gone.set()

        server = await asyncio.start_server(slow, "127.0.0.1", 0, limit=1024)
        caller.list(server.sockets[0].getsockname())
        start_by = loop.time() + 0.3
        caller.endpoints.send("e1", [Attempt(1, 1, b"m1", bytes(size), start_by + 30.0, start_by=start_by)])
        loop.call_at(start_by, read.set)
        assert await caller.result() == (Outcome.NOT_EXECUTED, False, 0.0)
        await gone.wait()
        assert 0 < arrived < size and caller.endpoints.connections == 0
        assert not caller.endpoints.idle, "a connection with an incomplete request was kept"


@pytest.mark.parametrize("left_s", [-0.01, 0.0, 0.01])
def test_last_byte_of_a_retry_is_not_sent_if_it_would_arrive_after_its_window(monkeypatch, left_s):
    look_s, start_by = 0.02, 0.0
    looked = Connection.confirm_alive

    async def until_late(self):
        await looked(self)
        await asyncio.sleep(start_by - left_s - self.loop.time())

    monkeypatch.setattr(connection, "MIN_LAST_BYTE_DELAY_S", look_s)
    monkeypatch.setattr(Connection, "confirm_alive", until_late)

    @with_caller(batch=3)
    async def _(caller):
        nonlocal start_by
        loop = asyncio.get_running_loop()
        start_by = loop.time() + 0.2
        ages = (start_by, start_by + 1.0, start_by + 5.0)  # the earliest start deadline applies to the batch
        attempts = [Attempt(m, 1, b"m%d" % m, b"", loop.time() + 30.0) for m in range(3)]
        caller.endpoints.send("e1", [replace(a, start_by=by) for a, by in zip(attempts, ages, strict=True)])
        for _ in ages:
            assert await caller.result() == (Outcome.NOT_EXECUTED, False, 0.0)
        assert caller.partner.requests.empty()
