"""Commands of the control address: parses a line, runs the command and encodes the reply. No I/O."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

MAX_LINE_BYTES = 512  # a command and an id, with room to spare
MAX_ID_CHARS = 256  # of an endpoint
ACK, NAK, INFO_END = b"ACK", b"NAK", b"--"
TAKES_ID = {"PING": False, "INFO": False, "DETACH": True, "ATTACH": True}


class BadCommand(ValueError):
    """The line is not a valid command; the text says what is wrong and what is expected."""


class CommandRefused(Exception):
    """The command is valid but was not carried out; the text says why."""


@dataclass(frozen=True, slots=True)
class Command:
    """A command word, and the endpoint's id for words that take one."""

    word: str
    id: str = ""


class Operations(Protocol):
    """What the commands do. Each may raise `CommandRefused`, and then nothing has changed."""

    def ping(self) -> None:
        """Succeeds if this process can accept messages and deliver them."""

    def info(self) -> Mapping[str, Any]:
        """The current metrics."""

    def detach(self, endpoint: str) -> None:
        """Detach the endpoint: no call to it starts after this returns."""

    def attach(self, endpoint: str) -> None:
        """Allow calls to the endpoint again."""


def parse(data: bytes) -> Command:
    """Parse a complete line, with or without its newline. Raises `BadCommand`."""
    if len(data) > MAX_LINE_BYTES:
        raise BadCommand(f"a line of more than {MAX_LINE_BYTES} bytes")
    line, end, rest = data.partition(b"\n")
    if rest.strip():
        raise BadCommand("more than one line: send one to a connection")
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        raise BadCommand("bytes that are no text: send ASCII") from None
    expected = ", ".join(TAKES_ID)
    if not words:
        raise BadCommand(f"an empty line: send one of {expected}")
    word, arguments = words[0], words[1:]
    if word not in TAKES_ID:
        raise BadCommand(f"unknown word {word[:40]!r}: send one of {expected}")
    if not TAKES_ID[word]:
        if arguments:
            raise BadCommand(f"{word} takes nothing after it")
        return Command(word)
    if len(arguments) != 1 or len(arguments[0]) > MAX_ID_CHARS:
        raise BadCommand(f"{word} takes one endpoint's id of {MAX_ID_CHARS} characters at most")
    return Command(word, arguments[0])


def is_complete(data: bytes) -> bool:
    """Whether the line is complete or already too long."""
    return b"\n" in data or len(data) > MAX_LINE_BYTES


def refusal(text: str) -> bytes:
    return NAK + b" " + " ".join(text.split()).encode("ascii", "replace") + b"\n"


def answer(data: bytes, operations: Operations) -> bytes:
    """Run the command in `data` and return the encoded reply."""
    try:
        command = parse(data)
        match command.word:
            case "PING":
                operations.ping()
            case "INFO":
                metrics = json.dumps(operations.info(), separators=(",", ":")).encode()
                return metrics + b"\n" + INFO_END + b"\n"
            case "DETACH":
                operations.detach(command.id)
            case "ATTACH":
                operations.attach(command.id)
    except (BadCommand, CommandRefused) as error:
        return refusal(str(error))
    return ACK + b"\n"
