"""Signals from the first line of the process on: what comes before the event loop runs is kept for it.

The command that starts the program ignores SIGHUP (`trap '' HUP` in `deploy/balancer.toml`), which outlasts
`exec`, so that one that comes while the interpreter starts does no harm: the configuration is read after it.
`listen` is called before anything else is imported. SIGTERM keeps its default effect until then: nothing has
been read of the folder, and nothing is owed but what the next process finds there.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

HEARD = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

_pending: set[int] = set()
_handlers: dict[int, Callable[[], None]] = {}


def listen() -> None:
    """Hear the signals from now on; those that come before `attach` are pending."""
    for number in HEARD:
        signal.signal(number, _heard)


def attach(number: int, handler: Callable[[], None]) -> None:
    """`handler` is called in the main thread for each such signal, and now if one is pending. It must be as
    careful as a signal handler: it may run between any two lines."""
    _handlers[number] = handler
    signal.signal(number, _heard)
    if number in _pending:
        _pending.discard(number)
        handler()


def detach() -> None:
    """The process ends: what comes from now on is ignored."""
    _handlers.clear()
    for number in HEARD:
        signal.signal(number, signal.SIG_IGN)


def _heard(number: int, frame: FrameType | None) -> None:
    handler = _handlers.get(number)
    if handler is None:
        _pending.add(number)
    else:
        handler()
