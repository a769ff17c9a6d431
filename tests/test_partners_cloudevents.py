"""The CloudEvents codec for partners: the encoding of calls and the meaning of each response."""

import asyncio
import json
from dataclasses import replace

import h11
import pytest
from doubles import run
from test_node import Bench

from crowpier import Dispatcher
from crowpier.interface import Outcome
from rushhitch.acceptor import Submission
from rushhitch.cloudevents.events import Event
from rushhitch.cloudevents.http import decode
from rushhitch.core.endpoint_registry import with_unbatched_kinds
from rushhitch.core.node import Node
from rushhitch.partners.cloudevents import MAX_WAIT_MS, MODES, CloudEvents, retry_after_ms
from rushhitch.partners.codec import Attempt, AttemptResult

ATTRIBUTES = {"specversion": "1.0", "id": "ä 1", "source": "/books", "type": "com.example.paid", "seq": 7}
NOW = 1_790_000_000.0  # 2026-09-21T14:13:20Z


def codec(mode="binary"):
    return CloudEvents(mode, "/rushhitch", {"pay": "com.example.paid"}, "/in")


def attempt(attributes=ATTRIBUTES, body=b'{"a": 1}', deadline=0.0):
    encoded = json.dumps(attributes).encode() if attributes else b""
    return Attempt(1, 0, b"m1", body, 0.0, cls="pay", attributes=encoded, deadline=deadline)


def read_back(written):
    headers = [(name.decode().lower(), value.decode("latin-1")) for name, value in written.headers]
    return decode(headers, written.body)


@pytest.mark.parametrize("mode", MODES)
def test_an_event_is_passed_on_with_its_attributes_and_its_bytes(mode):
    written = codec(mode).write([attempt()], 1000.0)
    assert written.target == "/in"
    decoded_mode, (event,) = read_back(written)
    assert decoded_mode == mode and isinstance(event, Event)
    texts = {name: event.text(name) for name in ATTRIBUTES}
    assert texts == {name: str(value) for name, value in ATTRIBUTES.items()}
    assert event.data == b'{"a": 1}'


@pytest.mark.parametrize("mode", MODES)
def test_a_message_that_was_not_received_as_an_event_becomes_one(mode):
    written = codec(mode).write([attempt(None, b"\x00\xff", NOW)], 1000.0)
    _, (event,) = read_back(written)
    assert event.data == b"\x00\xff"
    assert event.attributes == {
        "specversion": "1.0",
        "id": "m1",
        "source": "/rushhitch",
        "type": "com.example.paid",
        "datacontenttype": "application/octet-stream",
        "expirytime": "2026-09-21T14:13:20.000Z",
    }


def test_each_attempt_writes_the_same_event():
    assert codec().write([attempt()], 1000.0) == codec().write([attempt()], 5.0)


def test_an_event_without_data_stays_without_data():
    _, (event,) = read_back(codec("structured").write([attempt(body=b"")], 1000.0))
    assert event.data is None


def test_a_batch_has_all_events_and_its_response_applies_to_all():
    both = [attempt(), attempt(ATTRIBUTES | {"id": "2"})]
    _, events = read_back(codec("batch").write(both, 1000.0))
    assert [event.text("id") for event in events] == ["ä 1", "2"]
    response = h11.Response(status_code=204, headers=[])
    assert codec("batch").results(response, b"", [b"a", b"b"]) == dict.fromkeys(
        (b"a", b"b"), AttemptResult(Outcome.OK, delivered=True)
    )


def test_only_batched_mode_has_several_events_in_a_call():
    assert [codec(mode).max_batch_size(20) for mode in MODES] == [1, 1, 20]


@pytest.mark.parametrize(
    ("statuses", "end"),
    [
        ((200, 201, 202, 204), AttemptResult(Outcome.OK, delivered=True)),
        ((429, 503), AttemptResult(Outcome.FULL)),
        ((301, 307, 308, 400, 401, 403, 404, 408, 410, 413, 415, 422), AttemptResult(Outcome.NOT_EXECUTED)),
        ((409, 423, 424, 500, 502, 504, 599), AttemptResult(Outcome.ERROR)),
    ],
)
def test_each_status_has_its_meaning(statuses, end):
    for status in statuses:
        response = h11.Response(status_code=status, headers=[])
        assert codec().results(response, b"", [b"m1"]) == {b"m1": end}, status


@pytest.mark.parametrize(
    ("value", "ms"),
    [
        ("2", 2_000.0),
        ("0", 0.0),
        ("-1", 0.0),
        ("1.5", 0.0),
        ("soon", 0.0),
        ("", 0.0),
        ("99999999999999999999", MAX_WAIT_MS),
        ("Mon, 21 Sep 2026 14:13:25 GMT", 5_000.0),
        ("Monday, 21-Sep-26 14:13:25 GMT", 5_000.0),
        ("Mon Sep 21 14:13:25 2026", 5_000.0),
        ("Mon, 21 Sep 2020 14:13:25 GMT", 0.0),
        ("Mon, 21 Sep 2099 14:13:25 GMT", MAX_WAIT_MS),
        ("Mon, 99 Sep 2026 14:13:25 GMT", 0.0),
    ],
)
def test_retry_after_is_read_in_seconds_and_as_a_date(value, ms):
    assert retry_after_ms(value, NOW) == ms
    for status, expected in ((429, ms), (503, ms), (202, 0.0), (301, 0.0)):
        response = h11.Response(status_code=status, headers=[("Retry-After", value)])
        assert codec().wait_ms(response, NOW) == expected


@pytest.mark.parametrize(
    ("head", "delivered"),
    [
        (b"HTTP/1.1 202 Accepted\r\n", True),
        (b"HTTP/1.1 204\r\nrubbish", True),
        (b"HTTP/1.1 20", False),
        (b"HTTP/1.1 500 x\r\n", False),
        (b"HTTP/1.1 2020 x\r\n", False),
    ],
)
def test_the_status_line_alone_proves_a_delivery(head, delivered):
    assert codec().delivered(head) is delivered


def test_slots_count_single_calls_if_the_kind_takes_batches_but_the_protocol_does_not(tmp_path):
    # The kind takes ten messages a call: if that were used, one slot would be ten calls.
    async def work():
        bench = await Bench().start(tmp_path)
        settings = replace(
            bench.node.settings, kinds=(replace(bench.node.settings.kinds[0], batch=10),), slots=3
        )
        settings = with_unbatched_kinds(settings)
        node = Node(settings, Dispatcher(settings, 1), bench.journal, bench.node.notify)
        node.registry.codecs = {7: CloudEvents("binary", "/rushhitch", {})}
        node.registry.apply_update({"version": 42, "full": True, "servers": [bench.row]})
        for number in range(8):
            node.offer(Submission(b"m%d" % number, "note", 7, 6000.0, b""), lambda reply: None)
        first = [await bench.partner.next() for _ in range(3)]
        await asyncio.sleep(0.2)
        assert bench.partner.requests.empty(), "three slots are three calls"
        for request in first:
            request.answer(202)
        for _ in range(5):
            (await bench.partner.next()).answer(202)
        await node.idle.wait()
        bench.journal.close()

    run(work())
