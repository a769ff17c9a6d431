"""Export and restore of what a dispatcher has learned, as plain values for its successor; no I/O.

Times are those of the exporting dispatcher's clock; the restoring side states how far its own clock is ahead.
So the same values serve a successor on the same machine and one that starts later.
"""

from __future__ import annotations

from typing import Any, Protocol

from crowpier.interface import Settings

# Attributes are exported by position: another build reads them, so the order must stay and new ones go last.
RATE_FIELDS = ("count", "at", "since")
LANE_FIELDS = ("wait_until", "next_at", "cut_at", "pace", "known_rate", "refusals", "advertised_rate")
LANE_FIELDS += ("strikes", "answered_at", "served_at", "connect_unanswered_at")
ENDPOINT_FIELDS = (
    "score",
    "scored_at",
    "strikes",
    "last_strike_at",
    "warm",
    "warm_at",
    "tripped",
    "next_call_at",
)
ENDPOINT_FIELDS += ("answered_at", "failed_at", "cold", "served_at", "at_fault", "tripped_at")
TIMES = {"at", "since"}  # clock times, like all attributes that end in `_at` or `_until`


class LearningDispatcher(Protocol):
    """The state of a dispatcher that is read and set here."""

    settings: Settings
    now: float
    expected_ms: dict[str, Any]
    idle_limit: float
    idle_limit_at: float
    quotas: list[float]
    destinations: dict[int, Any]
    reattached: set[str]
    unlisted_cold: dict[str, float]
    key_queues: dict[int, Any]
    lanes: dict[int | str, Any]
    endpoints: dict[str, Any]

    def key_queue(self, key: int) -> Any:
        """The queue of an ordering key, created where there is none."""


def is_time(name: str) -> bool:
    return name in TIMES or name.endswith(("_at", "_until"))


def get_values(target: object, names: tuple[str, ...]) -> list[Any]:
    return [getattr(target, name) for name in names]


def set_values(target: object, names: tuple[str, ...], values: list[Any], ahead_ms: float) -> None:
    """An older build exports fewer values and a newer one more, so the lengths may differ."""
    for name, value in zip(names, values, strict=False):
        setattr(target, name, value + ahead_ms if is_time(name) else value)


def export(dispatcher: LearningDispatcher) -> dict[str, Any]:
    """Limits and waits of lanes, health of endpoints, call times of classes and destinations, and until when
    ordering keys are paused. Its keys are read by other builds and must stay."""
    settle = dispatcher.settings.order_settle_ms
    pauses = []
    for key, queue in dispatcher.key_queues.items():
        awaited = [m for m in queue.messages if m.closed and m.in_flight]  # answered, effect awaited
        until = max([queue.paused_until, *(dispatcher.now + settle for _ in awaited)])
        if until > dispatcher.now:
            pauses.append((key, until))
    return {
        "now": dispatcher.now,
        "usual": dispatcher.expected_ms,
        "keep": (dispatcher.idle_limit, dispatcher.idle_limit_at),
        "quotas": dispatcher.quotas,
        "stretch": [(number, d.latency_factor) for number, d in dispatcher.destinations.items()],
        "rests": pauses,
        "returns": sorted(dispatcher.reattached),
        "lanes": [
            (
                key,
                get_values(lane, LANE_FIELDS),
                get_values(lane.sent_rate, RATE_FIELDS),
                get_values(lane.served_rate, RATE_FIELDS),
            )
            for key, lane in dispatcher.lanes.items()
        ],
        "endpoints": [(name, get_values(e, ENDPOINT_FIELDS)) for name, e in dispatcher.endpoints.items()],
    }


def restore(dispatcher: LearningDispatcher, state: dict[str, Any], ahead_ms: float) -> None:
    """Restores exported state; unknown lanes and endpoints are skipped. `ValueError` if malformed."""
    try:
        for name, expected_ms in state["usual"].items():
            if name in dispatcher.expected_ms:
                dispatcher.expected_ms[name] = expected_ms
        dispatcher.idle_limit, dispatcher.idle_limit_at = state["keep"][0], state["keep"][1] + ahead_ms
        if len(state["quotas"]) == len(dispatcher.quotas):
            dispatcher.quotas = [until + ahead_ms for until in state["quotas"]]
        for number, factor in state["stretch"]:
            if number in dispatcher.destinations:
                dispatcher.destinations[number].latency_factor = factor
        for key, until in state["rests"]:
            dispatcher.key_queue(key).paused_until = until + ahead_ms
        dispatcher.reattached.update(state["returns"])
        for key, lane_values, sent_values, served_values in state["lanes"]:
            if (lane := dispatcher.lanes.get(key)) is not None:
                set_values(lane, LANE_FIELDS, lane_values, ahead_ms)
                set_values(lane.sent_rate, RATE_FIELDS, sent_values, ahead_ms)
                set_values(lane.served_rate, RATE_FIELDS, served_values, ahead_ms)
        for name, endpoint_values in state["endpoints"]:
            if (endpoint := dispatcher.endpoints.get(name)) is not None:
                set_values(endpoint, ENDPOINT_FIELDS, endpoint_values, ahead_ms)
            elif dict(zip(ENDPOINT_FIELDS, endpoint_values, strict=False))["cold"]:
                dispatcher.unlisted_cold[name] = 0.0  # which rate its lane served is not in its values
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed learned state: {error!r}") from None
