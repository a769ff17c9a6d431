"""Which answer belongs to which request of a connection: the rule, and the pool under copied answers."""

import asyncio

import h11
import pytest
from test_endpoints import with_caller

from crowpier.interface import Outcome
from rushhitch.exchanges import SUSPENSION_S, ExchangeSequence, ReusePolicy, closes_connection

OK = b"HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"
LAST_OK = b"HTTP/1.1 200 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
LAST_FULL = b"HTTP/1.1 503 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("copies", range(4))
def test_no_copy_of_an_earlier_answer_is_attributed_to_a_later_request(copies):
    # Two requests, copies of the first answer before, between and behind the answers.
    sequence = ExchangeSequence()
    assert not sequence.begin()
    assert sequence.first_line_counts and sequence.accept(closes=False)
    assert sequence.begin()
    for _ in range(copies):
        assert not sequence.first_line_counts and not sequence.accept(closes=False)
    assert sequence.unattributed == copies and sequence.ended_unmarked is (copies > 0)
    assert sequence.accept(closes=True)
    assert sequence.first_line_counts and not sequence.ended_unmarked


def test_a_connection_whose_request_was_not_answered_has_not_been_used():
    sequence = ExchangeSequence()
    assert not sequence.begin() and not sequence.begin()


@pytest.mark.parametrize(
    ("version", "headers", "closes"),
    [
        (b"1.1", [], False),
        (b"1.1", [("Connection", "keep-alive")], False),
        (b"1.1", [("Connection", "Close")], True),
        (b"1.1", [("Connection", "x, close")], True),
        (b"1.0", [], True),
    ],
)
def test_a_response_says_whether_its_connection_ends(version, headers, closes):
    assert closes_connection(h11.Response(status_code=200, headers=headers, http_version=version)) is closes


def test_what_may_not_be_repeated_waits_until_an_endpoint_has_marked_a_last_answer():
    policy = ReusePolicy({"platform"})
    assert policy.permits("platform", repeatable=False)
    policy.note_unmarked("platform")
    assert not policy.permits("platform", repeatable=False) and policy.permits("platform", repeatable=True)
    policy.note_marked("platform")
    assert policy.permits("platform", repeatable=False)


def test_an_endpoint_that_answers_out_of_step_is_suspended_until_its_address_changes_or_time_passes():
    policy = ReusePolicy()
    policy.note_unrequested("e1", OK, 10.0)
    assert policy.is_suspended("e1", 69.9) and not policy.is_suspended("e1", 70.0)
    policy.note_unrequested("e1", OK, 80.0)
    policy.forget("e1")
    assert not policy.is_suspended("e1", 81.0)


async def second_call(caller, repeatable=True):
    """Answer a first call with 200 and return the request of a second on the same connection."""
    caller.send(1)
    first = await caller.partner.next()
    first.answer(200)
    assert await caller.result() == (Outcome.OK, True, 0.0)
    caller.send(2, repeatable=repeatable)
    second = await caller.partner.next()
    assert second.connection == first.connection and second.headers["connection"] == "close"
    return second


@pytest.mark.parametrize("copies", [OK, OK * 3, b"HTTP/1.1 103 x\r\n\r\n" + OK])
@pytest.mark.parametrize(
    ("own", "end"),
    [(LAST_FULL, (Outcome.FULL, False, 0.0)), (LAST_OK, (Outcome.OK, True, 0.0))],
)
def test_copies_before_the_answer_are_passed_over_together_or_one_by_one(copies, own, end):
    @with_caller()
    async def _(caller):
        request = await second_call(caller, repeatable=False)
        request.writer.write(copies + own)
        assert await caller.result() == end
        assert await request.ended() and caller.endpoints.unrequested

    @with_caller()
    async def _(caller):
        request = await second_call(caller, repeatable=False)
        for byte in copies + own:
            request.writer.write(bytes([byte]))
            await asyncio.sleep(0)
        assert await caller.result() == end


@pytest.mark.parametrize("own", [b"", OK[:20]])
def test_a_copy_without_the_answer_behind_it_proves_nothing(own):
    @with_caller()
    async def _(caller):
        request = await second_call(caller)
        request.writer.write(OK + own)
        request.writer.close()
        outcome, over, _ = await caller.result()
        assert not over and not outcome.never_ran


@pytest.mark.parametrize("own", [b"", LAST_OK])
def test_a_wait_is_heeded_even_if_its_answer_may_be_a_copy(own):
    # An endpoint that marks no answers tells its wait in no other.
    @with_caller()
    async def _(caller):
        request = await second_call(caller)
        request.writer.write(b"HTTP/1.1 429 x\r\nX-Come-Back-Ms: 350\r\nContent-Length: 0\r\n\r\n" + own)
        request.writer.close()
        _, over, wait_ms = await caller.result()
        assert (over, wait_ms) == (bool(own), 350.0)
        caller.send(3)
        assert (await caller.results.get()).outcome is Outcome.NOT_EXECUTED


def test_an_answer_that_breaks_off_counts_by_its_first_line_only_if_it_is_marked():
    @with_caller()
    async def _(caller):
        request = await second_call(caller)
        request.writer.write(OK[:30])
        request.writer.close()
        result = await caller.results.get()
        assert not result.over and not result.outcome.never_ran
        assert result.final, "it was probably delivered, and must not be called again"

    @with_caller()
    async def _(caller):
        request = await second_call(caller)
        request.writer.write(b"HTTP/1.1 200 x\r\nConnection: close\r\nContent-Length: 9\r\n\r\n")
        request.writer.close()
        assert (await caller.result())[:2] == (Outcome.OK, True)


def test_time_for_the_rest_of_an_answer_runs_from_its_own_beginning(monkeypatch):
    # A copy 3 ms behind the call must not cut the time that the endpoint has for its answer.
    monkeypatch.setattr("rushhitch.endpoints.RESPONSE_REMAINDER_S", 0.05)

    @with_caller()
    async def _(caller):
        request = await second_call(caller)
        request.writer.write(OK)
        await asyncio.sleep(0.15)
        request.writer.write(LAST_FULL)
        assert await caller.result() == (Outcome.FULL, False, 0.0)


def test_an_endpoint_out_of_step_gets_one_call_a_connection_for_a_while():
    @with_caller()
    async def _(caller):
        request = await second_call(caller)
        request.writer.write(OK + LAST_OK)
        await caller.result()
        for number in (3, 4):
            caller.send(number)
            request = await caller.partner.next()
            request.answer(200)
            await caller.result()
            assert request.connection == number - 1 and await request.ended()
        caller.endpoints.reuse.suspended_until["e1"] -= SUSPENSION_S
        for number in (5, 6):
            caller.send(number)
            request = await caller.partner.next()
            request.answer(200)
            await caller.result()
        assert request.connection == 4


def test_a_copy_on_an_idle_connection_is_counted_and_closes_the_others():
    @with_caller()
    async def _(caller):
        caller.send(1)
        caller.send(2)
        requests = [await caller.partner.next(), await caller.partner.next()]
        for request in requests:
            request.answer(200)
            await caller.result()
        requests[0].writer.write(FULL)
        assert await requests[0].ended() and await requests[1].ended()
        assert caller.endpoints.unrequested == 1 and not caller.endpoints.connections


def test_noise_is_no_sign_of_answers_that_come_again():
    policy = ReusePolicy()
    policy.note_unrequested("e1", b"abcde", 10.0)
    assert not policy.is_suspended("e1", 11.0)


def test_a_copied_answer_to_a_batch_does_not_end_another_batch():
    @with_caller(batch=20)
    async def _(caller):
        caller.send(1, 2)
        body = b"m1 accepted\r\nm2 accepted\r\n"
        (await caller.partner.next()).answer(200, body)
        assert (await caller.result())[1] and (await caller.result())[1]
        caller.send(3, 4, repeatable=False)
        request = await caller.partner.next()
        assert request.connection == 1
        request.writer.write(
            b"HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body) + LAST_FULL
        )
        assert [await caller.result(), await caller.result()] == [(Outcome.FULL, False, 0.0)] * 2


def test_a_probe_behind_a_call_is_the_last_request_and_takes_no_copy_for_its_answer():
    @with_caller()
    async def _(caller):
        caller.send(1)
        (await caller.partner.next()).answer(200)
        await caller.result()
        results = asyncio.Queue()
        caller.endpoints.probe("e1", lambda *result: results.put_nowait(result))
        request = await caller.partner.next()
        assert request.connection == 1 and request.headers["connection"] == "close"
        request.writer.write(OK + LAST_FULL)
        assert (await results.get())[1] is Outcome.FULL


def test_an_endpoint_that_closes_without_a_mark_gets_no_second_call_that_may_not_be_repeated():
    @with_caller()
    async def _(caller):
        request = await second_call(caller, repeatable=False)
        request.writer.write(OK)
        request.writer.close()
        outcome, over, _ = await caller.result()
        assert not over and not outcome.never_ran
        caller.endpoints.reuse.forget("e1")  # as after its suspension
        caller.send(3)
        (await caller.partner.next()).answer(200)
        await caller.result()
        caller.send(4, repeatable=False)
        assert (await caller.partner.next()).connection == 3
