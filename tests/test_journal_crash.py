"""Crashes and full disks injected at every disk operation of the journal; see `lab/disk.py`."""

import errno
import itertools
import shutil

import pytest
from process_harness import DISK, WALL, SimulatedProcess, load, settle, virtual

from crowpier import Dispatcher
from crowpier.interface import MessageAccepted
from lab.disk import HOWS, CountingFiles, Crash, CrashingFiles, FailingFiles, FullFiles
from rushhitch.journal import Journal, JournalEntry
from rushhitch.journal.files import allocated_size

MESSAGES = 60
ROOM = 60_000.0  # bytes of disk: with space for remembered ids
REMEMBERED_MESSAGES = 14  # messages whose id is remembered past their end
RESUMED = 40  # messages of the first of two crashing processes
PARTS = 5  # each parallel test crashes the first process at every fifth operation


def run_under_load(outside, files, first=0, count=MESSAGES):
    """Run one process under load until it settles or a `Crash` ends it."""
    try:
        process = SimulatedProcess(outside, files, 1)
        load(process, first, count)
        settle(outside)
    except Crash:
        pass
    outside.killed()
    files.die()
    assert files.most <= DISK


def run_to_end(outside, folder):
    """Run a last process on a sound disk: all messages end, and the journal is then empty."""
    process = SimulatedProcess(outside, CountingFiles(folder, DISK), 9)
    settle(outside)
    outside.check()
    assert not process.journal.live
    process.files.die()


def run_with_crashes(folder, *crashes):
    """Run processes that crash as given, then a last one; returns whether each crash was reached."""
    reached = []

    def work(outside):
        for index, (at, how) in enumerate(crashes):
            files = CrashingFiles(folder, at, how, DISK)
            run_under_load(outside, files, index * MESSAGES, MESSAGES if index == 0 else 2)
            reached.append(files.reached)
        run_to_end(outside, folder)

    virtual(work)
    return reached


@pytest.fixture
def new_folder(tmp_path):
    """Returns a new folder at each call. (`tmp_path_factory` scans all its earlier folders each time.)"""
    numbers = itertools.count()

    def made():
        folder = tmp_path / str(next(numbers))
        folder.mkdir()
        return folder

    return made


@pytest.mark.parametrize("how", HOWS)
def test_a_crash_at_each_operation_loses_nothing_and_doubles_nothing(new_folder, how):
    at = 1
    while run_with_crashes(new_folder(), (at, how))[0]:
        at += 1
    assert at > MESSAGES, "the run has too few operations to prove anything"


@pytest.mark.parametrize("how", HOWS)
def test_an_event_posted_again_after_a_crash_at_any_operation_does_not_run_anew(new_folder, how):
    # Each is posted again to the second process: some have ended, some are in flight, some are unknown.
    def crashed(folder, at):
        reached = []

        def work(outside):
            files = CrashingFiles(folder, at, how, ROOM)
            try:
                process = SimulatedProcess(outside, files, 1, ROOM)
                load(process, 0, REMEMBERED_MESSAGES, remember=True)
                outside.time.run(1.0)
            except Crash:
                pass
            outside.killed()
            files.die()
            reached.append(files.reached)
            known = len(outside.delivered)
            process = SimulatedProcess(outside, CountingFiles(folder, ROOM), 2, ROOM)
            load(process, 0, REMEMBERED_MESSAGES, remember=True)
            settle(outside)
            assert not outside.broken, outside.broken
            assert not process.node.by_id and len(outside.delivered) >= known
            process.files.die()

        virtual(work)
        return reached[0]

    at = 1
    while crashed(new_folder(), at):
        at += 1
    assert at > REMEMBERED_MESSAGES, "the run has too few operations to prove anything"


class AlwaysCrashingFiles(CrashingFiles):
    """Crashes at its operation in any case: after it if a partial write was asked for and it is no write."""

    def act(self, work):
        if self.count == self.at and self.how not in ("before", "after"):
            self.how = "after"
        return super().act(work)


def crash_at(folder, at, how):
    """Run a process that crashes at operation `at`; its folder, the outside world, whether it got there."""
    found = []

    def work(outside):
        files = AlwaysCrashingFiles(folder, at, how, DISK)
        run_under_load(outside, files, 0, RESUMED)
        found.extend((folder, outside, files.reached))

    virtual(work)
    return tuple(found)


def crash_after_resume(folder, folder_after_crash, outside, second, second_how):
    """Run a process that resumes after a crash and crashes too, then a last one. Returns where the second
    one crashed: in its recovery, in its later life, or not at all (empty)."""
    shutil.copytree(folder_after_crash, folder, dirs_exist_ok=True)
    found = []

    def work(outside):
        files = AlwaysCrashingFiles(folder, second, second_how, DISK)
        phase = "recovery"
        try:
            SimulatedProcess(outside, files, 2)
            phase = "later"
            settle(outside)
            phase = ""
        except Crash:
            pass
        outside.killed()
        files.die()
        assert files.most <= DISK
        run_to_end(outside, folder)
        found.append(phase)

    virtual(work, outside.copy())
    return found[0]


@pytest.mark.parametrize("part", range(PARTS))
def test_a_crash_at_each_operation_of_each_recovery_is_one_more_crash(new_folder, part):
    # For each crash of the first process, a crash at each operation of the second. During recovery all pairs
    # of ways to crash are tried; after it the ways rotate.
    at, recoveries, reached = 1 + part, 0, True
    while reached:
        firsts = {how: crash_at(new_folder(), at, how) for how in HOWS}
        second, phase = 1, "recovery"
        while phase:
            ways = (HOWS[at % len(HOWS)], HOWS[(at // len(HOWS) + second) % len(HOWS)])
            folder_after_crash, outside, reached = firsts[ways[0]]
            phase = crash_after_resume(new_folder(), folder_after_crash, outside, second, ways[1])
            if phase == "recovery":
                recoveries += 1
                for first, second_how in itertools.product(HOWS, HOWS):
                    folder_after_crash, outside, _ = firsts[first]
                    crash_after_resume(new_folder(), folder_after_crash, outside, second, second_how)
            second += 1
        at += PARTS
    assert at > RESUMED and recoveries > RESUMED, "the run has too few operations to prove anything"


def test_the_load_of_these_tests_triggers_compaction(tmp_path):
    # Otherwise the crash tests above would not cover compaction.
    unlinked, copied = [], []

    class RecordingFiles(CountingFiles):
        def unlink(self, name):
            unlinked.append(name)
            super().unlink(name)

    def work(outside):
        process = SimulatedProcess(outside, RecordingFiles(tmp_path, DISK), 1)
        step = process.journal.step

        def step_recorded():
            copied.extend(process.journal.segments[0].live)
            return step()

        process.journal.step = step_recorded
        load(process, 0, MESSAGES)
        settle(outside)
        outside.check()
        process.files.die()

    virtual(work)
    assert len([name for name in unlinked if name.startswith("segment-")]) > 3 and len(copied) > 3


@pytest.mark.parametrize("short", [False, True])
@pytest.mark.parametrize("lasting", [1, 25])
def test_an_error_of_the_disk_at_each_operation_heals_and_loses_nothing(new_folder, lasting, short):
    at = 1
    while True:
        files = FailingFiles(new_folder(), at, lasting, short, errno.ENOSPC)

        def work(outside, files=files):
            try:
                process = SimulatedProcess(outside, files, 1)
            except OSError:
                files.die()  # disk full at the start: the process reports it and exits
                return
            load(process, 0, MESSAGES)
            settle(outside)
            outside.check()
            assert set(outside.answers) == set(outside.offered), "a client was left without an answer"
            for number in range(120, 120 + 12 * (lasting + 2), 12):  # the error may hit some of these too
                process.offer(b"m%d" % number, "pay")
                outside.time.run(1.5)
                if b"m%d" % number in outside.delivered:
                    break
            settle(outside)
            outside.check()
            assert b"m%d" % number in outside.delivered, "the journal did not heal"
            assert not process.journal.has_unwritten_records
            files.die()

        virtual(work)
        if files.count < at:
            break
        at += 1
    assert at > MESSAGES


def test_a_crash_between_writing_the_copies_and_removing_the_old_segment(tmp_path):
    # Covered above with all other cases; explicit here since it is the one most asked about.
    def work(outside):
        class CrashAtUnlink(CountingFiles):
            def unlink(self, name):
                if name.startswith("segment-") and copied:
                    raise Crash(name)
                super().unlink(name)

        copied = []
        try:
            process = SimulatedProcess(outside, CrashAtUnlink(tmp_path, DISK), 1)
            step = process.journal.step

            def step_recorded():
                copied.extend(process.journal.segments[0].live)
                return step()

            process.journal.step = step_recorded
            load(process, 0, MESSAGES)
        except Crash:
            pass
        assert copied, "compaction copied nothing"
        outside.killed()
        process.files.die()
        run_to_end(outside, tmp_path)

    virtual(work)


def test_a_disk_that_fills_while_compaction_runs_turns_new_messages_away_and_heals(tmp_path):
    def work(outside):
        files = FullFiles(tmp_path, DISK, DISK)
        process = SimulatedProcess(outside, files, 1)
        step = process.journal.step

        def fill_disk():
            if process.journal.segments[0].live and files.room == DISK:
                files.room = sum(allocated_size(size) for size in files.names().values())
            return step()

        process.journal.step = fill_disk
        number = 0
        while files.room == DISK:  # until compaction copies something; then the disk is full
            assert number < 400, "compaction copied nothing"
            load(process, number, 5)
            number += 5
        before = set(outside.taken)
        load(process, number, 20)
        refused = set(outside.offered) - set(outside.taken)
        assert refused, "the full disk refused no message"
        assert all(outside.answers[name] == 1 for name in outside.offered)
        outside.time.run(2.0)
        assert before <= outside.delivered | set(outside.told) | set(
            entry.id for entry in process.journal.live.values()
        )
        files.room = 2 * DISK
        outside.time.run(2.0)
        process.offer(b"m1200", "pay")
        settle(outside)
        assert b"m1200" in outside.delivered
        files.die()
        outside.killed()
        run_to_end(outside, tmp_path)

    virtual(work)


def test_the_clock_may_step_back_an_hour_between_two_processes(tmp_path):
    # Deadlines are wall-clock times: the messages get more time, but must still end exactly once.
    def work(outside):
        try:
            process = SimulatedProcess(outside, CrashingFiles(tmp_path, 12, "after", DISK), 1)
            load(process, 0, MESSAGES)
        except Crash:
            pass
        outside.killed()
        process.files.die()
        outside.time.wall -= 3600.0
        process = SimulatedProcess(outside, CountingFiles(tmp_path, DISK), 2)
        outside.time.run(3700.0)
        outside.check()
        assert not process.journal.live
        process.files.die()

    virtual(work)


def test_messages_copied_by_compaction_are_resumed_in_the_order_of_acceptance(tmp_path, monkeypatch):
    # Messages of one key must not overtake each other at a restart, which the lab once observed.
    journal = Journal(tmp_path, DISK)
    for number in range(1, 6):
        journal.record_accepted(JournalEntry(number, b"m%d" % number, "note", 7, WALL + 1e6, b"", key=3))
        journal.flush()
        if number == 2:
            journal.roll()
    journal.step()
    journal.remove_dead_segments()
    journal.close()
    arrived, handle = [], Dispatcher.handle

    def record_arrivals(self, now, events):
        arrived.extend(event.message for event in events if isinstance(event, MessageAccepted))
        return handle(self, now, events)

    monkeypatch.setattr(Dispatcher, "handle", record_arrivals)

    def work(outside):
        outside.offered |= {b"m%d" % number: "note" for number in range(1, 6)}
        process = SimulatedProcess(outside, CountingFiles(tmp_path, DISK), 1)
        assert list(process.journal.live) != sorted(process.journal.live), "compaction moved nothing"
        process.files.die()

    virtual(work)
    assert arrived == [1, 2, 3, 4, 5]


def test_an_id_reused_after_a_restart_is_another_message(tmp_path):
    def work(outside):
        process = SimulatedProcess(outside, CountingFiles(tmp_path, DISK), 1)
        process.offer(b"m5", "note", b"first")
        settle(outside)
        process.files.die()
        process = SimulatedProcess(outside, CountingFiles(tmp_path, DISK), 2)
        process.offer(b"m5", "note", b"second")
        outside.time.run(0.02)
        assert [entry.body for entry in process.journal.live.values()] == [b"second"]
        process.files.die()
        outside.killed()
        run_to_end(outside, tmp_path)
        assert outside.sends[b"m5"] == 3, (
            "once by the first process, twice since it was in flight at the kill"
        )

    virtual(work)
