"""The adapter's codec: frames as the protocol page prints them, and malformed input."""

import io
import json

import pytest

from crowpier import benchlink

TOLD = {
    "balancers": 1,
    "categories": [
        {
            "aimMs": 1500.0,
            "effect": "repeatable",
            "hardLimitMs": 6000.0,
            "lateWorth": 0.1,
            "name": "n",
            "value": 1.0,
        }
    ],
    "discovery": "on_request",
    "familyInfo": {"batchByKind": [1], "kindApart": [False], "losesWorth": "halves", "workers": 4},
    "guarantees": {
        "answerSlackMs": 20.0,
        "coldFrom": 0.2,
        "drainGraceMs": 1000.0,
        "fallMs": 2000.0,
        "fallMultiple": 2.0,
        "warmWithinMs": 9000.0,
    },
    "kinds": ["firms"],
    "me": 0,
    "policyLimits": {
        "connIdleMs": 10000.0,
        "connectTimeoutMs": 1500.0,
        "maxAttempts": 8,
        "maxRetryAfterMs": 3000.0,
        "mayCancel": True,
        "mayDuplicate": False,
        "mayProbe": False,
        "mostHeld": 20,
        "retryAfter": False,
    },
    "quantumMs": 5.0,
    "weights": "off",
    "zones": ["a"],
    "unheard": "of",
}
RAW = bytes.fromhex("0a124a07c32b")


def frame(*records: bytes, now: float = 10436.25) -> bytes:
    body = b"".join(records)
    return benchlink.HEADER.pack(16 + len(body), len(records), now) + body


def record(code: int, shape, *fields) -> bytes:
    return benchlink.CODE.pack(code) + shape.pack(*fields)


def up(options=None) -> bytes:
    text = json.dumps(TOLD if options is None else options).encode()
    return record(1050, benchlink.UP, 3, 9, len(text)) + text


def inventory() -> bytes:
    return record(1060, benchlink.INVENTORY, 0, 1) + benchlink.ENTRY.pack(RAW, 0, 0, 57, 1, 1.0, 0.0)


def run(data: bytes) -> tuple[int, bytes]:
    sink = io.BytesIO()
    return benchlink.main(io.BytesIO(data), sink), sink.getvalue()


def test_an_empty_batch_has_the_reply_of_the_protocol_page():
    assert run(bytes.fromhex("100000000000000000000000206ec040")) == (0, bytes.fromhex("0800000000000000"))


def test_endpoint_addresses_round_trip():
    assert benchlink.endpoint_name(RAW) == "10.18.74.7:11203"
    assert benchlink.endpoint_bytes("10.18.74.7:11203") == RAW


def test_a_message_is_sent_to_the_endpoint_that_was_listed():
    sync = record(1070, benchlink.SYNC, 3, 0, 2, 41)
    arrival = record(1000, benchlink.ARRIVAL, 3, 77, 0, 0, 0, 6000.0, 0.0, 57.0, 0)
    code, out = run(frame(up(), inventory(), sync, arrival))
    assert code == 0
    assert benchlink.SUBMIT_TO.pack(1040, 3, 77, RAW, 0.0)[:14] in out
    assert benchlink.SUBSCRIBE.pack(1000, 3, 1) in out


def test_tables_are_read_in_the_order_of_events():
    link = benchlink.Link()
    other = record(1060, benchlink.INVENTORY, 0, 0)
    link.handle_frame(frame(up(), inventory(), record(1070, benchlink.SYNC, 3, 0, 2, 1), other))
    assert list(link.dispatchers[3].endpoints) == ["10.18.74.7:11203"]
    assert link.inventories[0] == ()


def test_an_instance_that_stopped_does_nothing_more():
    link = benchlink.Link()
    link.handle_frame(frame(up()))
    reply = link.handle_frame(frame(record(1040, benchlink.REMINDER, 3, 0), record(1090, benchlink.STOP, 3)))
    assert reply == bytes.fromhex("0800000000000000") and not link.dispatchers


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (b"\x10\x00", "bad frame length"),
        (b"\x30\x00\x00\x00" + bytes(12), "frame cut off"),
        (frame(benchlink.CODE.pack(7)), "unknown event code 7"),
        (frame(benchlink.CODE.pack(1040) + b"\x00"), "record cut off"),
        (benchlink.HEADER.pack(20, 0, 0.0) + bytes(4), "left over"),
        (frame(record(1050, benchlink.UP, 3, 9, 1) + b"{"), "not readable as JSON"),
        (frame(up({k: v for k, v in TOLD.items() if k != "kinds"})), "kinds is missing"),
        (frame(up(TOLD | {"tenants": 3})), "instance 3"),
        (frame(up(TOLD | {"balancers": 0})), "dispatchers must be a number"),
        (frame(up(TOLD | {"quantumMs": "soon"})), "quantumMs has the wrong type: 'soon'"),
    ],
)
def test_malformed_input_ends_in_a_one_line_error(data, text, capsys):
    code, _ = run(data)
    message = capsys.readouterr().err
    assert code == 2 and text in message and message.count("\n") == 1


def test_an_exception_in_the_dispatcher_becomes_a_fault_record():
    link = benchlink.Link()
    link.handle_frame(frame(up(), record(1040, benchlink.REMINDER, 3, 0), now=10.0))
    reply = link.handle_frame(frame(record(1040, benchlink.REMINDER, 3, 0), now=5.0))
    assert b"time runs backwards" in reply and reply[8:10] == benchlink.CODE.pack(1010)
