"""The journal: a later process recovers the live state after torn writes, damage and compaction."""

import errno
import random
import shutil
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lab.disk import CountingFiles, FailingFiles, FullFiles
from rushhitch.journal import Journal, JournalEntry, JournalError, Sync, store
from rushhitch.journal import format as form
from rushhitch.journal.files import Files, allocated_size

DISK = 300_000
JSON_LINES = Path(__file__).parent / "data" / "journal-of-json-lines"


def entry(number=1, body=b"\x00\r\n\xff"):
    return JournalEntry(
        number, b"m%d" % number, "pay", 7, 1_800_000_000.5, body, 3, True, accepted_at=1_799_999_990.0
    )


def open_journal(folder, **options):
    return Journal(folder, options.pop("disk", DISK), **options)


def reopen(journal, **options):
    """Close the journal and open it again, as a later process does."""
    folder = journal.files.folder
    journal.close()
    return open_journal(folder, **options)


def open_read_only(folder):
    """Replay the files without changing them."""
    return Journal(folder, DISK, writable=False)


def segments(folder):
    return sorted(path for path in folder.iterdir() if path.name.startswith("segment-"))


def filled_journal(folder):
    journal = open_journal(folder)
    journal.record_accepted(entry())
    journal.record_accepted(entry(2))
    journal.record_attempt(1, 0, "e1", 1000.0)
    journal.record_attempt(2, 0, "e1", 1000.0)
    journal.record_outcome(1, 0, True)
    journal.record_attempt(1, 1, "e2", 1001.0)
    journal.flush()
    return journal


def test_a_later_process_finds_what_is_live(tmp_path):
    journal = filled_journal(tmp_path)
    before = journal.live
    again = reopen(journal)
    assert again.live == before
    assert again.live[1].body == b"\x00\r\n\xff" and again.live[1].attempts == 2
    assert again.live[1].first_run == ("e1", 1000.0) and again.live[2].first_run == ("e1", 1000.0)
    again.compact()
    assert reopen(again).live == before, "state changed by compaction"


def test_an_attempt_proven_unsent_leaves_no_doubt(tmp_path):
    journal = open_journal(tmp_path)
    journal.record_accepted(entry())
    journal.record_attempt(1, 0, "e1", 1000.0)
    journal.record_outcome(1, 0, False)
    journal.flush()
    again = reopen(journal).live[1]
    assert again.first_run is None and again.attempts == 1


def test_a_notice_is_kept_until_it_is_over(tmp_path):
    journal = filled_journal(tmp_path)
    journal.record_notice(1, "bounced", 300.0)
    journal.record_end(2)
    journal.flush()
    again = reopen(journal)
    assert list(again.live) == [1] and again.live[1].notice == ("bounced", 300.0)
    again.compact()
    again = reopen(again)
    assert again.live[1].notice == ("bounced", 300.0) and again.live[1].body == b""
    again.record_end(1)
    again.flush()
    assert reopen(again).live == {}


def test_a_number_is_not_reused_while_files_contain_it(tmp_path):
    journal = filled_journal(tmp_path)
    journal.record_accepted(entry(9))
    journal.flush()
    journal.record_end(9)
    journal.flush()
    assert reopen(journal).highest == 9


@pytest.mark.parametrize("cut", range(1, 60))
def test_a_torn_end_is_left_out_and_is_no_damage(tmp_path, cut):
    journal = filled_journal(tmp_path)
    journal.record_end(2)
    journal.flush()
    journal.close()
    (path,) = segments(tmp_path)
    path.write_bytes(path.read_bytes()[:-cut])
    again = open_journal(tmp_path)
    assert {1} <= set(again.live) and again.report.clean
    again.record_accepted(entry(3))
    again.flush()
    last = reopen(again)
    assert 3 in last.live and last.report.clean


def corrupt(path, part, by):
    data = path.read_bytes()
    assert data.count(part) == 1
    path.write_bytes(data.replace(part, by))


def test_damage_is_distinguished_from_a_torn_end_and_the_rest_is_recovered(tmp_path, caplog):
    # Otherwise an unsafe message whose attempt record was in the damaged part would be sent twice.
    journal = open_journal(tmp_path)
    journal.record_accepted(entry(1, b"first"))
    journal.record_accepted(entry(2, b"the second one"))
    journal.record_accepted(entry(3, b"third"))
    journal.flush()
    journal.close()
    (path,) = segments(tmp_path)
    corrupt(path, b"the second one", b"the sec0nd one")
    again = open_journal(tmp_path)
    assert sorted(again.live) == [1, 3]
    assert again.report.lost == 1 and again.report.damaged > 14 and not again.report.clean
    assert again.live[1].first_run == ("", entry().accepted_at), (
        "its attempt record may be lost, so it may have run"
    )
    assert again.live[3].first_run is None, "it was accepted after the lost record"
    assert "1 records lost" in caplog.text
    again.compact()
    assert not segments(tmp_path)[0].name.startswith("damaged")
    damaged_files = [path for path in tmp_path.iterdir() if path.name.startswith("damaged-")]
    assert len(damaged_files) == 1 and b"the sec0nd one" in damaged_files[0].read_bytes()
    last = reopen(again)
    assert sorted(last.live) == [1, 3] and last.report.clean, "compaction keeps the doubt, not the damage"
    assert last.live[1].first_run == ("", entry().accepted_at)


def test_a_damaged_file_is_not_kept_where_the_disk_has_no_room(tmp_path):
    journal = open_journal(tmp_path, disk=20_000)
    journal.record_accepted(entry(1, bytes(2000)))
    journal.record_accepted(entry(2, b"the second one"))
    journal.record_accepted(entry(3, bytes(1200)))
    journal.flush()
    journal.close()
    corrupt(segments(tmp_path)[0], b"the second one", b"the sec0nd one")
    again = open_journal(tmp_path, disk=8_000)
    again.compact()
    assert not [path for path in tmp_path.iterdir() if path.name.startswith("damaged-")]
    assert sorted(again.live) == [1, 3]


def test_a_whole_segment_that_is_missing_is_damage(tmp_path):
    journal = open_journal(tmp_path)
    for number in range(1, 4):
        journal.record_accepted(entry(number))
        journal.flush()
        journal.roll()
    journal.close()
    segments(tmp_path)[1].unlink()
    again = open_journal(tmp_path)
    assert sorted(again.live) == [1, 3] and again.report.lost == 1
    assert again.live[1].first_run is not None and again.live[3].first_run is None


def test_a_damaged_header_costs_no_record(tmp_path):
    journal = open_journal(tmp_path)
    for number in range(1, 4):
        journal.record_accepted(entry(number))
        journal.flush()
        journal.roll()
    journal.close()
    path = segments(tmp_path)[1]
    path.write_bytes(b"x" + path.read_bytes()[1:])
    again = open_journal(tmp_path)
    assert sorted(again.live) == [1, 2, 3] and again.report.unreadable == [path.name]
    assert not again.report.clean


def test_a_newer_version_is_refused_and_left_untouched(tmp_path):
    filled_journal(tmp_path).close()
    (path,) = segments(tmp_path)
    data = path.read_bytes()
    newer = data[:4] + (form.VERSION + 1).to_bytes(2, "little") + data[6:]
    path.write_bytes(newer)
    with pytest.raises(JournalError, match="format version 3, and this build reads up to 2: start the build"):
        open_journal(tmp_path)
    assert path.read_bytes() == newer
    assert folder_can_be_locked(tmp_path), "the refused journal kept the lock on the folder"


def folder_can_be_locked(folder):
    files = Files(folder)
    held = files.lock("lock")
    files.unlock()
    return held


def test_the_file_of_another_journal_is_refused(tmp_path):
    one, other = tmp_path / "one", tmp_path / "other"
    one.mkdir()
    other.mkdir()
    filled_journal(one).close()
    journal = filled_journal(other)
    journal.roll()
    journal.record_accepted(entry(7))
    journal.flush()
    journal.close()
    shutil.copy(segments(other)[1], one)
    with pytest.raises(JournalError, match="another journal"):
        open_journal(one)


def test_a_second_process_on_the_folder_is_refused(tmp_path):
    journal = filled_journal(tmp_path)
    with pytest.raises(JournalError, match="held by another process: stop that one first"):
        open_journal(tmp_path)
    journal.close()
    open_journal(tmp_path).close()


def test_the_journal_of_json_lines_is_migrated(tmp_path):
    # Written by the build before the binary format; its last record is torn.
    shutil.copy(JSON_LINES, tmp_path / "journal")
    journal = open_journal(tmp_path)
    assert sorted(journal.live) == [1, 2, 3, 4] and journal.report.migrated == 4
    one, two, three, four = (journal.live[number] for number in range(1, 5))
    assert one.body == b"\x00\r\n\xff" and one.ran == ("e1", 1000.0) and one.out == {1: ("e2", 1003.0)}
    assert two.key == 0x9B1F03AA5C7E2D419B1F03AA5C7E2D41 and two.again and two.cls == "note"
    assert two.first_run is None and two.attempts == 1
    assert three.notice == ("bounced", 300.0) and three.body == b""
    assert four.body == b"x" * 300 and four.out == {0: ("e3", 1004.0)}
    assert journal.cold == {"e1": 2.5}
    assert not (tmp_path / "journal").exists()
    before = journal.live
    again = reopen(journal)
    assert again.live == before and again.cold == {"e1": 2.5} and not again.report.migrated


def test_until_migration_is_complete_the_old_file_alone_counts(tmp_path):
    shutil.copy(JSON_LINES, tmp_path / "journal")
    journal = open_journal(tmp_path)
    before = journal.live
    journal.close()
    (path,) = segments(tmp_path)
    path.write_bytes(path.read_bytes()[:100])  # as if killed in the migration, with the old file still there
    shutil.copy(JSON_LINES, tmp_path / "journal")
    assert open_journal(tmp_path).live == before


def test_the_folder_stays_within_its_disk_with_compaction_at_work(tmp_path):
    files = CountingFiles(tmp_path, DISK)
    journal = open_journal(tmp_path, files=files)
    accepted, chance = [], random.Random(4)
    for number in range(3000):
        if journal.has_room(500):
            journal.record_accepted(entry(number, bytes(500)))
            accepted.append(number)
        else:
            journal.record_end(accepted.pop(chance.randrange(len(accepted))))
        journal.flush()
    assert 0.5 * DISK < files.most <= DISK
    assert len(accepted) * 900 > 0.35 * DISK, "far fewer messages were accepted than fit the disk"
    assert journal.used == sum(allocated_size(size) for size in files.names().values()), (
        "the tracked size differs from the files"
    )
    assert sorted(reopen(journal).live) == accepted


def test_a_write_that_failed_leaves_no_gap_and_goes_first_at_the_next_flush(tmp_path):
    journal = filled_journal(tmp_path)
    journal.files = FailingFiles(tmp_path, 1, 3, short=True)
    journal.record_accepted(entry(3))
    with pytest.raises(OSError, match="No space"):
        journal.flush()
    assert journal.has_unwritten_records and not journal.has_room(1)
    journal.record_accepted(entry(4))
    journal.files = Files(tmp_path)
    journal.flush()
    assert not journal.has_unwritten_records
    live = journal.live
    again = open_read_only(tmp_path)
    assert again.live == live and again.report.clean and 3 in live


def test_a_torn_end_that_cannot_be_truncated_is_no_damage(tmp_path):
    # Half of the data is written, then both the rest and the truncation fail.
    journal = filled_journal(tmp_path)
    journal.files = FailingFiles(tmp_path, 1, 4, short=True)
    journal.record_accepted(entry(3))
    with pytest.raises(OSError, match="No space"):
        journal.flush()
    journal.files = Files(tmp_path)
    journal.flush()
    assert len(segments(tmp_path)) == 2
    again = open_read_only(tmp_path)
    assert sorted(again.live) == [1, 2, 3] and again.report.clean and again.report.torn


def test_of_a_message_that_was_never_written_nothing_is_written_at_its_end(tmp_path):
    journal = filled_journal(tmp_path)
    size = segments(tmp_path)[0].stat().st_size
    journal.record_accepted(entry(3))
    journal.record_end(3)
    journal.flush()
    assert segments(tmp_path)[0].stat().st_size == size


def test_a_full_disk_still_takes_ends_from_the_reserve(tmp_path):
    # The disk is full of other files: accepted messages must still end, and their ends must be recorded.
    files = FullFiles(tmp_path, DISK)
    journal = open_journal(tmp_path, files=files)
    for number in range(20):
        journal.record_accepted(entry(number, bytes(500)))
    journal.flush()
    files.room = sum(allocated_size(size) for size in files.names().values())
    journal.record_accepted(entry(20, bytes(2000)))
    with pytest.raises(OSError, match="No space"):
        journal.flush()
    journal.record_end(20)
    for number in range(20):
        journal.record_notice(number, "dead", 0.0)
        journal.flush()
    assert [message.notice for message in open_read_only(tmp_path).live.values()] == [("dead", 0.0)] * 20
    assert not journal.has_room(1), "nothing is accepted until the reserve is back"


def test_the_reserve_comes_back_with_the_space(tmp_path):
    now = [0.0]
    files = FullFiles(tmp_path, DISK)
    journal = open_journal(tmp_path, files=files, clock=lambda: now[0])
    assert journal.has_room(1)
    journal.free_space()
    files.room = 0.0
    now[0] = 10.0
    assert not journal.has_room(1)
    files.room = DISK
    assert not journal.has_room(1), "allocation must not be tried at every message"
    now[0] = 20.0
    assert journal.has_room(1)


def test_a_restart_on_a_full_disk_keeps_what_is_live(tmp_path):
    journal = open_journal(tmp_path)
    for number in range(100):
        journal.record_accepted(entry(number, bytes(500)))
    journal.flush()
    journal.close()
    files = FullFiles(tmp_path, 0.0)
    again = open_journal(tmp_path, files=files)
    assert len(again.live) == 100
    again.record_end(5)
    with pytest.raises(OSError, match="No space"):
        again.flush()
    files.room = DISK
    again.flush()
    assert len(reopen(again).live) == 99


def test_many_restarts_do_not_leave_many_files(tmp_path):
    journal = open_journal(tmp_path)
    journal.record_accepted(entry(1))
    for number in range(2, 200):
        journal.record_accepted(entry(number))
        journal.record_end(number)
        journal.flush()
        journal.record_accepted(entry(1000 + number, b""))
        journal.flush()
        journal.record_end(1000 + number)
        journal.flush()
        journal = reopen(journal)
    assert list(journal.live) == [1] and len(segments(tmp_path)) < 70


def test_a_hundred_thousand_live_messages_come_back(tmp_path):
    journal = open_journal(tmp_path, disk=200e6)
    for number in range(100_000):
        journal.record_accepted(entry(number, b"%064d" % number))
        if number % 500 == 0:
            journal.flush()
    journal.flush()
    assert len(segments(tmp_path)) > 1
    again = reopen(journal, disk=200e6)
    assert len(again.live) == 100_000 and again.live[99_999].body == b"%064d" % 99_999
    assert again.report.clean


STEPS = st.lists(
    st.tuples(
        st.sampled_from("accept attempt outcome notice end flush compact roll reopen".split()),
        st.integers(0, 3),
    ),
    max_size=60,
)


@given(STEPS, st.sampled_from(Sync))
@settings(derandomize=True, deadline=None, max_examples=150)
def test_replay_gives_what_is_live_after_any_history(tmp_path_factory, steps, sync):
    folder = tmp_path_factory.mktemp("journal")
    journal = Journal(folder, DISK, sync)
    for step, number in steps:
        message = journal.live.get(number)
        if step == "accept" and message is None:
            journal.record_accepted(entry(number))
        elif step == "attempt" and message:
            journal.record_attempt(number, message.attempts, "e1", 1000.0 + message.attempts)
        elif step == "outcome" and message and message.out:
            journal.record_outcome(number, min(message.out), number % 2 == 0)
        elif step == "notice" and message and not message.notice:
            journal.record_notice(number, "dead", 0.0)
        elif step == "end" and message:
            journal.record_end(number)
        elif step in ("flush", "compact", "roll", "reopen"):
            journal.flush()
            if step == "compact":
                journal.compact()
            elif step == "roll" and journal.segments:
                journal.roll()
            elif step == "reopen":
                live = journal.live
                journal.close()
                journal = Journal(folder, DISK, sync)
                assert journal.live == live
    journal.flush()
    live, size = journal.live, journal.live_bytes
    journal.close()
    again = Journal(folder, DISK, sync)
    assert again.live == live and again.live_bytes == size and again.report.clean
    again.close()


def test_an_id_reused_while_its_first_message_has_a_pending_notice_is_another_message(tmp_path):
    # The end of the first must not end the second, and `live_bytes` must not leak.
    journal = open_journal(tmp_path)
    empty = journal.live_bytes
    first, second = entry(1), entry(2)
    second.id = first.id
    journal.record_accepted(first)
    journal.record_notice(1, "dead", 0.0)
    journal.record_accepted(second)
    journal.flush()
    journal.record_end(1)
    journal.flush()
    again = reopen(journal)
    assert list(again.live) == [2] and again.live[2].body == second.body
    again.record_end(2)
    assert again.live_bytes == empty


def test_what_is_cold_is_kept_until_it_is_warm(tmp_path):
    journal = filled_journal(tmp_path)
    journal.record_cold("e1", 2.5)
    journal.record_cold("e2", 1.0)
    journal.record_warm("e2")
    journal.flush()
    again = reopen(journal)
    assert again.cold == {"e1": 2.5}
    again.compact()
    again = reopen(again)
    assert again.cold == {"e1": 2.5}, "lost by compaction"
    again.record_warm("e1")
    again.flush()
    assert reopen(again).cold == {}


def test_a_step_of_compaction_is_bounded(tmp_path):
    # A step must not stall the event loop, however many messages are live.
    journal = open_journal(tmp_path, disk=50e6)
    for number in range(2000):
        journal.record_accepted(entry(number, bytes(100)))
    journal.flush()
    journal.roll()
    sizes = []
    write = journal.files.write

    def recording_write(fd, data):
        sizes.append(len(data))
        return write(fd, data)

    journal.files.write = recording_write
    journal.step()
    assert len(sizes) == 1 and sizes[0] < 128 * 250


def test_errors_of_compaction_do_not_stop_live_work(tmp_path):
    files = CountingFiles(tmp_path, 60_000)
    journal = open_journal(tmp_path, disk=60_000, files=files)
    for number in range(40):
        journal.record_accepted(entry(number, bytes(300)))
    journal.flush()

    def failing_unlink(name):
        raise OSError(errno.EIO, "injected disk error")

    files.unlink = failing_unlink
    for number in range(40):
        journal.record_end(number)
        journal.record_accepted(entry(100 + number, bytes(300)))
        journal.flush()
    assert sorted(open_read_only(tmp_path).live) == list(range(100, 140))


@pytest.mark.parametrize("live", [1, 300])
def test_a_start_reads_a_bounded_number_of_records_however_large_the_disk(tmp_path, live):
    # Otherwise a start would replay megabytes of small records, most of them obsolete.
    journal = Journal(tmp_path, 16e6)
    for number in range(1, live + 1):
        journal.record_accepted(JournalEntry(number, b"m%d" % number, "note", 7, 4e9, b"x"))
    most = 0
    for turn in range(20_000):
        journal.record_attempt(turn % live + 1, turn, "e1", 1000.0)
        journal.record_outcome(turn % live + 1, turn, False)
        journal.flush()
        most = max(most, journal.sequence - journal.segments[0].base)
    attempts = {number: message.attempts for number, message in journal.live.items()}
    journal.close()
    again = Journal(tmp_path, 16e6, writable=False)
    assert {number: message.attempts for number, message in again.live.items()} == attempts
    assert again.report.records <= most and again.report.clean
    bound = store.MAX_REPLAY_RECORDS + store.MAX_REPLAY_RECORDS_PER_ENTRY * live
    assert most <= bound + live + 2 * store.MAX_SEGMENT_RECORDS
