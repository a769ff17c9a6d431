"""The boot id of the machine."""

from __future__ import annotations

from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")  # a new id means that the monotonic clock restarted


def boot_id() -> str:
    """The kernel's boot id; empty if it cannot be read."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""
