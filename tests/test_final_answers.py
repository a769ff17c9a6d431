"""Answers of an endpoint that end a message: no further call, and an end that is told."""

import asyncio
import itertools

import pytest
from doubles import run_with_program
from leavers import TAKEN, Apart, Copying, Endpoint, RawClient, Roomy, are_known, hand_in_together, ids_of

LEFT_MS = 4000
READ_S = 0.02  # an answer that was written has been read by then
ENDED_S = LEFT_MS / 1000.0 + 1.0  # by then each message has its end, however late


async def all_in_one_tick(program, clients):
    """Each hands in its message while the process stands still, and hears that it is accepted."""
    await are_known(clients)
    await hand_in_together(program, clients, LEFT_MS)
    for client in clients:
        assert await client.hear() == TAKEN


def test_what_an_endpoint_calls_over_by_410_is_called_once(tmp_path):
    # Guards against "whether it is over is known here, not there": called again until its time is up.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        clients = [RawClient(program, name, name.decode()[:4].strip("-")) for name in (b"note", b"pay-")]
        async with Endpoint(program, lambda request: request.answer(410)) as endpoint:
            await all_in_one_tick(program, clients)
            await endpoint.until(lambda: len(endpoint.told()) == len(clients), ENDED_S)
            await endpoint.rest()
            assert endpoint.count() == {b"note": 1, b"pay-": 1}
            assert endpoint.told() == {b"note": ["bounced"], b"pay-": ["bounced"]}


def test_what_a_batch_calls_expired_is_in_one_call_and_its_fellows_go_on(tmp_path):
    # Guards against the same by `expired`, and against an end that takes its fellows along.
    first = {b"m0": b"accepted", b"m1": b"expired", b"m2": b"deferred", b"m3": b"expired"}

    @run_with_program(Roomy(tmp_path, batch=4))
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
            await all_in_one_tick(program, clients)
            await endpoint.until(lambda: {b"m1", b"m3"} <= endpoint.told().keys(), ENDED_S)
            await endpoint.until(lambda: endpoint.count()[b"m2"] == 2, ENDED_S)
            await endpoint.rest()
            assert batches[0] == set(first)
            assert endpoint.count() == {b"m0": 1, b"m1": 1, b"m2": 2, b"m3": 1}
            assert endpoint.told() == {b"m1": ["bounced"], b"m3": ["bounced"]}


# Each answer alone: an endpoint that gives no other


def both(program):
    """One message of each class."""
    return [RawClient(program, cls.encode(), cls) for cls in ("note", "pay")]


def answering(status, batch_end=b"", **headers):
    """An answer to each call: that status, or for several messages that end of each."""

    def answer(request):
        if batch_end and request.target == "/receive-many":
            request.answer(200, b"".join(b"%s %s\r\n" % (name, batch_end) for name in ids_of(request)))
        else:
            request.answer(status, **headers)

    return answer


async def all_end(endpoint, count_of):
    """Until so many have their notice, and a while longer: the calls and the notice of each."""
    await endpoint.until(lambda: len(endpoint.told()) == count_of, ENDED_S)
    await endpoint.rest()
    assert all(len(results) == 1 for results in endpoint.told().values()), "told more than once"
    return endpoint.count(), {name: results[0] for name, results in endpoint.told().items()}


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
def test_an_answer_that_no_further_call_can_better_is_the_last(tmp_path, batch, answer):
    # Guards against retries of what is over (410, expired) or has had all its attempts (504, no_more).
    @run_with_program(Roomy(tmp_path, batch))
    async def _(program):
        async with Endpoint(program, answer) as endpoint:
            await all_in_one_tick(program, both(program))
            count, told = await all_end(endpoint, count_of=2)
            assert count == {b"note": 1, b"pay": 1}
            assert told.keys() == {b"note", b"pay"}


@pytest.mark.parametrize("status", [400, 413])
def test_a_batch_that_is_not_taken_has_not_run_and_is_tried_again(tmp_path, status):
    # Guards against an unsafe message that is given up as "may have run" though its call was not taken.
    @run_with_program(Roomy(tmp_path, batch=4))
    async def _(program):
        def answer(request):
            if len(ids_of(request)) > 1 and len(endpoint.calls) == 1:
                request.answer(status)
            else:
                endpoint.deliver(request)

        async with Endpoint(program, answer) as endpoint:
            clients = both(program)
            await all_in_one_tick(program, clients)
            await endpoint.until(lambda: len(endpoint.delivered) == len(clients), ENDED_S)
            await endpoint.rest()
            assert endpoint.count() == {b"note": 2, b"pay": 2}
            assert not endpoint.told()


@pytest.mark.parametrize("status", [400, 413])
def test_an_endpoint_that_takes_no_batch_at_all_still_has_its_messages_tried_and_ended(tmp_path, status):
    # Guards against "may have run" by an endpoint that answers each batch so: none of it ran, ever.
    @run_with_program(Roomy(tmp_path, batch=4))
    async def _(program):
        def answer(request):
            if len(ids_of(request)) > 1:
                request.answer(status)
            else:
                endpoint.deliver(request)

        async with Endpoint(program, answer) as endpoint:
            await all_in_one_tick(program, both(program))
            await endpoint.until(lambda: len(endpoint.delivered | endpoint.told().keys()) == 2, ENDED_S)
            await endpoint.rest()
            assert endpoint.delivered | endpoint.told().keys() == {b"note", b"pay"}
            assert endpoint.count()[b"pay"] > 1


def apart(program):
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
def test_what_was_turned_away_never_ran_and_is_tried_again(tmp_path, answer, wait_s):
    # Guards against an unsafe message that is given up though no call of it was taken, and a wait not kept.
    @run_with_program(Apart(tmp_path))
    async def _(program):
        async with Endpoint(program, answer) as endpoint:
            await all_in_one_tick(program, apart(program))
            count, told = await all_end(endpoint, count_of=2)
            assert count[b"note"] > 1 and count[b"pay"] > 1
            assert told.keys() == {b"note", b"pay"}
            for name in told:
                at = [call.at for call in endpoint.calls if name in call.ids]
                assert all(later - earlier >= wait_s for earlier, later in itertools.pairwise(at))


@pytest.mark.parametrize("status", [500, 204, 302, 404, 418, 599])
def test_what_may_have_run_is_called_once_where_it_may_not_be_repeated(tmp_path, status):
    # Guards against a status on no row of the page that is taken for "never ran".
    @run_with_program(Apart(tmp_path))
    async def _(program):
        async with Endpoint(program, answering(status)) as endpoint:
            await all_in_one_tick(program, apart(program))
            count, told = await all_end(endpoint, count_of=2)
            assert count[b"note"] > 1 and count[b"pay"] == 1
            assert told == {b"note": "dead", b"pay": "dead"}


# Among other copies, and over a kill


def test_an_earlier_copy_that_may_have_run_makes_410_an_end_as_failed(tmp_path):
    # Guards against "never ran" told of a message by the answer to one of its calls: the one before was cut.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        def answer(request):
            if len(endpoint.calls) == 1:
                request.reset()
            else:
                request.answer(410)

        async with Endpoint(program, answer) as endpoint:
            await all_in_one_tick(program, [RawClient(program, b"note")])
            await endpoint.until(lambda: endpoint.told(), ENDED_S)
            await endpoint.rest()
            assert endpoint.count() == {b"note": 2}
            assert endpoint.told() == {b"note": ["dead"]}


@pytest.mark.parametrize("outcome", [200, 500])
def test_410_while_another_copy_is_out_is_the_last_call(tmp_path, outcome):
    # Guards against a further copy, and against "never ran" told while one may be running.
    @run_with_program(Copying(tmp_path))
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
            await all_in_one_tick(program, [RawClient(program, b"note")])
            assert await endpoint.until(lambda: len(endpoint.calls) == 3, ENDED_S), "two copies at once"
            await endpoint.rest()
            out[0].answer(outcome)
            await endpoint.rest()
            assert endpoint.count() == {b"note": 3}
            assert endpoint.told().get(b"note", ["dead"]) == ["dead"]
            assert outcome == 200 or endpoint.told()


def test_410_while_the_copy_of_an_earlier_process_may_run_is_the_last_call(tmp_path):
    # Guards against the same where the other copy is out: a kill left it at the endpoint.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        async with Endpoint(program, lambda request: None) as endpoint:
            await all_in_one_tick(program, [RawClient(program, b"note")])
            assert await endpoint.until(lambda: endpoint.calls, ENDED_S)
            await program.kill()
            endpoint.answer = answering(410)
            await program.start()
            await endpoint.until(lambda: endpoint.told(), ENDED_S)
            await endpoint.rest()
            assert endpoint.count() == {b"note": 2}
            assert endpoint.told() == {b"note": ["dead"]}


def test_what_410_ended_is_not_called_by_the_process_after_a_kill(tmp_path):
    # Guards against an end that is told and not written down; the platform has no time for it just then.
    @run_with_program(Roomy(tmp_path))
    async def _(program):
        async with Endpoint(program, answering(410)) as endpoint:
            clients = both(program)
            await all_in_one_tick(program, clients)
            assert await endpoint.until(lambda: len(endpoint.count()) == len(clients), ENDED_S)
            await asyncio.sleep(READ_S)
            program.process.kill()
            await program.process.wait()
            await program.start()
            await endpoint.until(lambda: len(endpoint.told()) == len(clients), ENDED_S)
            await endpoint.rest()
            assert endpoint.count() == {b"note": 1, b"pay": 1}
            assert endpoint.told().keys() == {b"note", b"pay"}
