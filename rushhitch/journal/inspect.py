"""A journal as text, for people: what is live and what is wrong."""

from __future__ import annotations

from rushhitch.journal.format import JournalEntry
from rushhitch.journal.replay import Report
from rushhitch.journal.store import Journal


def span(seconds: float) -> str:
    """A duration to two figures or so: 0.4s, 12s, 3m20s, 2h05m."""
    sign, seconds = "-" if seconds < 0 else "", abs(seconds)
    if seconds < 10:
        return f"{sign}{seconds:.1f}s"
    if seconds < 60:
        return f"{sign}{seconds:.0f}s"
    if seconds < 3600:
        return f"{sign}{int(seconds // 60)}m{int(seconds % 60):02d}s"
    return f"{sign}{int(seconds // 3600)}h{int(seconds % 3600 // 60):02d}m"


def owed(kept: JournalEntry) -> str:
    if kept.notice is not None:
        result, wait = kept.notice
        if result in ("delivered", "failed"):
            return f"nothing: remembered as {result}"
        return f"notice {result}" + (f", come back after {wait:.0f} ms" if wait else "")
    return "its end"


def tried(kept: JournalEntry, now: float) -> str:
    if not kept.attempts:
        return "never"
    told = [f"{kept.attempts}x"]
    for number, (where, at) in kept.out.items():
        state = "answered, to be acknowledged by" if number == kept.awaiting_ack else "out at"
        told.append(f"{state} {where} for {span(now - at)}")
    if kept.ran is not None:
        where, at = kept.ran
        told.append(f"may have run at {where or 'an unknown place'} {span(now - at)} ago")
    elif not kept.out:
        told.append("proven not to have run")
    return ", ".join(told)


def table(journal: Journal, now: float) -> str:
    """One line for each live message, and what the folder holds."""
    rows = [("number", "id", "class", "dest", "since", "time left", "bytes", "tried", "owed")]
    for kept in journal.entries():
        since = span(now - kept.accepted_at) if kept.accepted_at else "?"
        left = span(kept.deadline - now)
        name = kept.id.decode("latin-1")
        rows.append(
            (
                str(kept.number),
                name,
                kept.cls,
                str(kept.destination),
                since,
                left,
                str(len(kept.body)),
                tried(kept, now),
                owed(kept),
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


def damage(report: Report) -> list[str]:
    """What replay found wrong, a line each."""
    lines = [f"{name}: its header is damaged" for name in report.unreadable]
    if report.damaged:
        lines.append(f"{report.damaged} bytes in the middle of segments make no record")
    if report.lost:
        lines.append(f"{report.lost} records are lost, by their sequence numbers")
    if report.doubted:
        lines.append(f"{report.doubted} live messages may have lost an attempt and count as possibly run")
    return lines
