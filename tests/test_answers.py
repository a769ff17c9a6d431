"""The answer file, and how a start classifies messages that were recorded before their answers."""

import errno

import pytest

from rushhitch.journal import Journal, JournalEntry
from rushhitch.journal import format as form
from rushhitch.journal.answers import NAME, SIZE, Answered, Marks, content, read_marks
from rushhitch.journal.files import Files
from rushhitch.journal.store import RESERVE_RETRY_S

BOOT = "this run"


def entry(number):
    return JournalEntry(number, b"m%d" % number, "pay", 7, 2e9, b"a body", accepted_at=1.9e9)


def open_journal(folder, boot=BOOT, **options):
    return Journal(folder, 1e6, boot=boot, **options)


def killed_after_answers(folder, answered, answering=0, count=4):
    """A process that recorded `count` messages and was killed after that answer, or during `answering`."""
    journal = open_journal(folder)
    for number in range(1, count + 1):
        journal.record_received(entry(number))
    journal.flush()
    for number in range(1, answered + 1):
        journal.begin_answer(number)
        journal.finish_answer(number)
    if answering:
        journal.begin_answer(answering)
    journal.close()


def test_marks_say_which_answers_are_settled_in_progress_or_not_begun():
    marks = Marks(bytes(8), 3, 5)
    states = [marks.state(number) for number in range(1, 8)]
    assert states == [Answered.YES] * 3 + [Answered.IN_DOUBT] * 2 + [Answered.NO] * 2


def test_marks_that_are_damaged_or_of_another_journal_are_ignored():
    data = content(b"i" * 16, Marks(b"b" * 8, 3, 5))
    assert len(data) == SIZE and read_marks(data, b"i" * 16) == Marks(b"b" * 8, 3, 5)
    assert read_marks(data, b"j" * 16) is None
    assert read_marks(data[:-1], b"i" * 16) is None
    assert read_marks(b"x" + data[1:], b"i" * 16) is None
    assert read_marks(data[:30] + b"x" + data[31:], b"i" * 16) is None


@pytest.mark.parametrize(
    ("answered", "answering", "live", "in_doubt"),
    [(0, 0, [], []), (0, 1, [1], [1]), (2, 0, [1, 2], []), (2, 3, [1, 2, 3], [3]), (4, 0, [1, 2, 3, 4], [])],
)
def test_a_start_keeps_answered_messages_drops_unanswered_ones_and_reports_those_in_doubt(
    tmp_path, answered, answering, live, in_doubt
):
    killed_after_answers(tmp_path, answered, answering)
    for _ in range(3):  # a start that is killed at once does not change the result
        journal = open_journal(tmp_path)
        assert (sorted(journal.live), journal.in_doubt) == (live, in_doubt)
        assert journal.highest >= max([*live, answered, answering]), "a message number would be reused"
        journal.close()


def test_what_is_in_doubt_stays_so_until_its_refusal_is_recorded(tmp_path):
    killed_after_answers(tmp_path, 1, 2)
    journal = open_journal(tmp_path)
    journal.record_received(entry(9))
    journal.record_notice(2, "bounced", 500.0)
    journal.begin_answer(9)  # the refusal is written first
    journal.finish_answer(9)
    journal.close()
    journal = open_journal(tmp_path)
    assert journal.in_doubt == [] and journal.live[2].notice == ("bounced", 500.0) and 9 in journal.live


def test_an_end_goes_to_the_disk_before_a_later_answer_is_begun(tmp_path):
    # Otherwise a refused message would count as answered, since a later one was.
    journal = open_journal(tmp_path)
    for number in (1, 2):
        journal.record_received(entry(number))
    journal.flush()
    journal.record_end(1)  # its client was refused
    journal.begin_answer(2)
    journal.close()
    assert sorted(open_journal(tmp_path, writable=False).live) == [2]


@pytest.mark.parametrize("lost", ["lost", "damaged", "another run of the machine", "a run that is not known"])
def test_without_valid_marks_all_messages_recorded_before_their_answer_are_in_doubt(tmp_path, lost):
    killed_after_answers(tmp_path, 2, 3)
    boot, answered = BOOT, [1, 2]
    if lost == "lost":
        (tmp_path / NAME).unlink()
        answered = []
    elif lost == "damaged":
        (tmp_path / NAME).write_bytes(bytes(SIZE))
        answered = []
    else:
        boot = "another" if lost == "another run of the machine" else ""
    rest = [number for number in (1, 2, 3, 4) if number not in answered]
    for _ in range(2):
        journal = open_journal(tmp_path, boot)
        assert (sorted(journal.live), journal.in_doubt) == ([1, 2, 3, 4], rest)
        journal.close()


def test_compaction_keeps_what_is_known_of_an_answer(tmp_path):
    killed_after_answers(tmp_path, 1, 2)
    journal = open_journal(tmp_path)
    journal.roll()
    journal.step()  # copies both; the one in doubt keeps its flag
    journal.remove_dead_segments()
    journal.close()
    journal = open_journal(tmp_path)
    assert (sorted(journal.live), journal.in_doubt) == ([1, 2], [2])


def test_nothing_is_accepted_without_the_file_which_is_reopened_when_the_disk_recovers(tmp_path, monkeypatch):
    now, failing = [100.0], [True]
    write_at = Files.write_at

    def fails(self, fd, data, offset):
        if failing[0]:
            raise OSError(errno.EIO, "injected disk error")
        write_at(self, fd, data, offset)

    monkeypatch.setattr(Files, "write_at", fails)
    journal = Journal(tmp_path, 1e6, clock=lambda: now[0], boot=BOOT)
    assert not journal.has_room(10)
    failing[0] = False
    now[0] += RESERVE_RETRY_S
    assert journal.has_room(10)
    journal.record_received(entry(1))
    failing[0] = True
    with pytest.raises(OSError):
        journal.begin_answer(1)
    failing[0] = False
    journal.close()
    assert not open_journal(tmp_path, writable=False).live, "its client was not answered"


def test_an_unanswered_message_differs_in_one_flag_that_earlier_builds_ignore():
    plain, early = (form.message_payload(entry(1), early) for early in (False, True))
    differ = [(one, other) for one, other in zip(plain, early, strict=True) if one != other]
    assert differ == [(0, form.UNANSWERED)]
    assert form.read_message(early, {}) == form.read_message(plain, {})
    assert form.is_unanswered(early) and not form.is_unanswered(plain)


def test_segments_without_syncs_stay_of_the_version_that_earlier_builds_read(tmp_path):
    killed_after_answers(tmp_path, 2, 3)
    (segment,) = sorted(tmp_path.glob("segment-*"))
    data = segment.read_bytes()
    assert form.HEADER.unpack_from(data)[1] == form.VERSION_WITHOUT_RECEIVED
    kinds = {kind for _, kind, _ in form.records(data, form.Scan())}
    assert kinds == {form.MESSAGE}
