"""Reads the journal of builds before the binary format, a file `journal` of JSON lines, for migration. A line
is the CRC-32 of its text in hex, a space, and a JSON list that begins with the kind of event."""

from __future__ import annotations

import base64
import json
import logging
import zlib
from typing import Any

from rushhitch.journal.format import JournalEntry

log = logging.getLogger(__name__)

NAME, DRAFT = "journal", "journal.new"


def read(data: bytes) -> tuple[dict[int, JournalEntry], dict[str, float], int]:
    """The live messages, the cold endpoints, and the number of unreadable records skipped."""
    live: dict[int, JournalEntry] = {}
    cold: dict[str, float] = {}
    bad = 0
    lines = data.split(b"\n")
    lines.pop()  # empty, or the incomplete last record of a killed process
    for line in lines:
        if not line:
            continue
        try:
            apply(live, cold, *record(line))
        except (ValueError, TypeError, KeyError) as error:
            bad += 1
            log.warning("JSON journal: skipping an unreadable record: %s: %s", type(error).__name__, error)
    return live, cold, bad


def record(line: bytes) -> list[Any]:
    crc, _, text = line.partition(b" ")
    if len(crc) != 8 or int(crc, 16) != zlib.crc32(text):
        raise ValueError("checksum mismatch")
    return json.loads(text)


def apply(live: dict[int, JournalEntry], cold: dict[str, float], what: str, subject: Any, *rest: Any) -> None:
    if what == "cold":
        cold[subject] = float(rest[0])
    elif what == "warm":
        cold.pop(subject, None)
    elif what == "take":
        name, cls, destination, deadline, key, again, body = rest
        body = base64.b64decode(body)
        live[subject] = JournalEntry(
            subject, name.encode("latin-1"), cls, destination, deadline, body, key, again
        )
    elif what == "try":
        number, endpoint, at = rest
        entry = live[subject]
        entry.out[number] = (endpoint, at)
        entry.attempts = max(entry.attempts, number + 1)
    elif what == "got":
        number, may_have_run = rest
        entry = live[subject]
        where = entry.out.pop(number)
        if may_have_run and (entry.ran is None or where[1] < entry.ran[1]):
            entry.ran = where
    elif what == "sum":
        entry = live[subject]
        entry.attempts, ran = rest
        entry.ran = tuple(ran) if ran else None
    elif what == "owe":
        live[subject].notice = (rest[0], rest[1])
        live[subject].body = b""
    elif what == "end":
        del live[subject]
    else:
        raise ValueError(f"unknown kind of record {what!r}")
