"""The control address: its words, its bounds on callers, and the figures that it tells."""

import asyncio

import pytest
from doubles import run
from hypothesis import given
from hypothesis import strategies as st

from rushhitch.control import server as control_server
from rushhitch.control.commands import MOST_LINE, CommandRefused, answer
from rushhitch.control.server import Control
from rushhitch.core.metrics import Metrics


class Recorder:
    """What was asked, with one endpoint called e1."""

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
    "line, said",
    [
        (b"PING\n", b"ACK\n"),
        (b"PING\r\n", b"ACK\n"),
        (b"PING", b"ACK\n"),  # and the end of the sending
        (b"INFO\n", b'{"inflight":3}\n--\n'),
        (b"DETACH e1\n", b"ACK\n"),
        (b"ATTACH e1\n", b"ACK\n"),
        (b"DETACH e2\n", b"NAK no endpoint is called e2\n"),
    ],
)
def test_words_have_their_answers(line, said):
    assert answer(line, Recorder()) == said


@pytest.mark.parametrize(
    "line, why",
    [
        (b"\n", b"empty"),
        (b"ping\n", b"unknown word"),
        (b"DETACH\n", b"one endpoint's id"),
        (b"DETACH e1 e2\n", b"one endpoint's id"),
        (b"PING e1\n", b"takes nothing"),
        (b"PING\nDETACH e1\n", b"more than one line"),
        (b"DETACH \xff\n", b"no text"),
        (b"DETACH " + b"e" * MOST_LINE + b"\n", b"more than 512 bytes"),
    ],
)
def test_what_makes_no_sense_gets_one_no_with_its_reason_and_changes_nothing(line, why):
    operations = Recorder()
    said = answer(line, operations)
    assert said.startswith(b"NAK ") and said.count(b"\n") == 1 and why in said
    assert not operations.done


@given(st.binary(max_size=600))
def test_any_bytes_get_one_whole_answer(data):
    said = answer(data, Recorder())
    assert said.endswith(b"\n") and (said.startswith((b"ACK", b"NAK")) or said.endswith(b"\n--\n"))


async def call(address, line):
    reader, writer = await asyncio.open_connection(*address)
    writer.write(line)
    said = await reader.read()
    writer.close()
    return said


def test_callers_that_say_nothing_do_not_shut_out_one_that_asks():
    async def work():
        control = Control(lambda data: answer(data, Recorder()))
        address = await control.listen(("127.0.0.1", 0))
        silent = [await asyncio.open_connection(*address) for _ in range(3 * control_server.MOST_CALLERS)]
        assert await asyncio.wait_for(call(address, b"PING\n"), 1.0) == b"ACK\n"
        assert len(control.callers) <= control_server.MOST_CALLERS
        assert await silent[0][0].read() == b"", "the one that was silent longest was not sent away"
        control.stop()
        assert await silent[-1][0].read() == b""

    run(work())


def test_a_caller_that_does_not_finish_its_line_is_sent_away(monkeypatch):
    monkeypatch.setattr(control_server, "CALL_S", 0.05)

    async def work():
        control = Control(lambda data: answer(data, Recorder()))
        address = await control.listen(("127.0.0.1", 0))
        assert await asyncio.wait_for(call(address, b"PI"), 5.0) == b""
        assert not control.callers
        control.stop()

    run(work())


def test_an_error_in_a_call_is_a_no_and_not_a_silence():
    class Broken(Recorder):
        def ping(self):
            raise RuntimeError("broken")

    async def work():
        control = Control(lambda data: answer(data, Broken()))
        address = await control.listen(("127.0.0.1", 0))
        assert (await call(address, b"PING\n")).startswith(b"NAK ")
        control.stop()

    run(work())


def test_figures_go_by_class_also_where_it_has_been_dropped_since():
    figures = Metrics(["a", "b"])
    figures.ended("a", "delivered")
    figures.ended("gone", "failed")
    figures.named(["c"])
    told = figures.report(7, 2, 5, 1)
    assert told["success"] == {"a": 1, "b": 0, "c": 0}
    assert told["failure"] == {"a": 0, "b": 0, "gone": 1, "c": 0}
    assert told["busy"] == {"a": 0, "b": 0, "c": 0}
    assert (told["backend_calls"], told["inflight"], told["hosts_listed"], told["hosts_down"]) == (7, 2, 5, 1)
