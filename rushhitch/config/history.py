"""History of the settings, by the number of the first message that each version applied to.

A message keeps the settings it was accepted under, across reloads and restarts. The last valid configuration
file is kept as well. No I/O here; the encoded history is stored in a small file beside the journal."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from crowpier.benchlink import parse_settings
from crowpier.interface import Settings, Terms


@dataclass(frozen=True, slots=True)
class Period:
    """The settings in force from message number `since` on; `raw` is their JSON in the configuration file."""

    since: int
    raw: dict[str, Any]
    settings: Settings


class SettingsHistory:
    """Periods, oldest first, and the configuration file of the newest one."""

    def __init__(self) -> None:
        self.periods: list[Period] = []
        self.last: dict[str, Any] = {}  # the file without `settings`, which the newest period holds

    @classmethod
    def decode(cls, content: bytes | None) -> SettingsHistory:
        """Parse an encoded history; None gives an empty one. Raises `ValueError` if it is malformed."""
        history = cls()
        if content is None:
            return history
        try:
            raw = json.loads(content)
            history.last = dict(raw["last"])
            for since, settings in raw["periods"]:
                made = parse_settings(json.dumps(settings).encode())
                history.periods.append(Period(int(since), settings, made))
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"malformed history of settings: {error!r}") from None
        return history

    def encode(self) -> bytes:
        periods = [(period.since, period.raw) for period in self.periods]
        return json.dumps({"last": self.last, "periods": periods}, separators=(",", ":")).encode()

    def newest_file(self) -> dict[str, Any] | None:
        """The last valid configuration file, or None if none is known."""
        return self.last | {"settings": self.periods[-1].raw} if self.periods else None

    def with_change(self, raw: dict[str, Any], settings: Settings, since: int) -> SettingsHistory:
        """A copy of this history in which the file `raw` applies from message number `since` on."""
        after = SettingsHistory()
        after.last = {key: value for key, value in raw.items() if key != "settings"}
        after.periods = [period for period in self.periods if period.since < since]
        if not after.periods or after.periods[-1].raw != raw["settings"]:
            after.periods.append(Period(since, raw["settings"], settings))
        return after

    def pruned(self, oldest: int) -> SettingsHistory:
        """A copy without the periods that end before `oldest`, the lowest number of an open message."""
        after = SettingsHistory()
        after.last = self.last
        ends = [period.since for period in self.periods[1:]]
        expired = sum(1 for end in ends if end <= oldest)
        after.periods = self.periods[expired:]
        return after

    def terms_of(self, number: int, cls: str) -> Terms | None:
        """The class and attempt limit that a message was accepted under; None if they are not known."""
        for period in reversed(self.periods):
            if period.since <= number:
                for cls_settings in period.settings.classes:
                    if cls_settings.name == cls:
                        return Terms(cls_settings, period.settings.max_attempts)
                return None
        return None


def missing_key(new: Any, old: Any, depth: int = 2) -> str:
    """The dotted path of the first key that `old` has and `new` lacks, down to `depth` levels of nested
    objects; empty if there is none. Detects a file that was truncated by hand and still parses as JSON."""
    for key, value in old.items():
        if key not in new:
            return str(key)
        if isinstance(value, dict) and depth:
            if not isinstance(new[key], dict):
                return str(key)
            if missing := missing_key(new[key], value, depth - 1):
                return f"{key}.{missing}"
    return ""
