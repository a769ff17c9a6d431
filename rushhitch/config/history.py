"""Which settings were in force from which message on: what open messages were taken under, over reloads and
restarts, and the last file that made sense. No I/O; the content goes into a small file beside the journal."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from crowpier.benchlink import parse_settings
from crowpier.interface import Settings, Terms


@dataclass(frozen=True, slots=True)
class Period:
    """From message number `since` on these settings held; `told` is how the file had them."""

    since: int
    told: dict[str, Any]
    settings: Settings


class SettingsHistory:
    """Periods in order, the newest last, and the file that brought the newest."""

    def __init__(self) -> None:
        self.periods: list[Period] = []
        self.last: dict[str, Any] = {}  # without its settings, which are those of the newest period

    @classmethod
    def decode(cls, content: bytes | None) -> SettingsHistory:
        """What `content` says; an empty history for None. Raises `ValueError` where it makes no sense."""
        history = cls()
        if content is None:
            return history
        try:
            told = json.loads(content)
            history.last = dict(told["last"])
            for since, settings in told["periods"]:
                made = parse_settings(json.dumps(settings).encode())
                history.periods.append(Period(int(since), settings, made))
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"the history of settings makes no sense: {error!r}") from None
        return history

    def encode(self) -> bytes:
        periods = [(period.since, period.told) for period in self.periods]
        return json.dumps({"last": self.last, "periods": periods}, separators=(",", ":")).encode()

    def newest_file(self) -> dict[str, Any] | None:
        """The last file that made sense; None where none is known."""
        return self.last | {"settings": self.periods[-1].told} if self.periods else None

    def with_change(self, told: dict[str, Any], settings: Settings, since: int) -> SettingsHistory:
        """This history, and a file that is in force from that message on."""
        after = SettingsHistory()
        after.last = {key: value for key, value in told.items() if key != "settings"}
        after.periods = [period for period in self.periods if period.since < since]
        if not after.periods or after.periods[-1].told != told["settings"]:
            after.periods.append(Period(since, told["settings"], settings))
        return after

    def pruned(self, oldest: int) -> SettingsHistory:
        """Without periods of which no message is left: `oldest` is the lowest number of those that are."""
        after = SettingsHistory()
        after.last = self.last
        ends = [period.since for period in self.periods[1:]]
        gone = sum(1 for end in ends if end <= oldest)
        after.periods = self.periods[gone:]
        return after

    def terms_of(self, number: int, cls: str) -> Terms | None:
        """What the message of that number and class was taken under; None where that is not known."""
        for period in reversed(self.periods):
            if period.since <= number:
                for held in period.settings.classes:
                    if held.name == cls:
                        return Terms(held, period.settings.max_attempts)
                return None
        return None


def missing_key(new: Any, old: Any, groups: int = 2) -> str:
    """The first key that `old` has and `new` lacks, in so many levels of groups; empty if there is none.
    Guards against a file that was cut short by hand and is whole JSON all the same."""
    for key, value in old.items():
        if key not in new:
            return str(key)
        if isinstance(value, dict) and groups:
            if not isinstance(new[key], dict):
                return str(key)
            if missing := missing_key(new[key], value, groups - 1):
                return f"{key}.{missing}"
    return ""
