"""Signal handling from the start of the process: signals that arrive before the event loop runs stay pending.

The command that starts the program ignores SIGHUP (`trap '' HUP` in `deploy/balancer.toml`). That outlasts
`exec`, so a SIGHUP during the start of the interpreter is harmless: the configuration is read later anyway.
`listen` is called before other imports. Until then SIGTERM ends the process by default, which is safe: it has
not yet read the state folder, and owes only what the next process finds there.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

_pending: set[int] = set()
_handlers: dict[int, Callable[[], None]] = {}


def listen() -> None:
    """Handle the signals from now on; those that arrive before `attach` stay pending."""
    for number in HANDLED:
        signal.signal(number, _on_signal)


def attach(number: int, handler: Callable[[], None]) -> None:
    """Call `handler` in the main thread for each such signal, and now if one is pending. It has to be safe as
    a signal handler, since it may run between any two bytecodes."""
    _handlers[number] = handler
    signal.signal(number, _on_signal)
    if number in _pending:
        _pending.discard(number)
        handler()


def detach() -> None:
    """Ignore the signals from now on, as the process ends."""
    _handlers.clear()
    for number in HANDLED:
        signal.signal(number, signal.SIG_IGN)


def _on_signal(number: int, frame: FrameType | None) -> None:
    handler = _handlers.get(number)
    if handler is None:
        _pending.add(number)
    else:
        handler()
