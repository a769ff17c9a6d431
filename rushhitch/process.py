"""Common to all processes of the program: logging, the event loop, and exit codes."""

from __future__ import annotations

import asyncio
import logging
import os
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from logfmter import Logfmter

from rushhitch import signals
from rushhitch.config.deployment import DeploymentError, read_deployment
from rushhitch.config.platform import ConfigurationError


class Throttle(logging.Filter):
    """Limits the lines a second from one place in the code, so that a burst cannot flood the log; the next
    line after a burst says how many were dropped."""

    def __init__(self, max_per_second: int = 5) -> None:
        super().__init__()
        self.max_per_second = max_per_second
        self.seen: dict[tuple[str, int], tuple[int, int]] = {}  # second and lines in it, by place

    def filter(self, record: logging.LogRecord) -> bool:
        if record.levelno < logging.INFO:  # debug lines are never dropped
            return True
        place, second = (record.pathname, record.lineno), int(record.created)
        since, count = self.seen.get(place, (second, 0))
        if second > since:
            if count > self.max_per_second:
                record.msg = (
                    f"{record.getMessage()} (and {count - self.max_per_second} lines like it were left out)"
                )
                record.args = None
            since, count = second, 0
        self.seen[place] = (since, count + 1)
        return count < self.max_per_second


class FieldsFormatter(logging.Formatter):
    """Appends the `extra` fields of a record to its line, as `name=value` (logfmt)."""

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802
        line = super().formatMessage(record)
        fields = Logfmter.get_extra(record)
        return f"{line} {Logfmter.format_params(fields)}" if fields else line


def loop_factory(loop: str) -> Callable[[], asyncio.AbstractEventLoop] | None:
    """The factory of the configured event loop; None for asyncio's own."""
    if loop != "uvloop":
        return None
    import uvloop  # imported on demand: it takes 3 MB

    return uvloop.new_event_loop


def run(work: Callable[[], Coroutine[Any, Any, None]]) -> int:
    """Set up logging to standard error and run the coroutine that `work` makes. Returns the exit code: 2 if
    the configuration is invalid."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(Throttle())
    handler.setFormatter(FieldsFormatter("%(asctime)s %(levelname)s %(message)s"))
    logging.basicConfig(handlers=[handler], level=logging.INFO)
    try:
        deployment = read_deployment(os.environ)
        logging.getLogger("rushhitch").setLevel(deployment.log.upper())
        with asyncio.Runner(loop_factory=loop_factory(deployment.loop)) as runner:
            try:
                runner.run(work())
            finally:
                signals.detach()
    except (ConfigurationError, DeploymentError) as error:
        print(f"rushhitch: {error}", file=sys.stderr)
        return 2
    return 0
