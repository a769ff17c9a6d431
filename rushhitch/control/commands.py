"""What operators say and hear on the control address: bytes to a command, a command to a reply. No I/O."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

MOST_LINE = 512  # bytes: a word and an id, with room to spare
MAX_ID_BYTES = 256  # characters of an endpoint's id
YES, NO, END = b"ACK", b"NAK", b"--"
TAKES_ID = {"PING": False, "INFO": False, "DETACH": True, "ATTACH": True}


class BadCommand(ValueError):
    """The line makes no sense; the text says what is wrong and what would do."""


class CommandRefused(Exception):
    """The command makes sense and is not carried out; the text says why."""


@dataclass(frozen=True, slots=True)
class Command:
    """One call: a word, and the endpoint's id where the word takes one."""

    word: str
    id: str = ""


class Operations(Protocol):
    """What the address stands for. Each raises `CommandRefused` where the answer is no, and then nothing changed."""

    def ping(self) -> None:
        """Whether this process can take a message and deliver it."""

    def info(self) -> Mapping[str, Any]:
        """The figures as of now."""

    def detach(self, endpoint: str) -> None:
        """Take the endpoint out: when this returns no new call to it can start."""

    def attach(self, endpoint: str) -> None:
        """The endpoint may serve again."""


def parse(data: bytes) -> Command:
    """The command of a line, which has come whole, with or without its end."""
    if len(data) > MOST_LINE:
        raise BadCommand(f"a line of more than {MOST_LINE} bytes")
    line, end, rest = data.partition(b"\n")
    if rest.strip():
        raise BadCommand("more than one line: send one to a connection")
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        raise BadCommand("bytes that are no text: send ASCII") from None
    known = ", ".join(TAKES_ID)
    if not words:
        raise BadCommand(f"an empty line: send one of {known}")
    word, ids = words[0], words[1:]
    if word not in TAKES_ID:
        raise BadCommand(f"unknown word {word[:40]!r}: send one of {known}")
    if not TAKES_ID[word]:
        if ids:
            raise BadCommand(f"{word} takes nothing after it")
        return Command(word)
    if len(ids) != 1 or len(ids[0]) > MAX_ID_BYTES:
        raise BadCommand(f"{word} takes one endpoint's id of {MAX_ID_BYTES} characters at most")
    return Command(word, ids[0])


def whole(data: bytes) -> bool:
    """Whether the line has come, or can never come to an end that makes sense."""
    return b"\n" in data or len(data) > MOST_LINE


def refusal(text: str) -> bytes:
    return NO + b" " + " ".join(text.split()).encode("ascii", "replace") + b"\n"


def answer(data: bytes, operations: Operations) -> bytes:
    """The whole reply to what a caller said."""
    try:
        command = parse(data)
        match command.word:
            case "PING":
                operations.ping()
            case "INFO":
                told = json.dumps(operations.info(), separators=(",", ":")).encode()
                return told + b"\n" + END + b"\n"
            case "DETACH":
                operations.detach(command.id)
            case "ATTACH":
                operations.attach(command.id)
    except (BadCommand, CommandRefused) as error:
        return refusal(str(error))
    return YES + b"\n"
