"""With syncs, promised records survive a power failure, and data is rewritten after a failed sync."""

import asyncio
import errno
import os

import pytest
from process_harness import SimulatedProcess, load, settle, virtual

from lab.disk import HOWS, CountingFiles, Crash, CrashingFiles, PowerCutFiles
from rushhitch.journal import Journal, JournalEntry, Sync
from rushhitch.journal.commit import Committer
from rushhitch.journal.files import Files

DISK = 24_000.0


def kept(number, body=b"a body"):
    return JournalEntry(number, b"m%d" % number, "pay", 7, 1_900_000_000.0, body, accepted_at=1_800_000_000.0)


class PowerCutAt(PowerCutFiles):
    """Power fails before operation number `at`."""

    def __init__(self, folder, at, limit):
        super().__init__(folder, limit)
        self.at, self.reached = at, False

    def act(self, work):
        if self.count >= self.at:
            self.reached = True
            raise Crash("power failure")
        return super().act(work)


@pytest.mark.parametrize("part", range(3))
def test_a_power_cut_at_each_operation_loses_nothing_that_was_promised(tmp_path_factory, part):
    at = 1 + part
    while True:
        folder = tmp_path_factory.mktemp("state")
        files = PowerCutAt(folder, at, DISK)

        def work(outside, files=files, folder=folder, at=at):
            try:
                process = SimulatedProcess(outside, files, 1, DISK, Sync.ALWAYS)
                load(process, 0, 30)
                settle(outside)
            except Crash:
                pass
            outside.killed()
            files.cut(seed=at)
            process = SimulatedProcess(
                outside, CountingFiles(folder, DISK), 2, DISK, Sync.ALWAYS, boot="the next one"
            )
            settle(outside)
            outside.check()
            assert not process.journal.live
            process.files.die()

        virtual(work)
        if not files.reached:
            break
        at += 3
    assert at > 60


@pytest.mark.parametrize("how", HOWS)
def test_a_kill_at_each_operation_sends_no_message_whose_client_was_not_answered(tmp_path, how):
    # A sync group is recorded before its first answer; after a kill, messages not accepted are dropped.
    at, reached = 1, True
    while reached:
        folder = tmp_path / str(at)
        folder.mkdir()
        files = CrashingFiles(folder, at, how, DISK)

        def work(outside, files=files, folder=folder):
            try:
                process = SimulatedProcess(outside, files, 1, DISK, Sync.ALWAYS)
                load(process, 0, 30)
                settle(outside)
            except Crash:
                pass
            outside.killed()
            files.die()
            process = SimulatedProcess(outside, CountingFiles(folder, DISK), 2, DISK, Sync.ALWAYS)
            settle(outside)
            outside.check()
            assert not process.journal.live
            process.files.die()

        virtual(work)
        reached = files.reached
        at += 1
    assert at > 60


def test_an_unaccepted_message_is_dropped_after_a_kill_and_in_doubt_after_a_power_cut(tmp_path):
    journal = Journal(tmp_path, 1e6, Sync.BATCH, boot="one")
    for number in (1, 2, 3):
        journal.record_received(kept(number))
    journal.flush()
    journal.begin_answer(1)
    journal.finish_answer(1)
    journal.begin_answer(2)
    journal.close()  # killed during the second answer
    found = Journal(tmp_path, 1e6, Sync.BATCH, writable=False, boot="one")
    assert (sorted(found.live), found.in_doubt) == ([1, 2], [2])
    for boot in ("two", ""):
        found = Journal(tmp_path, 1e6, Sync.BATCH, writable=False, boot=boot)
        assert (sorted(found.live), found.in_doubt) == ([1, 2, 3], [2, 3])
    Journal(tmp_path, 1e6, Sync.BATCH, boot="one").close()
    reopened = Journal(tmp_path, 1e6, Sync.BATCH, boot="two")
    assert sorted(reopened.live) == [1, 2] and reopened.highest == 3, "a dropped message came back"
    assert reopened.in_doubt == [2], "a message in doubt counted as answered"
    reopened.close()


def test_a_power_cut_in_a_batch_keeps_each_completed_group(tmp_path_factory):
    # The journal alone: records of a group whose `done` was called must survive, also during compaction.
    cuts = 0
    for seed in range(150):
        folder = tmp_path_factory.mktemp("state")
        files = PowerCutFiles(folder, DISK)
        journal = Journal(folder, DISK, Sync.BATCH, files)
        promised: dict[int, bool] = {}  # by number: is it live
        for number in range(seed % 50 + 5):
            journal.record_accepted(kept(number, bytes(300)))
            recorded = {number: True}
            if number >= 8:
                journal.record_end(number - 8)
                recorded[number - 8] = False
            journal.flush()
            if number % 3 != 2:
                group = journal.sync_group()
                assert group is not None
                if number % 3 == 1:
                    journal.record_accepted(
                        kept(1000 + number, bytes(900))
                    )  # more comes while the group is at work
                    journal.flush()
                    journal.record_end(1000 + number)
                    journal.flush()
                group.run()
                group.done()
                journal.maintain()
                promised |= recorded
            else:
                promised.pop(number - 8, None)
        files.cut(seed)
        cuts += 1
        reopened = Journal(folder, DISK, Sync.BATCH)
        missing = [number for number, live in promised.items() if live and number not in reopened.live]
        assert not missing, f"seed {seed}: {missing}"
        reopened.close()
    assert cuts == 150


def test_losing_unsynced_records_does_not_mark_an_unsafe_message_as_possibly_run(tmp_path):
    # No attempt was synced, so none was sent: after the power failure it is still safe to send.
    files = PowerCutFiles(tmp_path)
    journal = Journal(tmp_path, 1e6, Sync.BATCH, files)
    journal.record_accepted(kept(1))
    journal.flush()
    group = journal.sync_group()
    group.run()
    group.done()
    for number in range(2, 40):
        journal.record_accepted(kept(number))
        journal.flush()
    for seed in range(30):
        files.cut(seed)
        reopened = Journal(tmp_path, 1e6, Sync.BATCH, writable=False)
        assert reopened.live[1].first_run is None and reopened.report.clean


def test_a_batch_is_answered_only_after_its_group_is_synced(tmp_path):
    async def work():
        journal = Journal(tmp_path, 1e6, Sync.BATCH)
        committer, order = Committer(journal), []
        sync = journal.files.sync

        def recording_sync(fd):
            order.append("synced")
            sync(fd)

        journal.files.sync = recording_sync
        ready = asyncio.Event()
        for number in range(5):
            journal.record_accepted(kept(number))
            committer.commit(lambda: order.append("told"), lambda: order.append("failed"))
        assert order == [], "called back before the sync"
        journal.record_accepted(kept(9))
        committer.commit(ready.set, ready.set)
        await asyncio.wait_for(ready.wait(), 10)
        assert order[0] == "synced" and order.count("told") == 5 and order.count("synced") <= 2
        committer.close()
        journal.close()

    asyncio.run(work())


def test_after_a_failed_sync_all_live_messages_are_rewritten(tmp_path):
    # fsyncgate: a later sync that succeeds proves nothing about the data of the failed one.
    async def work():
        files = PowerCutFiles(tmp_path)
        journal = Journal(tmp_path, 1e6, Sync.BATCH, files)
        committer, results = Committer(journal), asyncio.Queue()

        async def commit():
            committer.commit(lambda: results.put_nowait("done"), lambda: results.put_nowait("failed"))
            return await asyncio.wait_for(results.get(), 10)

        journal.record_accepted(kept(1))
        assert await commit() == "done"
        sync = files.sync

        def failing_sync(fd):
            files.open[fd].since.clear()  # as the kernel does: the dirty pages are dropped and count as clean
            raise OSError(errno.EIO, "injected disk error")

        files.sync = failing_sync
        journal.record_accepted(kept(2))
        assert await commit() == "failed"
        assert journal.has_unwritten_records and not journal.has_room(1)
        files.sync = sync
        assert await commit() == "done"
        committer.close()
        files.cut(seed=1)
        assert sorted(Journal(tmp_path, 1e6, Sync.BATCH, writable=False).live) == [1, 2]

    asyncio.run(work())


@pytest.mark.parametrize("sync", [Sync.ALWAYS, Sync.BATCH])
def test_data_that_a_killed_process_left_unsynced_is_synced_at_the_next_start(tmp_path, sync):
    # Data written before a kill is not yet durable: the next process must sync it before building on it.
    files = CrashingFiles(tmp_path, 12, "before")
    with pytest.raises(Crash):
        journal = Journal(tmp_path, 1e6, sync, files)
        for number in range(20):
            journal.record_accepted(kept(number))
            journal.flush()
    files.die()
    power = PowerCutFiles(tmp_path)
    for inode in power.inodes.values():
        inode.since, inode.durable = [(0, inode.durable)], b""
    reopened = Journal(tmp_path, 1e6, sync, power)
    assert reopened.live
    live = set(reopened.live)
    power.cut(seed=4)
    assert live == set(Journal(tmp_path, 1e6, sync, writable=False).live)


def test_syncs_go_to_the_device(tmp_path, monkeypatch):
    # The simulated disks of the other tests track durability themselves; this one checks the system calls.
    files, synced = Files(tmp_path), []
    monkeypatch.setattr(os, "fdatasync", lambda fd: synced.append(os.fstat(fd).st_ino))
    monkeypatch.setattr(os, "fsync", lambda fd: synced.append(os.fstat(fd).st_ino))
    fd = files.create("segment-1")
    inode = os.fstat(fd).st_ino
    files.sync(fd)
    files.sync_name("segment-1")
    files.sync_folder()
    files.close(fd)
    assert synced == [inode, inode, os.stat(tmp_path).st_ino]
