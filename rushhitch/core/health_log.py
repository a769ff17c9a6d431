"""Structured log lines on the health of endpoints: circuit breaker, trials, slow start."""

from __future__ import annotations

import logging
import math

from crowpier.interface import Health, HealthChanged, HealthReason

log = logging.getLogger(__name__)


def log_health(change: HealthChanged) -> None:
    """Log a change of an endpoint's health; a trial that failed, which changes nothing, at debug level."""
    level = logging.DEBUG if change.reason is HealthReason.FAILED_TRIAL else logging.INFO
    fields: dict[str, object] = {
        "endpoint": change.endpoint,
        "destination": change.destination,
        "health": change.health.value,
        "reason": change.reason.value,
    }
    if change.health is not Health.WARM:
        fields["calls_per_s"] = round(change.calls_per_s, 3)
        fields["wait_ms"] = round(change.wait_ms) if change.wait_ms < math.inf else "endless"
    if change.calls:
        fields["calls"], fields["messages"] = change.calls, change.messages
        fields["largest_call"] = change.largest_call
    log.log(level, "endpoint health", extra=fields)
