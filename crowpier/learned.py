"""What a dispatcher has learned, in plain values for the process that comes after it. No decisions, no I/O.

Times go as they stand on the dispatcher's clock, with its `now`; who takes them up says how far its own clock
is ahead, so that the same values serve a successor on the same machine and one that starts later.
"""

from __future__ import annotations

from typing import Any, Protocol

from crowpier.interface import Settings

FLOW = ("count", "at", "since")
LANE = ("wait_until", "next_at", "cut_at", "pace", "known", "fulls", "told_rate")
LANE += ("strikes", "answered_at", "served_at", "unheard_at")
ENDPOINT = ("score", "scored_at", "strikes", "struck_at", "warm", "warm_at", "tripped", "opens_at")
ENDPOINT += ("answered_at", "failed_at", "cold", "served_at", "blamed")
TIMES = {"at", "since"}  # beside those that end in `_at` or `_until`


class Knower(Protocol):
    """What is read of the decisions, and set in them; lanes, flows and endpoints by the names above."""

    settings: Settings
    now: float
    expected_ms: dict[str, Any]
    keep: float
    keep_at: float
    quotas: list[float]
    destinations: dict[int, Any]
    returns: set[str]
    turns: dict[int, Any]
    lanes: dict[int | str, Any]
    endpoints: dict[str, Any]

    def turn(self, key: int) -> Any:
        """The turn of that key of order, made where there is none."""


def is_time(name: str) -> bool:
    return name in TIMES or name.endswith(("_at", "_until"))


def values(thing: object, names: tuple[str, ...]) -> list[Any]:
    return [getattr(thing, name) for name in names]


def put(thing: object, names: tuple[str, ...], told: list[Any], ahead: float) -> None:
    """An earlier version knows fewer names, a later one more: new ones stand at the end."""
    for name, value in zip(names, told, strict=False):
        setattr(thing, name, value + ahead if is_time(name) else value)


def export(dispatcher: Knower) -> dict[str, Any]:
    """All that is worth having: of lanes their limits and waits, of endpoints their health, of classes and
    destinations their usual times, and until when keys of order rest."""
    settle = dispatcher.settings.order_settle_ms
    rests = []
    for key, turn in dispatcher.turns.items():
        out = [m for m in turn.line if m.over and m.out]  # nobody waits for these, but for their effect
        until = max([turn.rests_until, *(dispatcher.now + settle for _ in out)])
        if until > dispatcher.now:
            rests.append((key, until))
    return {
        "now": dispatcher.now,
        "usual": dispatcher.expected_ms,
        "keep": (dispatcher.keep, dispatcher.keep_at),
        "quotas": dispatcher.quotas,
        "stretch": [(number, d.stretch) for number, d in dispatcher.destinations.items()],
        "rests": rests,
        "returns": sorted(dispatcher.returns),
        "lanes": [
            (key, values(lane, LANE), values(lane.sent, FLOW), values(lane.taken, FLOW))
            for key, lane in dispatcher.lanes.items()
        ],
        "endpoints": [(name, values(e, ENDPOINT)) for name, e in dispatcher.endpoints.items()],
    }


def restore(dispatcher: Knower, told: dict[str, Any], ahead_ms: float) -> None:
    """Take it up; what is not listed here any more is left out. A `ValueError` where it makes no sense."""
    try:
        for name, expected_ms in told["usual"].items():
            if name in dispatcher.expected_ms:
                dispatcher.expected_ms[name] = expected_ms
        dispatcher.keep, dispatcher.keep_at = told["keep"][0], told["keep"][1] + ahead_ms
        if len(told["quotas"]) == len(dispatcher.quotas):
            dispatcher.quotas = [until + ahead_ms for until in told["quotas"]]
        for number, stretch in told["stretch"]:
            if number in dispatcher.destinations:
                dispatcher.destinations[number].stretch = stretch
        for key, until in told["rests"]:
            dispatcher.turn(key).rests_until = until + ahead_ms
        dispatcher.returns.update(told["returns"])
        for key, lane_told, sent, taken in told["lanes"]:
            if (lane := dispatcher.lanes.get(key)) is not None:
                put(lane, LANE, lane_told, ahead_ms)
                put(lane.sent, FLOW, sent, ahead_ms)
                put(lane.taken, FLOW, taken, ahead_ms)
        for name, endpoint_told in told["endpoints"]:
            if (endpoint := dispatcher.endpoints.get(name)) is not None:
                put(endpoint, ENDPOINT, endpoint_told, ahead_ms)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"what was learned before makes no sense: {error!r}") from None
