"""CloudEvents: validation of attributes, the three HTTP modes, and the mapping to the core."""

import json

import pytest
from cloudevents.core.bindings.http import HTTPMessage, from_binary, from_structured
from cloudevents.core.formats.json import JSONFormat
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rushhitch.cloudevents.events import FORBIDDEN_CHARACTERS, MAX_DATA_BYTES, BadEvent, Event, is_json
from rushhitch.cloudevents.http import (
    BATCH,
    MAX_BATCH_EVENTS,
    STRUCTURED,
    decode,
    encode_batch,
    encode_binary,
    encode_structured,
)
from rushhitch.cloudevents.mapping import Rules, place_event

LEAST = {"id": "1", "source": "/a", "specversion": "1.0", "type": "t"}
JSON = [("content-type", STRUCTURED)]


def headers(**changes):
    named = {f"ce-{name}": value for name, value in (LEAST | changes).items() if value is not None}
    return list(named.items())


def only(decoded):
    mode, (event,) = decoded
    assert isinstance(event, Event), event
    return mode, event


def structured(**changes):
    return only(decode(JSON, json.dumps(LEAST | changes).encode()))[1]


def refused(headers, body=b"", status=400, attribute=None):
    with pytest.raises(BadEvent) as error:
        decode(headers, body)
    assert error.value.status == status and error.value.detail
    if attribute is not None:
        assert error.value.attribute == attribute
    return error.value.detail


# Examples of the specifications


def test_the_binary_example_of_the_http_binding():
    received = [
        ("host", "webhook.example.com"),
        ("ce-specversion", "1.0"),
        ("ce-type", "com.example.someevent"),
        ("ce-time", "2018-04-05T03:56:24Z"),
        ("ce-id", "1234-1234-1234"),
        ("ce-source", "/mycontext/subcontext"),
        ("content-type", "application/json; charset=utf-8"),
        ("content-length", "17"),
    ]
    mode, event = only(decode(received, b'{"wow": "so much"}'))
    assert mode == "binary" and event.data == b'{"wow": "so much"}'
    assert event.identity == ("/mycontext/subcontext", "1234-1234-1234")
    assert (
        event.attributes["datacontenttype"] == "application/json; charset=utf-8"
        and len(event.attributes) == 6
    )
    assert only(decode(*encode_binary(event)))[1] == event


@pytest.mark.parametrize(
    ("more", "data"),
    [
        (
            {"datacontenttype": "application/vnd.apache.thrift.binary", "data_base64": "AAEC/w=="},
            b"\0\1\2\xff",
        ),
        ({"datacontenttype": "application/xml", "data": '<much wow="xml"/>'}, b'<much wow="xml"/>'),
        (
            {
                "datacontenttype": "application/json",
                "data": {"appinfoA": "abc", "appinfoB": 123, "appinfoC": True},
            },
            b'{"appinfoA": "abc", "appinfoB": 123, "appinfoC": true}',
        ),
        ({"datacontenttype": "application/json", "data": "a string of JSON"}, b'"a string of JSON"'),
        ({"data": [1, 2]}, b"[1, 2]"),
        ({"datacontenttype": "text/plain", "data": "plain"}, b"plain"),
        ({}, None),
    ],
)
def test_the_examples_of_the_json_format(more, data):
    common = {
        "specversion": "1.0",
        "type": "com.example.someevent",
        "source": "/mycontext",
        "subject": None,
        "id": "C234-1234-1234",
        "time": "2018-04-05T17:31:00Z",
        "comexampleextension1": "value",
        "comexampleothervalue": 5,
        "unsetextension": None,
    }
    mode, event = only(
        decode([("content-type", STRUCTURED + "; charset=UTF-8")], json.dumps(common | more).encode())
    )
    assert mode == "structured" and event.data == data
    assert event.attributes["comexampleothervalue"] == 5
    assert "subject" not in event.attributes and "unsetextension" not in event.attributes, "null is absent"
    assert only(decode(*encode_structured(event)))[1] == event
    assert only(decode(*encode_binary(event)))[1].data == data


def test_the_batch_examples_of_the_json_format():
    rows = [LEAST | {"id": "B234"}, LEAST | {"id": "C234", "data": {"appinfoC": False}}]
    mode, events = decode([("content-type", BATCH)], json.dumps(rows).encode())
    assert mode == "batch" and [event.text("id") for event in events] == ["B234", "C234"]
    assert decode(*encode_batch(events)) == ("batch", events)
    assert decode([("content-type", BATCH)], b"[]") == ("batch", [])


def test_the_percent_encoding_example_of_the_http_binding():
    text = "Euro \u20ac \U0001f600"
    (found,) = [value for name, value in encode_binary(structured(subject=text))[0] if name == "ce-subject"]
    assert found == "Euro%20%E2%82%AC%20%F0%9F%98%80"
    assert only(decode(headers(subject=found), b""))[1].text("subject") == text


# Any event, in any mode

TEXT = st.text(st.characters(codec="utf-8"), max_size=30).filter(
    lambda text: not FORBIDDEN_CHARACTERS.search(text)
)
MEDIA = st.sampled_from(
    ["application/json", "text/plain; charset=utf-8", "application/octet-stream", "image/svg+xml", "a/b+JSON"]
)
DATA = st.one_of(
    st.none(),
    st.binary(min_size=1, max_size=60),
    st.recursive(
        st.none() | st.booleans() | st.integers() | TEXT, lambda inner: st.lists(inner, max_size=3)
    ).map(lambda value: json.dumps(value).encode()),
)
OWN = {
    "id",
    "source",
    "specversion",
    "type",
    "data",
    "time",
    "subject",
    "dataschema",
    "datacontenttype",
    "expirytime",
}
NAMES = st.from_regex(r"[a-z][a-z0-9]{0,12}", fullmatch=True).filter(lambda name: name not in OWN)
STEADY = {"deadline": None, "derandomize": True, "suppress_health_check": [HealthCheck.too_slow]}


def events(values):
    return st.builds(
        lambda names, media, data: Event(LEAST | names | ({"datacontenttype": media} if media else {}), data),
        st.dictionaries(NAMES, values, max_size=4),
        st.none() | MEDIA,
        DATA,
    )


def sdk_texts(other):
    """The SDK adds a time where an event has none; the events here have none."""
    return {name: str(value) for name, value in other.get_attributes().items() if name != "time"}


def texts(event):
    return {name: event.text(name) for name in event.attributes}


@hypothesis_settings(max_examples=200, **STEADY)
@given(events(TEXT | st.booleans() | st.integers(-(1 << 31), (1 << 31) - 1)))
def test_all_modes_carry_the_same_attributes_and_bytes(event):
    (binary,) = decode(*encode_binary(event))[1]
    assert texts(binary) == texts(event) and binary.data == event.data
    assert decode(*encode_structured(event)) == ("structured", [event])
    assert decode(*encode_batch([event, event])) == ("batch", [event, event])


@hypothesis_settings(max_examples=100, **STEADY)
@given(events(TEXT.filter(bool)))
def test_another_reader_finds_the_same(event):
    named, body = encode_structured(event)
    other = from_structured(HTTPMessage(dict(named), body), JSONFormat())
    assert sdk_texts(other) == texts(event)
    found = other.get_data()
    if event.data is not None and found != event.data:
        if is_json(event.text("datacontenttype")):
            assert json.dumps(found) in (event.data.decode(), json.dumps(json.loads(event.data)))
        else:  # text as it is; data of another type need not be JSON
            assert (found if isinstance(found, str) else json.dumps(found)) == event.data.decode()
    named, body = encode_binary(event)
    other = from_binary(HTTPMessage(dict(named), body), JSONFormat())
    assert sdk_texts(other) == texts(event)


# Malformed events


@pytest.mark.parametrize("name", ["id", "source", "specversion", "type"])
def test_a_required_attribute_that_is_missing_or_empty_is_named(name):
    assert "add it" in refused(headers(**{name: None}), attribute=name)
    refused(headers(**{name: ""}), attribute=name)
    refused(JSON, json.dumps(LEAST | {name: None}).encode(), attribute=name)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("specversion", "0.3"),
        ("source", "a b"),
        ("source", "/%zz"),
        ("dataschema", "relative/only"),
        ("time", "yesterday"),
        ("time", "2026-13-01T00:00:00Z"),
        ("time", "2026-12-01T00:00:00"),
        ("datacontenttype", "no media type"),
        ("Upper", "x"),
        ("under_score", "x"),
        ("size", 1 << 31),
        ("size", 1.5),
        ("size", {"a": 1}),
        ("note", "a\nb"),
        ("note", "x" * 5000),
        ("subject", 7),
    ],
)
def test_an_attribute_that_breaks_its_rule_is_named(name, value):
    refused(JSON, json.dumps(LEAST | {name: value}).encode(), attribute=name)


def test_times_as_rfc_3339_has_them_pass():
    for time in ("2026-12-01T10:00:00Z", "2026-12-01t10:00:00.123456789+01:00", "2016-12-31T23:59:60Z"):
        assert structured(time=time).text("time") == time


def test_duplicate_and_malformed_headers_are_refused():
    refused([*headers(), ("ce-id", "2")], attribute="id")
    refused([*headers(), ("content-type", "a/b"), ("content-type", "a/c")], attribute="datacontenttype")
    refused([*headers(), ("ce-datacontenttype", "a/b")], attribute="datacontenttype")
    refused(headers(subject="50%"), attribute="subject")
    refused(headers(subject="%ff"), attribute="subject")
    refused(headers(subject="caf\u20ac"), attribute="subject")
    refused([("content-type", "application/json")], b"{}", attribute="id")


def test_a_quoted_value_and_unencoded_ascii_are_read():
    assert only(decode(headers(subject='"a \\"b\\" %25"'), b""))[1].text("subject") == 'a "b" %'
    assert only(decode(headers(subject="plain text "), b""))[1].text("subject") == "plain text"


@pytest.mark.parametrize(
    "media", ["application/cloudevents+avro", "application/cloudevents", STRUCTURED + "; charset=utf-16"]
)
def test_an_unsupported_format_is_a_415(media):
    refused([("content-type", media)], json.dumps(LEAST).encode(), status=415)


@pytest.mark.parametrize("body", [b"", b"[]", b"null", b"{", b"\xff{}", b"[" * 100_000, b'{"id":1e999}'])
def test_a_body_that_is_no_object_is_refused(body):
    refused(JSON, body)


def test_two_data_members_or_malformed_base64_are_refused():
    refused(JSON, json.dumps(LEAST | {"data": 1, "data_base64": "AA=="}).encode(), attribute="data_base64")
    for wrong in ("A", "A===", "\u20ac", "AA==\n", 7):
        refused(JSON, json.dumps(LEAST | {"data_base64": wrong}).encode(), attribute="data_base64")
    refused(
        JSON, json.dumps(LEAST | {"datacontenttype": "text/plain", "data": {}}).encode(), attribute="data"
    )


def test_sizes_are_bounded():
    assert only(decode(headers(), bytes(MAX_DATA_BYTES)))[1].data == bytes(MAX_DATA_BYTES)
    refused(headers(), bytes(MAX_DATA_BYTES + 1), status=413, attribute="data")
    refused(JSON, json.dumps(LEAST | {"data": "x" * 3 * MAX_DATA_BYTES}).encode(), status=413)
    row = json.dumps(LEAST).encode()
    assert (
        len(decode([("content-type", BATCH)], b"[" + b",".join([row] * MAX_BATCH_EVENTS) + b"]")[1])
        == MAX_BATCH_EVENTS
    )
    assert "1000" in refused([("content-type", BATCH)], b"[" + b",".join([row] * 10_000) + b"]", status=413)
    refused([("content-type", BATCH)], b"[" + bytes(2_000_000), status=413)


def test_a_malformed_event_does_not_affect_the_rest_of_its_batch():
    rows = [LEAST, LEAST | {"id": ""}, 7, LEAST | {"id": "4"}]
    _, found = decode([("content-type", BATCH)], json.dumps(rows).encode())
    assert [isinstance(event, Event) for event in found] == [True, False, False, True]
    assert found[1].attribute == "id"
    refused([("content-type", BATCH)], json.dumps(LEAST).encode())


# Mapping to the core

NOW = 1_796_122_800.0  # 2026-12-01T11:00:00Z
RULES = Rules(
    {"etna.payment-order": "pay", "etna.*": "note", "etna.balance.*": "balance"},
    {"pay": 8_000.0, "note": 6_000.0, "balance": 5_000.0},
    usual_ms={"note": 2_000.0},
)


def place(rules=RULES, **changes):
    return place_event(structured(**({"type": "etna.payment-order", "subject": "7"} | changes)), rules, NOW)


def test_type_and_subject_select_class_and_destination():
    placed = place()
    assert (placed.cls, placed.destination, placed.left_ms, placed.key) == ("pay", 7, 8_000.0, 0)
    assert place(type="etna.balance.update").cls == "balance", "the longest prefix counts"
    assert (place(type="etna.other").cls, place(type="etna.other").left_ms) == ("note", 2_000.0)
    named = Rules(RULES.classes, RULES.max_deadline_ms, "bank", {"of-etna": 2})
    assert place(named, bank="of-etna").destination == 2


def test_the_same_source_and_id_are_the_same_event_and_others_are_not():
    assert place().id == place(subject="8").id and len(place().id) == 32
    ids = {
        place(source=source, id=name).id
        for source, name in (("/a", "1"), ("/a", "2"), ("/b", "1"), ("/a/", "1"))
    }
    assert len(ids) == 4


def test_the_deadline_of_an_event_is_capped_by_that_of_its_class():
    assert place(expirytime="2026-12-01T11:00:03Z").left_ms == pytest.approx(3_000.0)
    assert place(expirytime="2026-12-01T12:00:01.5000000001+01:00").left_ms == pytest.approx(1_500.0)
    assert place(expirytime="2027-01-01T00:00:00Z").left_ms == 8_000.0
    for passed in ("2026-12-01T11:00:00Z", "2020-01-01T00:00:00Z"):
        with pytest.raises(BadEvent, match="has passed") as error:
            place(expirytime=passed)
        assert error.value.attribute == "expirytime"


def test_the_partition_key_gives_the_ordering_key():
    keys = {place(partitionkey=key).key for key in ("a", "b", "c")}
    assert (
        len(keys) == 3
        and 0 not in keys
        and place(partitionkey="a").key == place(id="9", partitionkey="a").key
    )


@pytest.mark.parametrize(
    ("changes", "attribute"),
    [
        ({"type": "other"}, "type"),
        ({"type": "etna"}, "type"),
        ({"subject": None}, "subject"),
        ({"subject": "-1"}, "subject"),
        ({"subject": "\u0667"}, "subject"),
    ],
)
def test_an_event_that_cannot_be_mapped_names_the_attribute(changes, attribute):
    with pytest.raises(BadEvent) as error:
        place(**changes)
    assert error.value.attribute == attribute
    named = Rules(RULES.classes, RULES.max_deadline_ms, "bank", {"of-etna": 2})
    with pytest.raises(BadEvent, match="bank: no destination is called 'of-catania'"):
        place(named, bank="of-catania")
