"""Log lines on connections to endpoints: exchanges, unrequested answers, and why connections are closed."""

from __future__ import annotations

import logging
from enum import StrEnum

from rushhitch.connection import Connection

log = logging.getLogger(__name__)

MAX_LOGGED_BYTES = 80  # of received bytes, in a line


class CloseReason(StrEnum):
    """Why a connection to an endpoint is closed."""

    BANNED = "banned"  # by operators, or another process continues
    BROKEN = "broken"  # before its request was written
    ENDED = "ended"  # its exchange cannot be followed by another
    ENDPOINT_CHANGED = "endpoint changed"
    EVICTED = "evicted"
    FROZEN = "frozen"
    IDLE = "idle"
    INPUT = "input"  # closed by the endpoint, or unrequested bytes
    OUT_OF_STEP = "out of step"  # the endpoint has sent an answer that belonged to no request


def log_exchange(
    endpoint: str, connection: Connection, ids: list[bytes], took_s: float, ended: str, kept: bool
) -> None:
    """Log a request, with its connection and the start of its answer, at debug level. `ended` tells how it
    ended if no answer began; `kept`: the connection may be used again."""
    if not log.isEnabledFor(logging.DEBUG):
        return
    fields = {
        "ids": b",".join(ids).decode("latin-1"),
        "took_ms": round(took_s * 1000.0),
        "written": connection.written,
        "answer": first_line(connection.response_start) or ended,
        "kept": kept,
    }
    log.debug("exchange ended", extra=fields_of(endpoint, connection) | fields)


def log_unrequested(endpoint: str, connection: Connection, data: bytes) -> None:
    """Log what an endpoint sent although no request had asked for it."""
    fields = fields_of(endpoint, connection) | {"first_line": first_line(data)}
    log.info("unrequested answer from an endpoint", extra=fields)


def log_closed(endpoint: str, connection: Connection, reason: CloseReason) -> None:
    """Log that a connection is closed, at debug level."""
    if log.isEnabledFor(logging.DEBUG):
        log.debug("connection closed", extra=fields_of(endpoint, connection) | {"reason": reason})


def fields_of(endpoint: str, connection: Connection) -> dict[str, object]:
    """The endpoint, the connection, and the number of its latest request."""
    return {
        "endpoint": endpoint,
        "connection": connection.serial,
        "request": connection.exchanges.requests,
    }


def first_line(data: bytes) -> str:
    """The first line of received bytes, shortened."""
    return data.partition(b"\r\n")[0][:MAX_LOGGED_BYTES].decode("latin-1")
