"""Calls to an endpoint over loopback: all outcomes, the connection pool, batches and retry-after waits."""

import asyncio
import socket
from dataclasses import replace

import pytest
from dispatcher_harness import settings
from doubles import Peer, run

from crowpier.interface import Outcome, State
from rushhitch import connection, endpoints
from rushhitch.endpoints import EndpointEntry, EndpointPool
from rushhitch.partners.codec import Attempt


class Caller:
    """An `EndpointPool` with one endpoint, a partner controlled by the test, and a queue of results."""

    async def start(self, batch=1, **changes):
        self.partner = await Peer().start()
        self.results = asyncio.Queue()
        self.endpoints = EndpointPool(settings(**changes), self.results.put_nowait)
        self.batch = batch
        self.list(self.partner.address)
        return self

    def list(self, address, state=State.READY):
        self.endpoints.set_endpoint("e1", EndpointEntry(address, 7, self.batch, state))

    def send(self, *messages, body=b"hello", patience=30.0, endpoint="e1", repeatable=True):
        stop_at = asyncio.get_running_loop().time() + patience
        attempts = [Attempt(m, 0, b"m%d" % m, body, stop_at, repeatable=repeatable) for m in messages]
        self.endpoints.send(endpoint, attempts)

    async def result(self):
        result = await self.results.get()
        return result.outcome, result.over, result.wait_ms


def with_caller(**changes):
    def decorate(test):
        async def work():
            await test(await Caller().start(**changes))

        run(work())

    return decorate


@pytest.mark.parametrize(
    ("status", "headers", "end"),
    [
        (200, {}, (Outcome.OK, True, 0.0)),
        (500, {}, (Outcome.ERROR, False, 0.0)),
        (429, {"X_Come_Back_Ms": "350"}, (Outcome.FULL, False, 350.0)),
        (429, {"X_Come_Back_Ms": "soon"}, (Outcome.FULL, False, 0.0)),
        (429, {"X_Come_Back_Ms": "nan"}, (Outcome.FULL, False, 0.0)),
        (503, {}, (Outcome.FULL, False, 0.0)),
        (503, {"X_Line_Busy": "1"}, (Outcome.NOT_EXECUTED, False, 0.0)),
        (504, {}, (Outcome.NOT_EXECUTED, False, 0.0)),
        (410, {}, (Outcome.NOT_EXECUTED, False, 0.0)),
        (418, {}, (Outcome.ERROR, False, 0.0)),
    ],
)
def test_each_answer_has_its_outcome(status, headers, end):
    @with_caller()
    async def _(caller):
        caller.send(1)
        (await caller.partner.next()).answer(status, **headers)
        assert await caller.result() == end


def test_refused_connection_proves_that_nothing_ran():
    @with_caller()
    async def _(caller):
        with socket.socket() as closed:  # bound, but nobody listens there
            closed.bind(("127.0.0.1", 0))
            caller.list(closed.getsockname())
            caller.send(1)
            assert await caller.result() == (Outcome.CONNECT_FAILED, False, 0.0)


def test_reset_before_the_last_byte_is_written_proves_that_nothing_ran():
    # If an incomplete request counted as one that may have run, an unsafe message would be lost.
    async def cut_off(reader, writer):
        await reader.read(100)
        writer.transport.abort()

    @with_caller()
    async def _(caller):
        server = await asyncio.start_server(cut_off, "127.0.0.1", 0, limit=1024)
        caller.list(server.sockets[0].getsockname())
        caller.send(1, body=bytes(50_000_000))  # more than the sockets' buffers hold
        assert await caller.result() == (Outcome.CONNECT_FAILED, False, 0.0)


LONG_S = 20.0  # the liveness check ends with the reset it waits for, or the test fails


def test_reset_before_the_request_is_complete_proves_that_nothing_ran(monkeypatch):
    # The request was never complete, so a reset must not cost an unsafe message its retry.
    monkeypatch.setattr(connection, "MIN_LAST_BYTE_DELAY_S", LONG_S)
    monkeypatch.setattr(connection, "MAX_LAST_BYTE_DELAY_S", LONG_S)

    async def reset(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()

    @with_caller()
    async def _(caller):
        server = await asyncio.start_server(reset, "127.0.0.1", 0)
        caller.list(server.sockets[0].getsockname())
        caller.send(1)
        assert await caller.result() == (Outcome.CONNECT_FAILED, False, 0.0)


def test_call_on_a_dead_idle_connection_is_repeated_on_another():
    # The peer or a middlebox dropped the idle connection silently.
    async def drops(reader, writer):
        await reader.readuntil(b"hello")
        writer.write(b"HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n")
        await reader.read(1)  # of the next request
        writer.transport.abort()

    @with_caller()
    async def _(caller):
        server = await asyncio.start_server(drops, "127.0.0.1", 0)
        caller.list(server.sockets[0].getsockname())
        caller.endpoints.dropped = (dropped := []).append
        for message in (1, 2):
            caller.send(message)
            assert await caller.result() == (Outcome.OK, True, 0.0)
            for idle, _ in caller.endpoints.idle["e1"]:
                idle.last_byte_delay_s = LONG_S
        assert dropped == ["e1"] and caller.endpoints.connections == 1


def test_reset_after_the_last_byte_may_have_run():
    @with_caller()
    async def _(caller):
        caller.send(1)
        (await caller.partner.next()).reset()
        assert await caller.result() == (Outcome.RESET, False, 0.0)


def test_close_without_an_answer_may_have_run():
    @with_caller()
    async def _(caller):
        caller.send(1)
        (await caller.partner.next()).writer.close()
        assert await caller.result() == (Outcome.RESET, False, 0.0)


def test_an_answer_that_is_not_http_may_have_run():
    @with_caller()
    async def _(caller):
        caller.send(1)
        (await caller.partner.next()).writer.write(b"\x00\x01 nonsense\r\n\r\n")
        assert await caller.result() == (Outcome.ERROR, False, 0.0)


def test_a_delivery_counts_from_its_first_line_on():
    @with_caller()
    async def _(caller):
        caller.send(1)
        request = await caller.partner.next()
        request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
        assert await caller.result() == (Outcome.OK, True, 0.0)
        request.reset()


def test_timeout_closes_the_connection_of_the_call():
    @with_caller()
    async def _(caller):
        caller.send(1, patience=0.3)
        request = await caller.partner.next()
        assert await caller.result() == (Outcome.TIMEOUT, False, 0.0)
        assert await request.ended()


def test_cancel_closes_the_connection_of_the_call():
    @with_caller()
    async def _(caller):
        caller.send(1)
        request = await caller.partner.next()
        caller.endpoints.cancel(1, 0)
        assert await caller.result() == (Outcome.CANCELLED, False, 0.0)
        assert await request.ended()


def test_connection_closed_by_the_peer_is_not_reused():
    # A call on a stale connection ends with a reset, and an unsafe message would be lost.
    @with_caller()
    async def _(caller):
        caller.send(1)
        request = await caller.partner.next()
        request.answer(200)
        await caller.result()
        request.writer.close()
        await request.writer.wait_closed()
        caller.send(2)
        again = await caller.partner.next()
        assert again.connection == 2
        again.answer(200)
        assert await caller.result() == (Outcome.OK, True, 0.0)


def test_connection_with_unsolicited_data_is_not_reused():
    @with_caller()
    async def _(caller):
        caller.send(1)
        request = await caller.partner.next()
        request.answer(200)
        request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")  # unsolicited
        await caller.result()
        caller.send(2)
        again = await caller.partner.next()
        assert again.connection == 2
        again.answer(429)
        assert await caller.result() == (Outcome.FULL, False, 0.0)


def test_connection_near_its_idle_timeout_is_not_reused():
    @with_caller(conn_idle_ms=0.0)
    async def _(caller):
        for number in (1, 2):
            caller.send(number)
            request = await caller.partner.next()
            assert request.connection == number
            request.answer(200)
            await caller.result()


def test_idle_connection_closed_by_the_peer_is_closed_at_once():
    @with_caller()
    async def _(caller):
        caller.send(1)
        request = await caller.partner.next()
        request.answer(200)
        await caller.result()
        while not caller.endpoints.idle.get("e1"):
            await asyncio.sleep(0)
        request.writer.close()
        while "e1" in caller.endpoints.idle:
            await asyncio.sleep(0.001)
        assert await request.ended()


def test_number_of_connections_stays_within_the_limit():
    # Descriptors must not run out: an idle connection is evicted, and if there is none nothing is sent.
    @with_caller()
    async def _(caller):
        caller.endpoints.max_connections = 2
        other = await Peer().start()
        caller.endpoints.set_endpoint("e2", EndpointEntry(other.address, 8, 1, State.READY))
        caller.send(1)
        first = await caller.partner.next()
        first.answer(200)
        await caller.result()
        for number in (2, 3):
            caller.send(number, endpoint="e2")
            await other.next()
        assert await first.ended() and caller.endpoints.connections == 2
        caller.send(4)
        assert await caller.result() == (Outcome.NOT_EXECUTED, False, 0.0)
        assert caller.partner.requests.empty()


def test_most_recently_used_connection_is_reused_first():
    @with_caller()
    async def _(caller):
        caller.send(1)
        caller.send(2)
        requests = [await caller.partner.next(), await caller.partner.next()]
        for request in requests:
            request.answer(200)
            await caller.result()
        while sum(map(len, caller.endpoints.idle.values())) < 2:
            await asyncio.sleep(0)
        caller.send(3)
        assert (await caller.partner.next()).connection == requests[1].connection


def test_endpoint_that_moves_is_called_only_at_its_new_address():
    @with_caller()
    async def _(caller):
        caller.send(1)
        request = await caller.partner.next()
        request.answer(200)
        await caller.result()
        other = await Peer().start()
        caller.list(other.address)
        assert await request.ended()
        caller.send(2)
        (await other.next()).answer(200)
        assert await caller.result() == (Outcome.OK, True, 0.0)


def test_messages_of_a_batch_have_their_own_outcomes_and_its_retry_after():
    @with_caller(batch=20)
    async def _(caller):
        caller.send(*range(1, 6))
        request = await caller.partner.next()
        assert request.target == "/receive-many" and caller.partner.requests.empty()
        lines = [b"m1 accepted", b"m2 fault", b"m3 deferred", b"m4 expired", b"m5 no_more", b""]
        request.answer(200, b"\r\n".join(lines), X_Come_Back_Ms="400")
        assert [await caller.result() for _ in range(5)] == [
            (Outcome.OK, True, 400.0),
            (Outcome.ERROR, False, 400.0),
            (Outcome.FULL, False, 400.0),
            (Outcome.NOT_EXECUTED, False, 400.0),
            (Outcome.NOT_EXECUTED, False, 400.0),
        ]


HEAD = b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n"
ENDLESS = HEAD % (503, 3_000_000_000)


@pytest.mark.parametrize(
    ("spoilt", "ends"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Le", Outcome.OK),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n", Outcome.OK),
        (b"HTTP/1.1 200 OK\r\n\x00\xff: \x01\r\n\r\n", Outcome.OK),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: 1", Outcome.OK),
        (HEAD % (200, 3_000_000_000) + bytes(100_000), Outcome.OK),
        (HEAD % (429, 9) + b"short", Outcome.ERROR),
        (HEAD % (410, 9), Outcome.ERROR),
        (HEAD % (504, 9), Outcome.ERROR),
        (ENDLESS, Outcome.ERROR),
        (ENDLESS + bytes(100_000), Outcome.ERROR),
        (b"HTTP/1.1 2000 OK\r\n", Outcome.ERROR),
        (b"HTTP/1.1 200", Outcome.ERROR),
        (b"HTTP/1.1 200 O", Outcome.ERROR),
        (b"HTTP/1.1 503 x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", Outcome.ERROR),
    ],
)
def test_invalid_answer_may_have_run_unless_its_status_line_says_200(spoilt, ends, monkeypatch):
    # An unsafe message that has run must not be retried, and an endless answer must not be awaited.
    monkeypatch.setattr(endpoints, "RESPONSE_REMAINDER_S", 0.2)

    @with_caller()
    async def _(caller):
        caller.send(1)
        request = await caller.partner.next()
        request.writer.write(spoilt)
        assert await caller.result() == (ends, ends is Outcome.OK, 0.0)
        assert await request.ended()
        assert caller.endpoints.connections == 0


@pytest.mark.parametrize(
    "more", [HEAD % (200, 0), b"\x00 noise", b"HTTP/1.1 102 x\r\n\r\n", HEAD % (500, 3) + b"abc"]
)
def test_answer_with_trailing_data_counts_and_its_connection_is_closed(more):
    @with_caller()
    async def _(caller):
        caller.send(1)
        request = await caller.partner.next()
        request.writer.write(HEAD % (429, 2) + b"ok" + more)
        assert await caller.result() == (Outcome.FULL, False, 0.0)
        assert await request.ended()


def test_unreadable_load_report_and_1xx_answers_are_ignored():
    @with_caller()
    async def _(caller):
        caller.send(1)
        request = await caller.partner.next()
        request.writer.write(b"HTTP/1.1 102 x\r\n\r\nHTTP/1.1 103 y\r\nA: b\r\n\r\n")
        request.answer(503, b"", X_Backend_Load=";;x0=\xff,=nan")
        assert await caller.result() == (Outcome.FULL, False, 0.0)
        caller.send(2)
        assert (await caller.partner.next()).connection == request.connection


@pytest.mark.parametrize(
    "body",
    [b"", b"m1 accepted\r\n", b"m1 accepted\r\nm2 perhaps\r\n", b"m1 accepted\r\nm1 accepted\r\n", b"\xff"],
)
def test_incomplete_batch_answer_counts_as_an_error(body):
    @with_caller(batch=20)
    async def _(caller):
        caller.send(1, 2)
        request = await caller.partner.next()
        request.answer(200, body)
        assert [await caller.result(), await caller.result()] == [(Outcome.ERROR, False, 0.0)] * 2


def test_cancel_ends_a_call_with_an_endless_answer():
    @with_caller()
    async def _(caller):
        caller.send(1)
        request = await caller.partner.next()
        begun = asyncio.Event()
        caller.endpoints.limit_remaining_time = lambda limit: begun.set()
        request.writer.write(ENDLESS)
        await begun.wait()
        caller.endpoints.cancel(1, 0)
        assert await caller.result() == (Outcome.CANCELLED, False, 0.0)
        assert await request.ended()


def test_removed_endpoint_leaves_no_state_and_gets_no_calls():
    # State of removed endpoints must not accumulate, a connection must not be reused for another endpoint at
    # the same address, and a send to a removed endpoint must not fail the other sends of the turn.
    @with_caller()
    async def _(caller):
        caller.send(1)
        request = await caller.partner.next()
        request.answer(200)
        await caller.result()
        caller.send(2)
        out = await caller.partner.next()
        caller.endpoints.remove_endpoint("e1")
        out.answer(200)
        assert await caller.result() == (Outcome.OK, True, 0.0)
        assert await request.ended()
        while caller.endpoints.entries:
            await asyncio.sleep(0)
        assert not (caller.endpoints.idle or caller.endpoints.busy or caller.endpoints.connections)
        caller.send(3)
        assert await caller.result() == (Outcome.NOT_EXECUTED, False, 0.0)
        probes = []
        caller.endpoints.probe("e1", lambda *result: probes.append(result))
        assert probes == [("e1", Outcome.NOT_EXECUTED, 0.0)]


def test_expired_connections_are_closed_when_another_becomes_idle():
    @with_caller()
    async def _(caller):
        caller.send(1)
        caller.send(2)
        first, second = await caller.partner.next(), await caller.partner.next()
        first.answer(200)
        await caller.result()
        caller.endpoints.idle_limit_s = 0.0
        second.answer(200)
        await caller.result()
        assert await first.ended()
        assert caller.endpoints.connections == 1


@pytest.mark.parametrize(("status", "outcome"), [(429, Outcome.FULL), (500, Outcome.ERROR)])
def test_status_of_a_batch_applies_to_all_messages(status, outcome):
    @with_caller(batch=20)
    async def _(caller):
        caller.send(1, 2)
        (await caller.partner.next()).answer(status)
        assert [await caller.result(), await caller.result()] == [(outcome, False, 0.0)] * 2


def test_batch_size_is_limited_by_the_kind():
    @with_caller(batch=2)
    async def _(caller):
        caller.send(1, 2, 3)
        targets = sorted([(await caller.partner.next()).target, (await caller.partner.next()).target])
        assert targets == ["/receive", "/receive-many"]


ENDS_OF_TWO = [
    (200, b"m1 accepted\r\nm2 accepted\r\n"),
    (200, b"m1 deferred\r\nm2 deferred\r\n"),
    (200, b"m1 expired\r\nm2 expired\r\n"),
    (429, b""),
]


@pytest.mark.parametrize(("status", "body"), ENDS_OF_TWO)
def test_batch_answer_proves_nothing_if_one_message_was_given_up(status, body):
    # The partner may treat the whole call as given up, so its answer counts for no message of it. They may
    # have run, so unsafe ones must not be retried either.
    @with_caller(batch=20, second_copies=True)
    async def _(caller):
        caller.send(1, 2)
        request = await caller.partner.next()
        caller.endpoints.cancel(1, 0)
        assert (await caller.result())[0] is Outcome.CANCELLED
        request.answer(status, body, X_Come_Back_Ms="20000")
        assert await caller.result() == (Outcome.ERROR, False, 20_000.0), "the retry-after was ignored"
        assert caller.results.empty()


@pytest.mark.parametrize("second_copies", [False, True])
def test_batch_times_out_as_a_whole_with_its_earliest_deadline(second_copies):
    # A late answer must not count for messages with a later deadline, and no message may be retried while its
    # batch is still in flight.
    @with_caller(batch=20, second_copies=second_copies)
    async def _(caller):
        now = asyncio.get_running_loop().time()
        caller.endpoints.send(
            "e1", [Attempt(n, 0, b"m%d" % n, b"", now + s) for n, s in ((1, 0.2), (2, 30.0))]
        )
        request = await caller.partner.next()
        assert [await caller.result(), await caller.result()] == [(Outcome.TIMEOUT, False, 0.0)] * 2
        assert await request.ended()


@pytest.mark.parametrize("batch", [1, 4])
def test_retry_that_connects_after_its_window_is_not_sent(batch):
    # A retry that was decided in time but waits for its connection would count twice at the partner.
    @with_caller(batch=batch)
    async def _(caller):
        loop = asyncio.get_running_loop()
        go_on, connect, start_by = asyncio.Event(), caller.endpoints.connect, loop.time() + 0.05

        async def slow_connect(endpoint):
            await go_on.wait()
            return await connect(endpoint)

        caller.endpoints.connect = slow_connect
        attempts = [Attempt(m, 1, b"m%d" % m, b"", loop.time() + 30.0) for m in range(batch)]
        attempts[-1] = replace(attempts[-1], start_by=start_by)
        caller.endpoints.send("e1", attempts)
        loop.call_at(start_by, go_on.set)
        for _ in range(batch):
            assert await caller.result() == (Outcome.NOT_EXECUTED, False, 0.0)
        assert caller.partner.requests.empty()


@pytest.mark.parametrize("bar", ["wait", "drain", "move"])
def test_call_that_connects_after_a_retry_after_a_drain_or_a_move_is_not_sent(bar):
    # The decision was made before the endpoint became unavailable; the call must not be sent afterwards.
    @with_caller()
    async def _(caller):
        caller.send(1)
        first = await caller.partner.next()
        reached, go_on = asyncio.Event(), asyncio.Event()
        connect = caller.endpoints.connect

        async def slow_connect(endpoint):
            reached.set()
            await go_on.wait()
            return await connect(endpoint)

        caller.endpoints.connect = slow_connect
        caller.send(2)
        await reached.wait()
        if bar == "wait":
            first.answer(429, X_Come_Back_Ms="20000")
            assert await caller.result() == (Outcome.FULL, False, 20_000.0)
        elif bar == "drain":
            caller.list(caller.partner.address, State.DRAINING)
        else:
            connecting = asyncio.create_task(connect("e1"))  # to the old address
            held = await connecting
            caller.list(("127.0.0.1", 9))

            async def obtain_connection(call):
                return held

            caller.endpoints.obtain_connection = obtain_connection
            caller.endpoints.send("e1", [Attempt(3, 0, b"m3", b"", asyncio.get_running_loop().time() + 30.0)])
            assert await caller.result() == (Outcome.NOT_EXECUTED, False, 0.0)
            assert caller.partner.requests.empty()
            return
        go_on.set()
        assert await caller.result() == (Outcome.NOT_EXECUTED, False, 0.0)
        assert caller.partner.requests.empty()


def test_probe_that_connects_after_a_drain_is_not_sent():
    @with_caller()
    async def _(caller):
        results, reached, go_on = asyncio.Queue(), asyncio.Event(), asyncio.Event()
        connect = caller.endpoints.connect

        async def slow_connect(endpoint):
            reached.set()
            await go_on.wait()
            return await connect(endpoint)

        caller.endpoints.connect = slow_connect
        caller.endpoints.probe("e1", lambda *result: results.put_nowait(result))
        await reached.wait()
        caller.list(caller.partner.address, State.DRAINING)
        go_on.set()
        assert (await results.get())[1] is Outcome.NOT_EXECUTED
        assert caller.partner.requests.empty() and not caller.endpoints.connections


def test_unexpected_exception_in_a_call_still_gives_a_result(caplog):
    @with_caller()
    async def _(caller):
        async def broken(*_):
            raise RuntimeError("injected fault")

        caller.endpoints.request = broken
        caller.send(1)
        assert await caller.result() == (Outcome.CONNECT_FAILED, False, 0.0)

    assert "injected fault" in caplog.text and "Traceback" in caplog.text


@pytest.mark.parametrize(("status", "outcome"), [(200, Outcome.OK), (503, Outcome.FULL)])
def test_probe_requests_alive(status, outcome):
    @with_caller()
    async def _(caller):
        results = asyncio.Queue()
        caller.endpoints.probe("e1", lambda *result: results.put_nowait(result))
        request = await caller.partner.next()
        assert (request.method, request.target) == ("GET", "/alive")
        request.answer(status)
        assert (await results.get())[:2] == ("e1", outcome)


def test_invalid_answer_to_a_probe_is_a_failure(monkeypatch):
    @with_caller(connect_timeout_ms=300.0)
    async def _(caller):
        results = asyncio.Queue()
        for spoilt in (HEAD % (200, 9), b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"):
            caller.endpoints.probe("e1", lambda *result: results.put_nowait(result))
            (await caller.partner.next()).writer.write(spoilt)
            assert (await results.get())[1] in (Outcome.TIMEOUT, Outcome.RESET)
