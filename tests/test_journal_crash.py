"""Crashes and full disks at every operation of the journal, none picked by hand; see `lab/disk.py`."""

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
ROOM = 60_000.0  # bytes of disk: for their identities too
EVENTS = 14  # messages with an identity that outlasts their end
RESUMED = 40  # messages of the first life of two that die
PARTS = 5  # of the first life's operations: each test takes every fifth, side by side with the others


def history(outside, files, first=0, count=MESSAGES):
    """One life under load; a `Crash` ends it wherever it is."""
    try:
        life = SimulatedProcess(outside, files, 1)
        load(life, first, count)
        settle(outside)
    except Crash:
        pass
    outside.killed()
    files.die()
    assert files.most <= DISK


def ends(outside, folder):
    """A last life on a sound disk brings all to its end, and the journal is then empty."""
    life = SimulatedProcess(outside, CountingFiles(folder, DISK), 9)
    settle(outside)
    outside.check()
    assert not life.journal.live
    life.files.die()


def played(folder, *crashes):
    """Lives that crash as told, then one that ends it all; whether each crash was reached."""
    reached = []

    def work(outside):
        for life, (at, how) in enumerate(crashes):
            files = CrashingFiles(folder, at, how, DISK)
            history(outside, files, life * MESSAGES, MESSAGES if life == 0 else 2)
            reached.append(files.reached)
        ends(outside, folder)

    virtual(work)
    return reached


@pytest.fixture
def fresh(tmp_path):
    """Makes a new folder at each call. (`tmp_path_factory` looks through all that it has made before.)"""
    numbers = itertools.count()

    def made():
        folder = tmp_path / str(next(numbers))
        folder.mkdir()
        return folder

    return made


@pytest.mark.parametrize("how", HOWS)
def test_a_crash_at_each_operation_loses_nothing_and_doubles_nothing(fresh, how):
    at = 1
    while played(fresh(), (at, how))[0]:
        at += 1
    assert at > MESSAGES, "the run has too few operations to prove anything"


@pytest.mark.parametrize("how", HOWS)
def test_an_event_posted_again_after_a_crash_at_any_operation_does_not_run_anew(fresh, how):
    # Each is posted again in the second life: some have ended by then, some are out, some were never taken.
    def crashed(folder, at):
        reached = []

        def work(outside):
            files = CrashingFiles(folder, at, how, ROOM)
            try:
                life = SimulatedProcess(outside, files, 1, ROOM)
                load(life, 0, EVENTS, remember=True)
                outside.time.run(1.0)
            except Crash:
                pass
            outside.killed()
            files.die()
            reached.append(files.reached)
            known = len(outside.delivered)
            life = SimulatedProcess(outside, CountingFiles(folder, ROOM), 2, ROOM)
            load(life, 0, EVENTS, remember=True)
            settle(outside)
            assert not outside.broken, outside.broken
            assert not life.node.by_id and len(outside.delivered) >= known
            life.files.die()

        virtual(work)
        return reached[0]

    at = 1
    while crashed(fresh(), at):
        at += 1
    assert at > EVENTS, "the run has too few operations to prove anything"


class DyingFiles(CrashingFiles):
    """Dies at its operation in any case: after it where it is no write and a part of one was asked for."""

    def act(self, work):
        if self.count == self.at and self.how not in ("before", "after"):
            self.how = "after"
        return super().act(work)


def died(folder, at, how):
    """A life that dies there: its folder, what was seen of it outside, and whether it came to that."""
    found = []

    def work(outside):
        files = DyingFiles(folder, at, how, DISK)
        history(outside, files, 0, RESUMED)
        found.extend((folder, outside, files.reached))

    virtual(work)
    return tuple(found)


def resumed(folder, left, outside, second, second_how):
    """A life that resumes what one left that died, and dies too, and one that ends it all. Where the second
    died: in its recovery, in what follows, or not at all."""
    shutil.copytree(left, folder, dirs_exist_ok=True)
    found = []

    def work(outside):
        files = DyingFiles(folder, second, second_how, DISK)
        where = "recovery"
        try:
            SimulatedProcess(outside, files, 2)
            where = "life"
            settle(outside)
            where = ""
        except Crash:
            pass
        outside.killed()
        files.die()
        assert files.most <= DISK
        ends(outside, folder)
        found.append(where)

    virtual(work, outside.copy())
    return found[0]


@pytest.mark.parametrize("part", range(PARTS))
def test_a_crash_at_each_operation_of_each_recovery_is_one_more_crash(fresh, part):
    # Two deep: for each crash of the first life, each operation of the second, in each way of both for those
    # of its recovery; for those after it the ways take turns.
    at, recoveries, reached = 1 + part, 0, True
    while reached:
        firsts = {how: died(fresh(), at, how) for how in HOWS}
        second, where = 1, "recovery"
        while where:
            turns = (HOWS[at % len(HOWS)], HOWS[(at // len(HOWS) + second) % len(HOWS)])
            left, outside, reached = firsts[turns[0]]
            where = resumed(fresh(), left, outside, second, turns[1])
            if where == "recovery":
                recoveries += 1
                for first, second_how in itertools.product(HOWS, HOWS):
                    left, outside, _ = firsts[first]
                    resumed(fresh(), left, outside, second, second_how)
            second += 1
        at += PARTS
    assert at > RESUMED and recoveries > RESUMED, "the run has too few operations to prove anything"


def test_the_load_of_these_tests_makes_compaction_work(tmp_path):
    # Else the crashes above would prove nothing of it.
    unlinked, copied = [], []

    class Watching(CountingFiles):
        def unlink(self, name):
            unlinked.append(name)
            super().unlink(name)

    def work(outside):
        life = SimulatedProcess(outside, Watching(tmp_path, DISK), 1)
        step = life.journal.step

        def watched():
            copied.extend(life.journal.segments[0].live)
            return step()

        life.journal.step = watched
        load(life, 0, MESSAGES)
        settle(outside)
        outside.check()
        life.files.die()

    virtual(work)
    assert len([name for name in unlinked if name.startswith("segment-")]) > 3 and len(copied) > 3


@pytest.mark.parametrize("short", [False, True])
@pytest.mark.parametrize("lasting", [1, 25])
def test_an_error_of_the_disk_at_each_operation_heals_and_loses_nothing(fresh, lasting, short):
    at = 1
    while True:
        files = FailingFiles(fresh(), at, lasting, short, errno.ENOSPC)

        def work(outside, files=files):
            try:
                life = SimulatedProcess(outside, files, 1)
            except OSError:
                files.die()  # the disk was full at the start: the process says so and ends
                return
            load(life, 0, MESSAGES)
            settle(outside)
            outside.check()
            assert set(outside.answers) == set(outside.offered), "a client was left without an answer"
            for number in range(120, 120 + 12 * (lasting + 2), 12):  # the error may hit one of these as well
                life.offer(b"m%d" % number, "pay")
                outside.time.run(1.5)
                if b"m%d" % number in outside.delivered:
                    break
            settle(outside)
            outside.check()
            assert b"m%d" % number in outside.delivered, "the journal did not heal"
            assert not life.journal.has_unwritten_records
            files.die()

        virtual(work)
        if files.count < at:
            break
        at += 1
    assert at > MESSAGES


def test_a_crash_between_writing_the_copies_and_removing_the_old_segment(tmp_path):
    # Named here since it is the case that people ask for; the tests above go through all others as well.
    def work(outside):
        class DiesAtUnlink(CountingFiles):
            def unlink(self, name):
                if name.startswith("segment-") and copied:
                    raise Crash(name)
                super().unlink(name)

        copied = []
        try:
            life = SimulatedProcess(outside, DiesAtUnlink(tmp_path, DISK), 1)
            step = life.journal.step

            def watched():
                copied.extend(life.journal.segments[0].live)
                return step()

            life.journal.step = watched
            load(life, 0, MESSAGES)
        except Crash:
            pass
        assert copied, "compaction copied nothing"
        outside.killed()
        life.files.die()
        ends(outside, tmp_path)

    virtual(work)


def test_a_disk_that_fills_while_compaction_runs_turns_new_messages_away_and_heals(tmp_path):
    def work(outside):
        files = FullFiles(tmp_path, DISK, DISK)
        life = SimulatedProcess(outside, files, 1)
        step = life.journal.step

        def filled():
            if life.journal.segments[0].live and files.room == DISK:
                files.room = sum(allocated_size(size) for size in files.names().values())
            return step()

        life.journal.step = filled
        number = 0
        while files.room == DISK:  # until compaction copies something: then nothing new fits
            assert number < 400, "compaction copied nothing"
            load(life, number, 5)
            number += 5
        before = set(outside.taken)
        load(life, number, 20)
        refused = set(outside.offered) - set(outside.taken)
        assert refused, "the full disk was not felt"
        assert all(outside.answers[name] == 1 for name in outside.offered)
        outside.time.run(2.0)
        assert before <= outside.delivered | set(outside.told) | set(
            entry.id for entry in life.journal.live.values()
        )
        files.room = 2 * DISK
        outside.time.run(2.0)
        life.offer(b"m1200", "pay")
        settle(outside)
        assert b"m1200" in outside.delivered
        files.die()
        outside.killed()
        ends(outside, tmp_path)

    virtual(work)


def test_the_clock_may_step_back_an_hour_between_two_lives(tmp_path):
    # A message's time is told by the wall: it then has more of it, and ends once all the same.
    def work(outside):
        try:
            life = SimulatedProcess(outside, CrashingFiles(tmp_path, 12, "after", DISK), 1)
            load(life, 0, MESSAGES)
        except Crash:
            pass
        outside.killed()
        life.files.die()
        outside.time.wall -= 3600.0
        life = SimulatedProcess(outside, CountingFiles(tmp_path, DISK), 2)
        outside.time.run(3700.0)
        outside.check()
        assert not life.journal.live
        life.files.die()

    virtual(work)


def test_what_compaction_copied_is_resumed_in_the_order_of_taking(tmp_path, monkeypatch):
    # Guards against messages of one key that overtake each other at a restart: the lab saw it.
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

    def listening(self, now, events):
        arrived.extend(event.message for event in events if isinstance(event, MessageAccepted))
        return handle(self, now, events)

    monkeypatch.setattr(Dispatcher, "handle", listening)

    def work(outside):
        outside.offered |= {b"m%d" % number: "note" for number in range(1, 6)}
        life = SimulatedProcess(outside, CountingFiles(tmp_path, DISK), 1)
        assert list(life.journal.live) != sorted(life.journal.live), "compaction has moved nothing"
        life.files.die()

    virtual(work)
    assert arrived == [1, 2, 3, 4, 5]


def test_an_id_that_comes_again_in_a_later_life_is_another_message(tmp_path):
    def work(outside):
        life = SimulatedProcess(outside, CountingFiles(tmp_path, DISK), 1)
        life.offer(b"m5", "note", b"first")
        settle(outside)
        life.files.die()
        life = SimulatedProcess(outside, CountingFiles(tmp_path, DISK), 2)
        life.offer(b"m5", "note", b"second")
        outside.time.run(0.02)
        assert [entry.body for entry in life.journal.live.values()] == [b"second"]
        life.files.die()
        outside.killed()
        ends(outside, tmp_path)
        assert outside.sends[b"m5"] == 3, "once in the first life, and twice as it was out at the kill"

    virtual(work)
