"""Formats a journal for operators: live messages and damage."""

from __future__ import annotations

from rushhitch.journal.format import JournalEntry
from rushhitch.journal.replay import ReplayReport
from rushhitch.journal.store import Journal


def format_duration(seconds: float) -> str:
    """A duration in about two units or digits: 0.4s, 12s, 3m20s, 2h05m."""
    sign, seconds = "-" if seconds < 0 else "", abs(seconds)
    if seconds < 10:
        return f"{sign}{seconds:.1f}s"
    if seconds < 60:
        return f"{sign}{seconds:.0f}s"
    if seconds < 3600:
        return f"{sign}{int(seconds // 60)}m{int(seconds % 60):02d}s"
    return f"{sign}{int(seconds // 3600)}h{int(seconds % 3600 // 60):02d}m"


def pending_result(entry: JournalEntry) -> str:
    if entry.notice is not None:
        result, wait = entry.notice
        if result in ("delivered", "failed"):
            return f"nothing: remembered as {result}"
        return f"notice {result}" + (f", come back after {wait:.0f} ms" if wait else "")
    return "its end"


def attempts_text(entry: JournalEntry, now: float) -> str:
    if not entry.attempts:
        return "never"
    parts = [f"{entry.attempts}x"]
    for number, (location, at) in entry.out.items():
        state = "answered, to be acknowledged by" if number == entry.awaiting_ack else "out at"
        parts.append(f"{state} {location} for {format_duration(now - at)}")
    if entry.ran is not None:
        location, at = entry.ran
        parts.append(f"may have run at {location or 'an unknown place'} {format_duration(now - at)} ago")
    elif not entry.out:
        parts.append("proven not to have run")
    return ", ".join(parts)


def table(journal: Journal, now: float) -> str:
    """One line per live message, then totals, cold endpoints and damage. `now` is Unix time in seconds."""
    rows = [("number", "id", "class", "dest", "since", "time left", "bytes", "tried", "owed")]
    for entry in journal.entries():
        since = format_duration(now - entry.accepted_at) if entry.accepted_at else "?"
        left = format_duration(entry.deadline - now)
        name = entry.id.decode("latin-1")
        rows.append(
            (
                str(entry.number),
                name,
                entry.cls,
                str(entry.destination),
                since,
                left,
                str(len(entry.body)),
                attempts_text(entry, now),
                pending_result(entry),
            )
        )
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    ]
    lines.append("")
    held = f"{len(journal.segments)} segments; {journal.used} bytes in the folder"
    lines.append(f"{len(journal.live)} live messages; {held}")
    lines += [f"cold: {endpoint}, took {pace:.2f} calls a second" for endpoint, pace in journal.cold.items()]
    return "\n".join(lines + damage(journal.report))


def damage(report: ReplayReport) -> list[str]:
    """One line per kind of damage found by replay."""
    lines = [f"{name}: its header is damaged" for name in report.unreadable]
    if report.damaged:
        lines.append(f"{report.damaged} bytes in the middle of segments make no record")
    if report.lost:
        lines.append(f"{report.lost} records are lost, by their sequence numbers")
    if report.possibly_run:
        lines.append(
            f"{report.possibly_run} live messages may have lost an attempt and count as possibly run"
        )
    return lines
