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
    unreadable = 0
    lines = data.split(b"\n")
    lines.pop()  # empty, or the incomplete last record of a killed process
    for line in lines:
        if not line:
            continue
        try:
            apply(live, cold, *record(line))
        except (ValueError, TypeError, KeyError) as error:
            unreadable += 1
            log.warning("JSON journal: skipping an unreadable record: %s: %s", type(error).__name__, error)
    return live, cold, unreadable


def record(line: bytes) -> list[Any]:
    crc, _, text = line.partition(b" ")
    if len(crc) != 8 or int(crc, 16) != zlib.crc32(text):
        raise ValueError("checksum mismatch")
    return json.loads(text)


def apply(live: dict[int, JournalEntry], cold: dict[str, float], kind: str, target: Any, *rest: Any) -> None:
    if kind == "cold":
        cold[target] = float(rest[0])
    elif kind == "warm":
        cold.pop(target, None)
    elif kind == "take":
        name, cls, destination, deadline, key, again, body = rest
        body = base64.b64decode(body)
        live[target] = JournalEntry(
            target, name.encode("latin-1"), cls, destination, deadline, body, key, again
        )
    elif kind == "try":
        number, endpoint, at = rest
        entry = live[target]
        entry.out[number] = (endpoint, at)
        entry.attempts = max(entry.attempts, number + 1)
    elif kind == "got":
        number, may_have_run = rest
        entry = live[target]
        start = entry.out.pop(number)
        if may_have_run and (entry.ran is None or start[1] < entry.ran[1]):
            entry.ran = start
    elif kind == "sum":
        entry = live[target]
        entry.attempts, ran = rest
        entry.ran = tuple(ran) if ran else None
    elif kind == "owe":
        live[target].notice = (rest[0], rest[1])
        live[target].body = b""
    elif kind == "end":
        del live[target]
    else:
        raise ValueError(f"unknown kind of record {kind!r}")
