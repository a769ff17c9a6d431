"""The lab's endpoints answer as the rows of the protocol page have it, and the history says what was told."""

import asyncio
import functools
import inspect
import socket

import pytest

from lab.history import History
from lab.partners import Partners, Spec

WAIT_S = 20.0


class Caller:
    """A dispatcher's side of one connection to an endpoint of the lab."""

    def __init__(self, partners, history, reader, writer):
        self.partners, self.history, self.reader, self.writer = partners, history, reader, writer
        self.lane = partners.lanes["bank"]

    async def connect_again(self):
        self.writer.close()
        port = self.partners.endpoints["bank-1"].port("d0")
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)

    def write(self, target, body=b"", headers=""):
        head = f"POST {target} HTTP/1.1\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
        self.writer.write(head.encode() + body)

    async def read(self):
        """Status, headers in lower case, and body."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.strip().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return int(first.split()[1]), headers, body.decode()

    async def one(self, name="m1"):
        self.write("/receive", b"hello", f"X-Correlation-Id: {name}\r\n")
        return await self.read()

    async def several(self, *names):
        self.write("/receive-many", b"".join(b"%s - 5\r\nhello\r\n" % name.encode() for name in names))
        return await self.read()

    def ends(self):
        """What the history has of the last reply."""
        return [event for event in self.history.events if event["what"] == "reply"][-1]["ends"]

    def malformed(self):
        return [event["why"] for event in self.history.events if event["what"] == "malformed"]


def with_partner(**told):
    """A test that gets the one connection to a partner of these terms."""

    def wrap(test):
        @functools.wraps(test)
        def run(**arguments):
            async def work():
                spec = Spec("bank", 1, zones=("a",), **{"call_ms": 1.0, "batch": 4} | told)
                history = History()
                partners = await Partners([spec], ["d0"], history, 1).start()
                try:
                    port = partners.endpoints["bank-1"].port("d0")
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    async with asyncio.timeout(WAIT_S):
                        await test(Caller(partners, history, reader, writer), **arguments)
                    writer.close()
                finally:
                    partners.stop()

            asyncio.run(work())

        own = inspect.signature(test)  # the caller is no fixture
        run.__signature__ = own.replace(parameters=list(own.parameters.values())[1:])
        return run

    return wrap


@with_partner()
async def test_what_is_over_is_answered_410_and_all_else_as_ever(caller):
    caller.partners.over = {"m1"}.__contains__
    assert (await caller.one("m1"))[0] == 410 and caller.ends() == {"m1": "expired"}
    assert (await caller.one("m2"))[0] == 200 and caller.ends() == {"m2": "accepted"}


@pytest.mark.parametrize("fault", ["shut", "silent", "fail"])
@with_partner(per_s=0.001)
async def test_an_endpoint_says_that_a_message_is_over_whatever_else_is_wrong_with_it(caller, fault):
    caller.partners.over = {"m1"}.__contains__
    caller.partners.strike(caller.lane, **{fault: 1.0 if fault == "fail" else True})
    for _ in range(3):
        assert (await caller.one("m1"))[0] == 410


@with_partner()
async def test_the_history_tells_when_a_message_is_out_of_time(caller):
    caller.partners.over = caller.history.out_of_time
    for name, left_ms in (("m1", 0.0), ("m2", 60_000.0)):
        caller.history.add("offer", id=name, left_ms=left_ms)
    assert (await caller.one("m1"))[0] == 410 and (await caller.one("m2"))[0] == 200


@with_partner()
async def test_a_batch_tells_of_each_that_is_over_and_the_rest_fares_on(caller):
    caller.partners.over = {"m2"}.__contains__
    ends = {"m1": "accepted", "m2": "expired", "m3": "accepted"}
    status, _, body = await caller.several(*ends)
    assert (status, body) == (200, "".join(f"{name} {end}\r\n" for name, end in ends.items()))
    assert caller.ends() == ends


@with_partner()
async def test_a_batch_of_all_over_is_answered_either_way(caller):
    caller.partners.over = lambda name: True
    answers = {(await caller.several("m1", "m2"))[::2] for _ in range(30)}
    assert answers == {(410, ""), (200, "m1 expired\r\nm2 expired\r\n")}
    assert caller.ends() == {"m1": "expired", "m2": "expired"}


@pytest.mark.parametrize(
    ("fault", "told", "end"), [("shut", "deferred", "turned away"), ("fail", "fault", "error")]
)
@with_partner(tells=1.0)
async def test_a_batch_that_fares_ill_but_for_one_that_is_over_tells_each_ones_end(caller, fault, told, end):
    caller.partners.over = {"m2"}.__contains__
    caller.partners.strike(caller.lane, **{fault: 1.0 if fault == "fail" else True})
    status, headers, body = await caller.several("m1", "m2")
    assert (status, body) == (200, f"m1 {told}\r\nm2 expired\r\n")
    assert caller.ends() == {"m1": end, "m2": "expired"}
    assert ("x-come-back-ms" in headers) == (fault == "shut")


@with_partner()
async def test_a_message_that_had_all_its_attempts_is_answered_504_and_in_a_batch_no_more(caller):
    caller.partners.max_attempts = 2
    assert [(await caller.one("m1"))[0] for _ in range(3)] == [200, 200, 504]
    assert caller.ends() == {"m1": "no_more"}
    assert (await caller.several("m1", "m2"))[::2] == (200, "m1 no_more\r\nm2 accepted\r\n")


@with_partner()
async def test_faults_say_504_and_that_the_slots_were_taken(caller):
    caller.partners.strike(caller.lane, spent=1.0)
    assert (await caller.one("m1"))[0] == 504 and caller.ends() == {"m1": "no_more"}
    caller.partners.strike(caller.lane, line_busy=1.0)
    for answer in (await caller.one("m2"), await caller.several("m2", "m3")):
        assert answer[0] == 503 and answer[1]["x-line-busy"] == "1"
    assert caller.ends() == {"m2": "not sent", "m3": "not sent"}


@with_partner()
async def test_a_fault_has_batches_answered_400_or_413(caller):
    caller.partners.strike(caller.lane, unread=1.0)
    assert {(await caller.several("m1", "m2"))[0] for _ in range(20)} == {400, 413}
    assert caller.ends() == {"m1": "not sent", "m2": "not sent"} and caller.malformed() == []
    assert (await caller.one("m3"))[0] == 200


@pytest.mark.parametrize("fault", ["half", "endless"])
@with_partner()
async def test_a_first_line_with_200_counts_whatever_follows_it_but_for_a_batch(caller, fault):
    caller.partners.strike(caller.lane, **{fault: 1.0})
    caller.write("/receive-many", b"m1 - 5\r\nhello\r\nm2 - 5\r\nhello\r\n")
    assert await caller.reader.readline() == b"HTTP/1.1 200 x\r\n"
    assert caller.ends() == {"m1": "spoilt", "m2": "spoilt"}
    await caller.connect_again()
    caller.write("/receive", b"hello", "X-Correlation-Id: m3\r\n")
    assert await caller.reader.readline() == b"HTTP/1.1 200 x\r\n"
    assert caller.ends() == {"m3": "accepted"}


@with_partner(drops_below_ms=50.0)
async def test_a_call_with_very_little_time_left_is_dropped_without_a_word(caller):
    for name, left_ms in (("m1", 49), ("m2", 50)):
        await caller.connect_again()
        caller.write("/receive", b"hello", f"X-Correlation-Id: {name}\r\nX-Time-Left-Ms: {left_ms}\r\n")
    assert (await caller.read())[0] == 200
    assert caller.ends() == {"m2": "accepted"}


@with_partner(batch_waits=1.0, wait_ms=300.0)
async def test_a_wait_may_stand_in_the_answer_to_a_batch(caller):
    status, headers, _ = await caller.several("m1", "m2")
    assert status == 200 and headers["x-come-back-ms"] == "300"
    assert caller.history.events[-1]["wait_ms"] == 300


@pytest.mark.parametrize(
    ("names", "status", "why"),
    [
        (("m1", "m1"), 400, "it names a message twice"),
        (("m1", "m2", "m3", "m4", "m5"), 413, "it holds 5 messages"),
        ((), 400, "it cannot be read"),
    ],
)
@with_partner()
async def test_a_batch_of_no_good_form_is_answered_so_and_told(caller, names, status, why):
    assert (await caller.several(*names))[0] == status
    assert caller.malformed() == [why]


@with_partner()
async def test_a_call_without_an_id_is_answered_400_and_told(caller):
    caller.write("/receive", b"hello")
    assert (await caller.read())[0] == 400
    assert caller.malformed() == ["it cannot be read"]


@with_partner()
async def test_a_second_call_on_a_connection_that_carries_one_is_told(caller):
    caller.write("/receive", b"hello", "X-Correlation-Id: m1\r\n")
    caller.write("/receive", b"hello", "X-Correlation-Id: m2\r\n")
    await caller.read()
    assert caller.malformed() == ["its connection carries a call already"]


@with_partner()
async def test_there_are_no_probes_where_the_settings_allow_none(caller):
    caller.writer.write(b"GET /alive HTTP/1.1\r\n\r\n")
    assert (await caller.read())[0] == 404


@with_partner()
async def test_an_answer_that_is_written_behind_the_close_of_its_connection_is_told_to_nobody(caller):
    port, done = caller.partners.endpoints["bank-1"].port("d0"), caller.partners.done

    def done_behind_close(call):
        client.close()  # the event loop of the endpoint has had no time to see it
        done(call)

    caller.partners.done = done_behind_close
    with socket.create_connection(("127.0.0.1", port)) as client:
        client.sendall(b"POST /receive HTTP/1.1\r\nX-Correlation-Id: m1\r\nContent-Length: 0\r\n\r\n")
        while "gone" not in (whats := [event["what"] for event in caller.history.events]):
            await asyncio.sleep(0.001)
    assert whats == ["endpoint", "call", "gone"]
