"""What every process of the program has: the log, the event loop, exit codes."""

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
    """Guards against a log that a flood fills: so many lines a second from one place, and then a count."""

    def __init__(self, most: int = 5) -> None:
        super().__init__()
        self.most = most
        self.seen: dict[tuple[str, int], tuple[int, int]] = {}  # by place: the second, and the lines in it

    def filter(self, record: logging.LogRecord) -> bool:
        if record.levelno < logging.INFO:  # asked for, line by line
            return True
        place, second = (record.pathname, record.lineno), int(record.created)
        since, count = self.seen.get(place, (second, 0))
        if second > since:
            if count > self.most:
                record.msg = f"{record.getMessage()} (and {count - self.most} lines like it were left out)"
                record.args = None
            since, count = second, 0
        self.seen[place] = (since, count + 1)
        return count < self.most


class FieldsFormatter(logging.Formatter):
    """A line for people, and behind it the fields that were logged with it, as `name=value` (logfmt)."""

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802
        line = super().formatMessage(record)
        fields = Logfmter.get_extra(record)
        return f"{line} {Logfmter.format_params(fields)}" if fields else line


def loop_factory(loop: str) -> Callable[[], asyncio.AbstractEventLoop] | None:
    """What makes the event loop that is set; None for that of the standard library."""
    if loop != "uvloop":
        return None
    import uvloop  # only where it is on: it takes 3 MB

    return uvloop.new_event_loop


def run(work: Callable[[], Coroutine[Any, Any, None]]) -> int:
    """Log to standard error and run a process's work; 2 where its configuration makes no sense."""
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
