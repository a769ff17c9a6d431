"""The control address: commands, bounds on connections, and the metrics of INFO."""

import asyncio

import pytest
from doubles import run
from hypothesis import given
from hypothesis import strategies as st

from rushhitch.control import server as control_server
from rushhitch.control.commands import MAX_LINE_BYTES, CommandRefused, answer
from rushhitch.control.server import ControlServer
from rushhitch.core.metrics import Metrics


class Recorder:
    """Records the operations that were called; the only endpoint is e1."""

    def __init__(self):
        self.done = []

    def ping(self):
        self.done.append("ping")

    def info(self):
        return {"inflight": 3}

    def detach(self, endpoint):
        if endpoint != "e1":
            raise CommandRefused(f"no endpoint is called {endpoint}")
        self.done.append(endpoint)

    attach = detach


@pytest.mark.parametrize(
    "line, reply",
    [
        (b"PING\n", b"ACK\n"),
        (b"PING\r\n", b"ACK\n"),
        (b"PING", b"ACK\n"),  # ended by the end of input
        (b"INFO\n", b'{"inflight":3}\n--\n'),
        (b"DETACH e1\n", b"ACK\n"),
        (b"ATTACH e1\n", b"ACK\n"),
        (b"DETACH e2\n", b"NAK no endpoint is called e2\n"),
    ],
)
def test_each_command_has_its_reply(line, reply):
    assert answer(line, Recorder()) == reply


@pytest.mark.parametrize(
    "line, reason",
    [
        (b"\n", b"empty"),
        (b"ping\n", b"unknown word"),
        (b"DETACH\n", b"one endpoint's id"),
        (b"DETACH e1 e2\n", b"one endpoint's id"),
        (b"PING e1\n", b"takes nothing"),
        (b"PING\nDETACH e1\n", b"more than one line"),
        (b"DETACH \xff\n", b"no text"),
        (b"DETACH " + b"e" * MAX_LINE_BYTES + b"\n", b"more than 512 bytes"),
    ],
)
def test_an_invalid_line_gets_one_nak_with_the_reason_and_changes_nothing(line, reason):
    operations = Recorder()
    reply = answer(line, operations)
    assert reply.startswith(b"NAK ") and reply.count(b"\n") == 1 and reason in reply
    assert not operations.done


@given(st.binary(max_size=600))
def test_any_input_gets_one_complete_reply(data):
    reply = answer(data, Recorder())
    assert reply.endswith(b"\n") and (reply.startswith((b"ACK", b"NAK")) or reply.endswith(b"\n--\n"))


async def call(address, line):
    reader, writer = await asyncio.open_connection(*address)
    writer.write(line)
    reply = await reader.read()
    writer.close()
    return reply


def test_silent_connections_do_not_shut_out_a_new_one():
    async def work():
        control = ControlServer(lambda data: answer(data, Recorder()))
        address = await control.listen(("127.0.0.1", 0))
        silent = [await asyncio.open_connection(*address) for _ in range(3 * control_server.MAX_CONNECTIONS)]
        assert await asyncio.wait_for(call(address, b"PING\n"), 1.0) == b"ACK\n"
        assert len(control.connections) <= control_server.MAX_CONNECTIONS
        assert await silent[0][0].read() == b"", "the oldest connection was not evicted"
        control.stop()
        assert await silent[-1][0].read() == b""

    run(work())


def test_a_connection_that_does_not_complete_its_line_is_closed(monkeypatch):
    monkeypatch.setattr(control_server, "LINE_TIMEOUT_S", 0.05)

    async def work():
        control = ControlServer(lambda data: answer(data, Recorder()))
        address = await control.listen(("127.0.0.1", 0))
        assert await asyncio.wait_for(call(address, b"PI"), 5.0) == b""
        assert not control.connections
        control.stop()

    run(work())


def test_an_internal_error_is_answered_with_a_nak():
    class Broken(Recorder):
        def ping(self):
            raise RuntimeError("broken")

    async def work():
        control = ControlServer(lambda data: answer(data, Broken()))
        address = await control.listen(("127.0.0.1", 0))
        assert (await call(address, b"PING\n")).startswith(b"NAK ")
        control.stop()

    run(work())


def test_metrics_by_class_keep_classes_that_were_removed():
    metrics = Metrics(["a", "b"])
    metrics.ended("a", "delivered")
    metrics.ended("gone", "failed")
    metrics.named(["c"])
    report = metrics.report(7, 2, 5, 1)
    assert report["success"] == {"a": 1, "b": 0, "c": 0}
    assert report["failure"] == {"a": 0, "b": 0, "gone": 1, "c": 0}
    assert report["busy"] == {"a": 0, "b": 0, "c": 0}
    assert (report["backend_calls"], report["inflight"], report["hosts_listed"], report["hosts_down"]) == (
        7,
        2,
        5,
        1,
    )
