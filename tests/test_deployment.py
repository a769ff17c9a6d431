"""`deploy/rushhitch.toml`: parsing, and errors that name the line and the remedy."""

import asyncio
import re
from pathlib import Path

import pytest

from rushhitch.config.deployment import (
    LOOPS,
    SYNCS,
    AcknowledgementSettings,
    CloudEventsSettings,
    DeploymentError,
    DeploymentSettings,
    HandshakeSettings,
    SinkSettings,
    parse_deployment,
    read_deployment,
)
from rushhitch.journal import Sync
from rushhitch.process import loop_factory


def test_the_file_in_the_repository_is_valid_and_has_the_defaults():
    assert read_deployment({}) == DeploymentSettings(sync="none")


def test_the_sync_choices_are_those_of_the_journal():
    assert SYNCS == tuple(sync.value for sync in Sync)


def test_every_loop_choice_can_be_created():
    for loop in LOOPS:
        created = (loop_factory(loop) or asyncio.new_event_loop)()
        assert isinstance(created, asyncio.AbstractEventLoop)
        created.close()


def planning(tmp_path, text):
    secret = tmp_path / "secret"
    secret.write_text("a secret that is long enough\n")
    return parse_deployment(f'[planning]\nsecret_file = "{secret}"\n{text}', "x")


def test_planners_are_read_with_their_addresses_and_the_secret(tmp_path):
    deployment = planning(tmp_path, 'planners = { p1 = "127.0.0.1:7001" }\nwarm_ms = 5000\n')
    assert (
        deployment.planners == {"p1": ("127.0.0.1", 7001)}
        and deployment.secret == b"a secret that is long enough"
    )
    assert deployment.warm_ms == 5000.0


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ('planners = { p1 = "7001" }\n', "x:3: planner p1: '7001' must be of the form host:port"),
        ("planners = 3\n", "x:3: planners must be a table"),
        ("cold_from = 2\n", "x:3: cold_from must be a number from 0.001 to 1, not 2"),
        ("warm_ms = true\n", "x:3: warm_ms must be a number from 0 to 1e+07, not True"),
    ],
)
def test_an_error_in_planning_names_its_line(tmp_path, text, error):
    with pytest.raises(DeploymentError, match=re.escape(error)):
        planning(tmp_path, text)


def test_planners_without_a_secret_are_refused():
    with pytest.raises(DeploymentError, match="planners need a secret_file of 16 bytes or more"):
        parse_deployment('[planning]\nplanners = { p1 = "127.0.0.1:7001" }\n', "x")
    with pytest.raises(DeploymentError, match="x:2: secret_file: .* name a file that can be read"):
        parse_deployment('[planning]\nsecret_file = "/no/such/file"\n', "x")


def test_an_empty_file_means_the_defaults():
    assert parse_deployment("", "x") == DeploymentSettings()


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (
            '\n[journal]\nsync = "sometimes"\n',
            'x:3: sync must be one of "none", "batch", "always", not \'sometimes\'',
        ),
        ("[journal]\nsync = true\n", 'x:1: sync must be one of "none", "batch", "always", not True'),
        (
            "# a\n\n[jurnal]\nsync = 1\n",
            "x:3: [jurnal] is not a section: remove it, or use one of cloudevents, journal, "
            "membership, planning, process, sharing",
        ),
        ('[journal]\n\nsink = "none"\n', "x:3: sink is no key of [journal]: remove it, or use sync"),
        ("journal = 3\n", "x:1: journal must be a section: write [journal] above its keys"),
        ("[journal\n", "x: Expected ']' at the end of a table declaration (at line 1, column 9)"),
    ],
)
def test_an_error_names_its_line_and_remedy(text, error):
    with pytest.raises(DeploymentError) as raised:
        parse_deployment(text, "x")
    assert str(raised.value) == error.replace("x:1: sync", "x:2: sync")


def test_a_file_named_by_the_variable_must_exist(tmp_path):
    missing = tmp_path / "none.toml"
    with pytest.raises(DeploymentError, match="does not exist: name an existing file, or unset it"):
        read_deployment({"RUSHHITCH_TOML": str(missing)})
    missing.write_text('[journal]\nsync = "batch"\n')
    assert read_deployment({"RUSHHITCH_TOML": str(missing)}).sync == "batch"
    assert isinstance(missing, Path)


EVENTS = '[cloudevents]\nlisten = "127.0.0.1:8080"\ntypes = { "com.example.paid" = "pay" }\n'


def test_the_cloudevents_section_is_optional_and_is_read():
    assert parse_deployment("", "x").events is None
    settings = parse_deployment(
        EVENTS + 'destinations = { "bank-a" = 3 }\nusual_ms = { pay = 800 }\n', "x"
    ).events
    assert settings == CloudEventsSettings(
        ("127.0.0.1", 8080), {"com.example.paid": "pay"}, "subject", {"bank-a": 3}, {"pay": 800.0}
    )
    settings = parse_deployment(
        '[cloudevents]\npartners = { 3 = "batch" }\nsource = "/a"\npath = "/in"\n', "x"
    ).events
    assert settings == CloudEventsSettings(partners={3: "batch"}, source="/a", path="/in")


BOTH = EVENTS + 'partners = { 3 = "binary", 40 = "structured" }\n'
SINK = 'sinks = { destinations = { "books" = 40 }, class = "note" }\n'
ACK = 'acknowledgements = { sources = { "/bank" = 3 }, types = { "org.bank.done" = "delivered" } }\n'


def test_sinks_and_acknowledgements_are_read():
    settings = parse_deployment(BOTH + SINK + ACK, "x").events
    assert settings.sinks == SinkSettings({"books": 40}, "note")
    assert settings.acknowledgements == AcknowledgementSettings({"/bank": 3}, {"org.bank.done": "delivered"})


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (SINK.replace("40", "41"), "x:5: sinks: destinations: each must be one that partners has as well"),
        (SINK.replace('{ "books" = 40 }', "{}"), "x:5: sinks: destinations must be numbers by name"),
        (SINK.replace(', class = "note"', ""), "x:5: sinks: class must name the class"),
        (
            SINK.replace(" }\n", ', attribute = "A B" }\n'),
            "x:5: sinks: attribute must be an attribute's name",
        ),
        (SINK.replace(" }\n", ', type = "a b" }\n'), "x:5: sinks: type must be how a type begins"),
        (SINK.replace(" }\n", ", at = 3 }\n"), "x:5: sinks must be a table with"),
        (ACK.replace("= 3", "= 4"), "x:5: acknowledgements: sources: each destination must be one"),
        (ACK.replace("= 3", '= "a"'), "x:5: acknowledgements: sources must be destinations by source"),
        (
            ACK.replace('"delivered"', '"done"'),
            "x:5: acknowledgements: types must be one of delivered, ran",
        ),
        (
            ACK.replace(" } }", ' }, id = "-" }'),
            "x:5: acknowledgements: id and source must be attributes",
        ),
        (ACK.replace("types", "kinds"), "x:5: acknowledgements must be a table with"),
    ],
)
def test_an_error_in_sinks_or_acknowledgements_names_its_line(text, error):
    with pytest.raises(DeploymentError, match=re.escape(error)):
        parse_deployment(BOTH + text, "x")


def test_acknowledgements_need_a_listen_address():
    with pytest.raises(
        DeploymentError, match="x:3: acknowledgements come in at the front: set listen as well"
    ):
        parse_deployment('[cloudevents]\npartners = { 3 = "binary" }\n' + ACK, "x")


def test_handshake_defaults_to_all_event_partners_or_names_some():
    text = '[cloudevents]\npartners = { 3 = "batch", 4 = "binary" }\n'
    assert parse_deployment(text, "x").events.handshake is None
    settings = parse_deployment(text + 'handshake = { origin = "a.example" }\n', "x").events.handshake
    assert settings == HandshakeSettings("a.example", frozenset({3, 4}), 0, 600.0)
    text += 'handshake = { origin = "a.example", destinations = [4], rate = 60, renew_s = 5 }\n'
    assert parse_deployment(text, "x").events.handshake == HandshakeSettings(
        "a.example", frozenset({4}), 60, 5.0
    )


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (EVENTS.replace('"127.0.0.1:8080"', "8080"), 'x:2: listen must be of the form "host:port", not 8080'),
        (EVENTS.replace('{ "com.example.paid" = "pay" }', "{}"), "x:3: types is empty: write types ="),
        (EVENTS.replace('"pay" }', "3 }"), "x:3: types must be a table of classes by type"),
        (EVENTS + 'destination = "a b"\n', "x:4: destination must be an attribute's name, not 'a b'"),
        (
            EVENTS + "destinations = { a = -1 }\n",
            "x:4: destinations: the number of a destination is 0 or more",
        ),
        (EVENTS + 'partners = { 3 = "xml" }\n', "x:4: partners: 3 = 'xml' must be a number = one of binary"),
        (EVENTS + 'partners = { a = "batch" }\n', "x:4: partners: a = 'batch' must be a number"),
        (EVENTS + "remember_s = -1\n", "x:4: remember_s must be seconds from 0 to 1e6, not -1"),
        (EVENTS + 'source = "a b"\n', "x:4: source must be a URI reference, not 'a b'"),
        (EVENTS + 'path = "in"\n', "x:4: path must begin with / and hold no space, not 'in'"),
        (EVENTS.replace('listen = "127.0.0.1:8080"', "").lstrip(), "x:1: listen must be of the form"),
        (
            EVENTS + "handshake = 3\n",
            "x:4: handshake must be a table with destinations, origin, rate, renew_s",
        ),
        (EVENTS + "handshake = { rate = 3 }\n", "x:4: handshake: origin must be a DNS name"),
        (EVENTS + 'handshake = { origin = "a b" }\n', "x:4: handshake: origin must be a DNS name"),
        (EVENTS + 'handshake = { origin = "a", hz = 1 }\n', "x:4: handshake must be a table with"),
        (
            EVENTS + 'handshake = { origin = "a", destinations = [3] }\n',
            "x:4: handshake: destinations must be",
        ),
        (
            EVENTS + 'handshake = { origin = "a", rate = 0.5 }\n',
            "x:4: handshake: rate must be requests a min",
        ),
        (EVENTS + 'handshake = { origin = "a", renew_s = 0 }\n', "x:4: handshake: renew_s must be seconds"),
        (EVENTS + "usual_ms = { pay = 0 }\n", "x:4: usual_ms: milliseconds from 1 to 1e9"),
    ],
)
def test_an_error_in_cloudevents_names_its_line(text, error):
    with pytest.raises(DeploymentError, match=re.escape(error)):
        parse_deployment(text, "x")
