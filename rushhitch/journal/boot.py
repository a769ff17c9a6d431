"""Which run of the machine this is."""

from __future__ import annotations

from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")  # another one, and the monotonic clock began anew


def boot_id() -> str:
    """The name of this run of the machine; empty where the system does not tell."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""
