"""The command `python -m rushhitch journal`: inspect, verify and compact."""

import subprocess
import sys

from doubles import ROOT

from rushhitch.cli import main
from rushhitch.journal import Journal, JournalEntry


def journal_with(folder, *numbers):
    journal = Journal(folder, 1e6)
    for number in numbers:
        journal.record_accepted(
            JournalEntry(
                number, b"m%d" % number, "pay", 7, 2_000_000_000.0, b"body", accepted_at=1_700_000_000.0
            )
        )
    journal.flush()
    return journal


def test_inspect_shows_live_messages_attempts_and_pending_results(tmp_path, capsys):
    journal = journal_with(tmp_path, 1, 2, 3)
    journal.record_attempt(1, 0, "e1", 1_700_000_001.0)
    journal.record_attempt(2, 0, "e2", 1_700_000_001.0)
    journal.record_outcome(2, 0, False)
    journal.record_notice(3, "bounced", 300.0)
    journal.record_cold("e2", 2.5)
    journal.flush()
    assert main(["journal", "inspect", str(tmp_path)]) == 0, "must work while a dispatcher holds the journal"
    output = capsys.readouterr().out
    lines = {line.split()[0]: line for line in output.splitlines()[1:4]}
    assert "out at e1 for" in lines["1"] and "its end" in lines["1"]
    assert "1x, proven not to have run" in lines["2"]
    assert "notice bounced, come back after 300 ms" in lines["3"]
    assert "3 live messages; 1 segments" in output and "cold: e2, took 2.50 calls a second" in output
    journal.close()


def test_verify_fails_on_damage_and_passes_on_a_torn_end(tmp_path, capsys):
    journal_with(tmp_path, 1, 2, 3).close()
    assert main(["journal", "verify", str(tmp_path)]) == 0
    assert "3 live messages" in capsys.readouterr().out
    path = next(path for path in tmp_path.iterdir() if path.name.startswith("segment-"))
    data = path.read_bytes()
    path.write_bytes(data[:-3])
    assert main(["journal", "verify", str(tmp_path)]) == 0
    assert "torn ends" in capsys.readouterr().out
    path.write_bytes(data.replace(b"m2", b"m9"))
    assert main(["journal", "verify", str(tmp_path)]) == 1
    output = capsys.readouterr().out
    assert "1 records are lost" in output and "DAMAGED" in output
    assert path.read_bytes() == data.replace(b"m2", b"m9"), "verify must not change the files"


def test_compact_requires_the_dispatcher_to_be_stopped(tmp_path, capsys):
    journal = journal_with(tmp_path, *range(500))
    for number in range(400):
        journal.record_end(number)
    journal.flush()
    assert main(["journal", "compact", str(tmp_path)]) == 2
    assert "held by another process: stop that one first" in capsys.readouterr().err
    before = journal.used
    journal.close()
    assert main(["journal", "compact", str(tmp_path)]) == 0
    after = Journal(tmp_path, 1e6)
    assert sorted(after.live) == list(range(400, 500)) and after.used < before
    after.close()


def test_a_missing_folder_is_reported_with_exit_code_2(tmp_path):
    command = [sys.executable, "-m", "rushhitch", "journal", "inspect", str(tmp_path / "none")]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert ended.returncode == 2 and "is not a folder: name $ROUTER_STATE" in ended.stderr
