"""Endpoint answers that end a message: no further call, and exactly one notice."""

import asyncio
import itertools

import pytest
from doubles import run_with_program
from leavers import (
    ACCEPTED,
    DuplicatingProgram,
    Endpoint,
    ManyMessagesProgram,
    RawClient,
    SeparateDestinationsProgram,
    ids_of,
    submit_together,
    wait_until_accepted,
)

LEFT_MS = 4000
RESPONSE_READ_S = 0.02  # for a response to be read
ENDED_S = LEFT_MS / 1000.0 + 1.0  # each message has ended by then


async def submit_all_at_once(program, clients):
    """Submit all messages while the process is suspended, and read the acceptances."""
    await wait_until_accepted(clients)
    await submit_together(program, clients, LEFT_MS)
    for client in clients:
        assert await client.read_answer() == ACCEPTED


def test_a_message_answered_with_410_is_called_once(tmp_path):
    # 410 must not be retried until the time of the message is up.
    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        clients = [RawClient(program, name, name.decode()[:4].strip("-")) for name in (b"note", b"pay-")]
        async with Endpoint(program, lambda request: request.answer(410)) as endpoint:
            await submit_all_at_once(program, clients)
            await endpoint.wait_for(lambda: len(endpoint.notices_by_message()) == len(clients), ENDED_S)
            await endpoint.settle()
            assert endpoint.count() == {b"note": 1, b"pay-": 1}
            assert endpoint.notices_by_message() == {b"note": ["bounced"], b"pay-": ["bounced"]}


def test_a_message_answered_expired_in_a_batch_is_called_once_and_the_others_continue(tmp_path):
    # As above for `expired` in a batch, which must not end the other messages.
    first = {b"m0": b"accepted", b"m1": b"expired", b"m2": b"deferred", b"m3": b"expired"}

    @run_with_program(ManyMessagesProgram(tmp_path, batch=4))
    async def _(program):
        batches = []

        def answer(request):
            ids = ids_of(request)
            if len(ids) > 1:
                batches.append(set(ids))
                request.answer(200, b"".join(b"%s %s\r\n" % (name, first[name]) for name in ids))
            else:
                request.answer(410 if first[ids[0]] == b"expired" else 200)

        clients = [
            RawClient(program, name, cls)
            for name, cls in zip(first, ("note", "note", "note", "pay"), strict=True)
        ]
        async with Endpoint(program, answer) as endpoint:
            await submit_all_at_once(program, clients)
            await endpoint.wait_for(lambda: {b"m1", b"m3"} <= endpoint.notices_by_message().keys(), ENDED_S)
            await endpoint.wait_for(lambda: endpoint.count()[b"m2"] == 2, ENDED_S)
            await endpoint.settle()
            assert batches[0] == set(first)
            assert endpoint.count() == {b"m0": 1, b"m1": 1, b"m2": 2, b"m3": 1}
            assert endpoint.notices_by_message() == {b"m1": ["bounced"], b"m3": ["bounced"]}


# Endpoints that always give the same answer


def one_of_each_class(program):
    """One message of each class."""
    return [RawClient(program, cls.encode(), cls) for cls in ("note", "pay")]


def answering(status, batch_end=b"", **headers):
    """Answer each call with `status`, or a batch with `batch_end` for each message."""

    def answer(request):
        if batch_end and request.target == "/receive-many":
            request.answer(200, b"".join(b"%s %s\r\n" % (name, batch_end) for name in ids_of(request)))
        else:
            request.answer(status, **headers)

    return answer


async def wait_for_ends(endpoint, count_of):
    """Wait for the notices of `count_of` messages, and `SETTLE_S` more; returns calls and results."""
    await endpoint.wait_for(lambda: len(endpoint.notices_by_message()) == count_of, ENDED_S)
    await endpoint.settle()
    assert all(len(results) == 1 for results in endpoint.notices_by_message().values()), (
        "more than one notice"
    )
    return endpoint.count(), {name: results[0] for name, results in endpoint.notices_by_message().items()}


@pytest.mark.parametrize(
    ("batch", "answer"),
    [
        pytest.param(1, answering(410), id="410"),
        pytest.param(1, answering(504), id="504"),
        pytest.param(4, answering(410), id="410 to a batch"),
        pytest.param(4, answering(504), id="504 to a batch"),
        pytest.param(4, answering(410, b"expired"), id="expired"),
        pytest.param(4, answering(504, b"no_more"), id="no_more"),
    ],
)
def test_no_call_follows_a_final_answer(tmp_path, batch, answer):
    # No retries of what is over (410, expired) or has used all its attempts (504, no_more).
    @run_with_program(ManyMessagesProgram(tmp_path, batch))
    async def _(program):
        async with Endpoint(program, answer) as endpoint:
            await submit_all_at_once(program, one_of_each_class(program))
            count, results = await wait_for_ends(endpoint, count_of=2)
            assert count == {b"note": 1, b"pay": 1}
            assert results.keys() == {b"note", b"pay"}


@pytest.mark.parametrize("status", [400, 413])
def test_a_rejected_batch_has_not_run_and_is_retried(tmp_path, status):
    # An unsafe message must not fail as "may have run" if its call was rejected.
    @run_with_program(ManyMessagesProgram(tmp_path, batch=4))
    async def _(program):
        def answer(request):
            if len(ids_of(request)) > 1 and len(endpoint.calls) == 1:
                request.answer(status)
            else:
                endpoint.deliver(request)

        async with Endpoint(program, answer) as endpoint:
            clients = one_of_each_class(program)
            await submit_all_at_once(program, clients)
            await endpoint.wait_for(lambda: len(endpoint.delivered) == len(clients), ENDED_S)
            await endpoint.settle()
            assert endpoint.count() == {b"note": 2, b"pay": 2}
            assert not endpoint.notices_by_message()


@pytest.mark.parametrize("status", [400, 413])
def test_messages_to_an_endpoint_that_rejects_every_batch_are_retried_and_reach_an_end(tmp_path, status):
    # As above for an endpoint that rejects every batch: no message ever ran.
    @run_with_program(ManyMessagesProgram(tmp_path, batch=4))
    async def _(program):
        def answer(request):
            if len(ids_of(request)) > 1:
                request.answer(status)
            else:
                endpoint.deliver(request)

        async with Endpoint(program, answer) as endpoint:
            await submit_all_at_once(program, one_of_each_class(program))
            await endpoint.wait_for(
                lambda: len(endpoint.delivered | endpoint.notices_by_message().keys()) == 2, ENDED_S
            )
            await endpoint.settle()
            assert endpoint.delivered | endpoint.notices_by_message().keys() == {b"note", b"pay"}
            assert endpoint.count()[b"pay"] > 1


def one_for_each_destination(program):
    """One message of each class, each to its own endpoint."""
    return [RawClient(program, cls.encode(), cls, dest) for cls, dest in program.DESTINATIONS.items()]


@pytest.mark.parametrize(
    ("answer", "wait_s"),
    [
        pytest.param(answering(503, X_Line_Busy="1"), 0.0, id="503 with X-Line-Busy"),
        pytest.param(answering(429, X_Come_Back_Ms="700"), 0.7, id="429 with 700 ms"),
        pytest.param(answering(503), 0.0, id="503"),
    ],
)
def test_rejected_calls_have_not_run_and_are_retried(tmp_path, answer, wait_s):
    # An unsafe message must be retried while all its calls are rejected, and the requested wait be observed.
    @run_with_program(SeparateDestinationsProgram(tmp_path))
    async def _(program):
        async with Endpoint(program, answer) as endpoint:
            await submit_all_at_once(program, one_for_each_destination(program))
            count, results = await wait_for_ends(endpoint, count_of=2)
            assert count[b"note"] > 1 and count[b"pay"] > 1
            assert results.keys() == {b"note", b"pay"}
            for name in results:
                at = [call.at for call in endpoint.calls if name in call.ids]
                assert all(later - earlier >= wait_s for earlier, later in itertools.pairwise(at))


@pytest.mark.parametrize("status", [500, 204, 302, 404, 418, 599])
def test_an_unsafe_message_that_may_have_run_is_called_once(tmp_path, status):
    # A status that the protocol does not list must not count as "never ran".
    @run_with_program(SeparateDestinationsProgram(tmp_path))
    async def _(program):
        async with Endpoint(program, answering(status)) as endpoint:
            await submit_all_at_once(program, one_for_each_destination(program))
            count, results = await wait_for_ends(endpoint, count_of=2)
            assert count[b"note"] > 1 and count[b"pay"] == 1
            assert results == {b"note": "dead", b"pay": "dead"}


# Beside other attempts, and with a kill of the process


def test_410_after_an_attempt_that_may_have_run_ends_the_message_as_failed(tmp_path):
    # 410 to one call does not mean that the message never ran: an earlier call was cut off.
    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        def answer(request):
            if len(endpoint.calls) == 1:
                request.reset()
            else:
                request.answer(410)

        async with Endpoint(program, answer) as endpoint:
            await submit_all_at_once(program, [RawClient(program, b"note")])
            await endpoint.wait_for(lambda: endpoint.notices_by_message(), ENDED_S)
            await endpoint.settle()
            assert endpoint.count() == {b"note": 2}
            assert endpoint.notices_by_message() == {b"note": ["dead"]}


@pytest.mark.parametrize("outcome", [200, 500])
def test_no_call_follows_410_while_another_attempt_is_open(tmp_path, outcome):
    # Neither a further attempt, nor "never ran" while another attempt may be running.
    @run_with_program(DuplicatingProgram(tmp_path))
    async def _(program):
        out = []

        def answer(request):
            if len(endpoint.calls) == 1:
                request.answer(503)
            elif len(endpoint.calls) == 2:
                out.append(request)
            else:
                request.answer(410)

        async with Endpoint(program, answer) as endpoint:
            await submit_all_at_once(program, [RawClient(program, b"note")])
            assert await endpoint.wait_for(lambda: len(endpoint.calls) == 3, ENDED_S), "two copies at once"
            await endpoint.settle()
            out[0].answer(outcome)
            await endpoint.settle()
            assert endpoint.count() == {b"note": 3}
            assert endpoint.notices_by_message().get(b"note", ["dead"]) == ["dead"]
            assert outcome == 200 or endpoint.notices_by_message()


def test_no_call_follows_410_while_an_attempt_of_an_earlier_process_may_run(tmp_path):
    # As above where the other attempt was started by a process that was killed.
    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        async with Endpoint(program, lambda request: None) as endpoint:
            await submit_all_at_once(program, [RawClient(program, b"note")])
            assert await endpoint.wait_for(lambda: endpoint.calls, ENDED_S)
            await program.kill()
            endpoint.answer = answering(410)
            await program.start()
            await endpoint.wait_for(lambda: endpoint.notices_by_message(), ENDED_S)
            await endpoint.settle()
            assert endpoint.count() == {b"note": 2}
            assert endpoint.notices_by_message() == {b"note": ["dead"]}


def test_a_message_ended_by_410_is_not_called_after_a_kill(tmp_path):
    # The end must be journaled: the platform has not acknowledged the notice when the process is killed.
    @run_with_program(ManyMessagesProgram(tmp_path))
    async def _(program):
        async with Endpoint(program, answering(410)) as endpoint:
            clients = one_of_each_class(program)
            await submit_all_at_once(program, clients)
            assert await endpoint.wait_for(lambda: len(endpoint.count()) == len(clients), ENDED_S)
            await asyncio.sleep(RESPONSE_READ_S)
            program.process.kill()
            await program.process.wait()
            await program.start()
            await endpoint.wait_for(lambda: len(endpoint.notices_by_message()) == len(clients), ENDED_S)
            await endpoint.settle()
            assert endpoint.count() == {b"note": 1, b"pay": 1}
            assert endpoint.notices_by_message().keys() == {b"note", b"pay"}
