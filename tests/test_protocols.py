"""One suite for every combination of client protocol and partner protocol: the same faults must give the same
outcome and the same number of attempts for each message."""

import asyncio
import contextlib
import socket
import struct

import pytest
from doubles import Client, Peer, run
from test_fronts_cloudevents import EVENT, RULES, Browser
from test_node import Bench

from rushhitch import connection
from rushhitch.cloudevents.http import decode
from rushhitch.fronts.cloudevents import front
from rushhitch.fronts.listener import ConnectionManager
from rushhitch.fronts.resp2 import Resp2Connection
from rushhitch.partners.cloudevents import CloudEvents

FRONTS = ("resp2", "binary", "structured", "batch")
PARTNERS = ("platform", "binary", "structured", "batch")
# By name: class, what happens to each attempt in turn, outcome, number of attempts that reach the partner.
SCRIPTS = {
    "delivered": ("pay", ["deliver"], "delivered", 1),
    "refused, then delivered": ("pay", ["refuse", "deliver"], "delivered", 2),
    "refused with a wait, then delivered": ("pay", ["wait", "deliver"], "delivered", 2),
    "failed, may have run": ("pay", ["error"], "dead", 1),
    "dropped after the body had left": ("pay", ["reset"], "dead", 1),
    "ended without an answer": ("pay", ["end"], "dead", 1),
    "spoilt answer": ("pay", ["spoil"], "dead", 1),
    "safe: failed, then delivered": ("note", ["error", "deliver"], "delivered", 2),
    "safe: dropped, then delivered": ("note", ["reset", "deliver"], "delivered", 2),
    "safe: spoilt, then delivered": ("note", ["spoil", "deliver"], "delivered", 2),
    "safe: refused, failed, delivered": ("note", ["refuse", "error", "deliver"], "delivered", 3),
    "cut off once it was delivered": ("pay", ["cut"], "delivered", 1),
    "dropped before the last byte": ("pay", ["early", "deliver"], "delivered", 1),
}


FOUND = {}  # by script: outcome and attempts, by front and partner


def table():
    """The results, one line for each script and front; `conftest.py` prints them after a run."""
    lines = [f"{'final answer and sends, by front and partner':46}" + " ".join(f"{p:>12}" for p in PARTNERS)]
    for name, cells in FOUND.items():
        for way in FRONTS:
            row = " ".join(f"{cells.get((way, speaks), '-'):>12}" for speaks in PARTNERS)
            lines.append(f"{name:36}{way:>10}{row}")
    return lines


class Partner(Peer):
    """A partner that resets its first `early` connections during the request."""

    early = 0

    async def serve(self, reader, writer):
        if self.early:
            self.early -= 1
            await reader.read(1)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await super().serve(reader, writer)


def act(request, what, events):
    """Let the partner answer one attempt, in its protocol."""
    match what:
        case "deliver":
            request.answer(202 if events else 200)
        case "cut":
            line = b"HTTP/1.1 202 Accepted\r\n" if events else b"HTTP/1.1 200 OK\r\n"
            request.writer.write(line + b"Content-Length: 5\r\n\r\n")
            request.writer.close()
        case "refuse":
            request.answer(429 if events else 503)
        case "wait":
            headers = {"Retry_After": "1"} if events else {"X_Come_Back_Ms": "1000"}
            request.answer(503 if events else 429, **headers)
        case "error":
            request.answer(500)
        case "reset":
            request.reset()
        case "end":
            request.writer.close()
        case "spoil":
            request.writer.write(b"\x00\xff no answer\r\n\r\n")


async def hand_in(way, clients, addresses, cls, body):
    if way == "resp2":
        client = Client(*await asyncio.open_connection(*addresses[0]))
        assert await client.add(b"m1", cls, 6000, body) == b"+OK\r\n"
        return
    client = Browser(*await asyncio.open_connection(*addresses[1]))
    kind = f"com.example.{cls}"
    if way == "binary":
        client.binary(body, type=kind)
    elif way == "structured":
        client.structured(type=kind, datacontenttype="text/plain", data=body.decode())
    else:
        client.batch([EVENT | {"type": kind, "datacontenttype": "text/plain", "data": body.decode()}])
    assert (await client.answer())[0] == 202


async def play(folder, way, speaks, cls, script, monkeypatch):
    """Play `script` for one message; returns its outcome and the complete requests seen by the partner."""
    folder.mkdir()
    bench = Bench()
    peer = Partner()
    monkeypatch.setattr("test_node.Peer", lambda: peer)
    peer.early = script.count("early")
    await bench.start(folder)
    node = bench.node
    events = speaks != "platform"
    if events:
        types = {"pay": "com.example.pay", "note": "com.example.note"}
        node.registry.codecs = {7: CloudEvents(speaks, "/rushhitch", types)}
        node.registry.apply_update({"version": 42, "full": False, "servers": [bench.row]})
    clients = ConnectionManager(node, 16)
    addresses = [
        clients.listen(("127.0.0.1", 0), "resp2", Resp2Connection),
        clients.listen(("127.0.0.1", 0), "cloudevents", front(RULES)),
    ]
    try:
        await hand_in(way, clients, addresses, cls, b"hello")
        seen = []
        for what in script:
            if what != "early":
                request = await peer.next()
                seen.append(request)
                act(request, what, events)
        await node.idle.wait()
        end = "delivered" if bench.ends.empty() else bench.ends.get_nowait()[2]
    finally:
        clients.stop_listening()
        bench.journal.close()
    return end, seen


def identity(request, speaks):
    """The message identity as seen by the partner, and the data."""
    if speaks == "platform":
        return request.headers["x-correlation-id"], request.body
    mode, (event,) = decode(list(request.headers.items()), request.body)
    assert mode == speaks
    return event.identity, event.data


@pytest.mark.parametrize("speaks", PARTNERS)
@pytest.mark.parametrize("way", FRONTS)
@pytest.mark.parametrize("name", SCRIPTS)
def test_final_answers_and_resends_are_the_same_by_every_protocol(tmp_path, monkeypatch, name, way, speaks):
    cls, script, expected, sends = SCRIPTS[name]
    if "early" in script:
        monkeypatch.setattr(connection, "MIN_LAST_BYTE_DELAY_S", 0.5)
        monkeypatch.setattr(connection, "MAX_LAST_BYTE_DELAY_S", 0.5)

    async def work():
        end, seen = await play(tmp_path / "n", way, speaks, cls, script, monkeypatch)
        FOUND.setdefault(name, {})[way, speaks] = f"{end} {len(seen)}"
        assert (end, len(seen)) == (expected, sends)
        identities = {identity(request, speaks) for request in seen}
        assert len(identities) == 1, "the attempts have different identities"
        ((who, data),) = identities
        assert data == b"hello"
        if speaks != "platform":
            assert who == (("/rushhitch", "m1") if way == "resp2" else (EVENT["source"], EVENT["id"]))

    run(work())


def test_410_and_redirects_from_a_partner_are_retried_up_to_the_attempt_limit(tmp_path, monkeypatch):
    # Neither 410 nor a redirect ran the event, and the redirect is not followed.
    async def work():
        peer = Partner()
        monkeypatch.setattr("test_node.Peer", lambda: peer)
        bench = await Bench().start(tmp_path)
        bench.node.registry.codecs = {7: CloudEvents("binary", "/rushhitch", {})}
        bench.node.registry.apply_update({"version": 42, "full": False, "servers": [bench.row]})
        clients = ConnectionManager(bench.node, 16)
        address = clients.listen(("127.0.0.1", 0), "resp2", Resp2Connection)
        client = Client(*await asyncio.open_connection(*address))
        assert await client.add(b"m1", "pay", 24_000, b"hello") == b"+OK\r\n"
        for attempt in range(bench.node.settings.max_attempts):
            request = await peer.next()
            request.answer(*((410,) if attempt % 2 else (307,)), Location="http://127.0.0.1:1/")
        assert (await bench.ends.get())[2] == "dead" and peer.requests.empty()
        clients.stop_listening()
        bench.journal.close()

    run(work())
