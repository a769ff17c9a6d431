"""CloudEvents in the lab: clients that post events, and partners that take them. A message has one name in
the history whatever carries it: the id by which the platform hears of it."""

from __future__ import annotations

import json
from typing import Any

from lab.clients import Ask, ClientConnection
from lab.http import Request
from rushhitch.cloudevents.events import BadEvent, Event, digest
from rushhitch.cloudevents.http import decode, encode_binary, encode_structured

SOURCE = "/lab"
KIND = "org.example."  # and the class's name


def name_of(source: str, event_id: str) -> str:
    """The name of an event in the history: what a dispatcher calls it, or its id where a dispatcher made it
    of another message."""
    return digest(f"{source}\0{event_id}").hex() if source == SOURCE else event_id


class EventConnection(ClientConnection):
    """One request at a time, in binary or structured mode."""

    @staticmethod
    def name_of(wire: str) -> str:
        return name_of(SOURCE, wire)

    def write(self, ask: Ask) -> None:
        event = Event(
            {
                "specversion": "1.0",
                "id": ask.wire,
                "source": SOURCE,
                "type": KIND + ask.cls,
                "subject": str(ask.dest),
                "datacontenttype": "application/octet-stream",
                "expirytime": self.clients.wall(ask.left_ms),
                **({"partitionkey": str(ask.key)} if ask.key else {}),
            },
            ask.body,
        )
        headers, body = (encode_binary if self.speaks == "binary" else encode_structured)(event)
        lines = [f"{name}: {value}" for name, value in headers]
        head = "\r\n".join(["POST / HTTP/1.1", "Host: lab", f"Content-Length: {len(body)}", *lines, "", ""])
        self.transport.write(head.encode("latin-1") + body)

    def data_received(self, data: bytes) -> None:
        self.answer += data
        head, whole, body = self.answer.partition(b"\r\n\r\n")
        if not whole or self.ask is None:
            return
        first, *lines = head.split(b"\r\n")
        headers = dict(line.lower().split(b": ", 1) for line in lines)
        if len(body) < int(headers.get(b"content-length", b"0")):
            return
        status = int(first.split(b" ")[1])
        if status == 503:
            self.end(b"-BUSY %d" % (int(headers.get(b"retry-after", b"0")) * 1000))
        else:
            self.end(b"+OK" if status < 300 else b"-ERR " + body)


def messages(request: Request) -> list[tuple[str, bytes]] | None:
    """Names and data of the events in a call to a partner; None where it cannot be read."""
    headers = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in request.headers.items()]
    try:
        _, events = decode(headers, request.body)
    except BadEvent:
        return None
    if not events or any(isinstance(event, BadEvent) for event in events):
        return None
    return [(name_of(*event.identity), event.data or b"") for event in events]  # type: ignore[union-attr]


def toml(classes: list[str], partners: dict[int, str]) -> str:
    """The section of a dispatcher's own file."""
    types = ", ".join(f'"{KIND}{cls}" = {json.dumps(cls)}' for cls in classes)
    modes = ", ".join(f'{number} = "{mode}"' for number, mode in partners.items())
    lines: list[Any] = ["[cloudevents]", 'listen = "127.0.0.1:0"', f"types = {{ {types} }}"]
    return "\n".join([*lines, f"partners = {{ {modes} }}" if modes else "", ""])
