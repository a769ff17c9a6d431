"""Weights of calls to an endpoint in slow start: its budget counts work, and calls of many messages are more.

Pure functions, without clock or state.
"""

from __future__ import annotations

MESSAGE_WEIGHT = 0.25  # of a call, for each further message in it; the settings do not tell the true one
MAX_CALL_WEIGHT = 2.0  # in slow start: heavier calls would use up the budget of all dispatchers by chance


def call_weight(messages: int) -> float:
    """The weight of a call, in calls of a single message."""
    return 1.0 + MESSAGE_WEIGHT * (messages - 1)


def max_messages(batch: int) -> int:
    """The most messages that a call may carry in slow start, where otherwise it takes up to `batch`."""
    return min(batch, 1 + int((MAX_CALL_WEIGHT - 1.0) / MESSAGE_WEIGHT))
