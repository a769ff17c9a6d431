"""Datagrams and streams between members: forged, replayed, truncated or foreign input is rejected."""

import asyncio
import struct
import subprocess
import sys

import pytest
from doubles import ROOT
from hypothesis import given
from hypothesis import strategies as st

from rushhitch.config.deployment import DeploymentError, MembershipSettings, parse_deployment
from rushhitch.membership.messages import Ack, Ask, Ping, Relayed, Row, Send, Vouch
from rushhitch.membership.server import Server
from rushhitch.membership.wire import (
    HEAD,
    MAX_DATAGRAM_BYTES,
    MAX_FRAME_BYTES,
    MAX_QUEUED,
    WINDOW,
    DropReason,
    Kind,
    ReplayWindow,
    Role,
    Sessions,
    Stream,
    WireError,
    decode,
    decode_rows,
    encode,
    encode_rows,
)

SECRET = b"the same for all of the fleet"
A, B = ("127.0.0.1", 1), ("127.0.0.1", 2)
ROW = Row("a", "127.0.0.1", 1, "east", 7, 11, 0)
OTHER = Row("b", "127.0.0.1", 2, "west", 9, 22, 1, ("a", "c"))
MESSAGES = [
    Ping(ROW, 1, 2**63),
    Ack(ROW, 2, 0, (OTHER,), (Vouch("b", 9, "a", 4),)),
    Ask(ROW, 3, 5, (ROW, OTHER), target=OTHER),
    Relayed(ROW, 4, 5, (OTHER,), answered=True),
    Relayed(ROW, 4, 5, answered=False),
]


def pair():
    return Sessions(11, SECRET), Sessions(22, SECRET)


def met():
    """Two sessions that know each other's process."""
    a, b = pair()
    a.learn(B, 22)
    b.learn(A, 11)
    return a, b


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_a_message_survives_encoding_and_decoding(message):
    assert decode(encode(message)) == message
    a, b = met()
    assert b.open(a.seal(Send(B, message)), A) == (message, [])


def test_a_full_datagram_is_below_the_size_limit():
    full = Row("n" * 64, "255.255.255.255", 65_535, "b" * 16, 1 << 60, 1 << 60, 1, ("n" * 16,) * 3)
    assert len(Sessions(11, SECRET).datagram(Kind.DATA, 22, encode(Ping(full, 1, 1, (full,) * 6)))) < 1_300


def test_messages_to_an_unknown_process_are_queued_until_it_answers():
    a, b = pair()
    who = a.seal(Send(B, MESSAGES[0]))
    assert a.seal(Send(B, MESSAGES[1])) != who
    nothing, (here,) = b.open(who, A)
    assert nothing is None
    _, sent = a.open(here, B)
    assert [b.open(data, A)[0] for data in sent] == MESSAGES[:2]
    assert b.open(a.seal(Send(B, MESSAGES[2])), A)[0] == MESSAGES[2], "the process stays known"
    for _ in range(50):
        a.seal(Send(("127.0.0.1", 9), MESSAGES[0]))
    assert len(a.queued["127.0.0.1", 9]) == MAX_QUEUED


def test_replayed_datagrams_are_dropped_also_after_a_restart_of_either_side():
    a, b = met()
    recorded = [a.seal(Send(B, message)) for message in MESSAGES]
    assert [b.open(data, A)[0] for data in recorded] == MESSAGES
    assert [b.open(data, A)[0] for data in recorded] == [None] * 5 and b.drops[DropReason.OLD] == 5
    anew = Sessions(33, SECRET)  # the receiver after a restart: its window is empty
    for data in recorded:
        message, back = anew.open(data, A)
        assert message is None and len(back) == 1, "it only sends its process number"
    _, more = Sessions(44, SECRET).open(back[0], B)  # the sender after a restart
    assert more == []


def test_the_new_process_of_a_restarted_peer_is_learnt_from_its_answer():
    a, _ = met()
    anew = Sessions(33, SECRET)
    _, back = anew.open(a.seal(Send(B, MESSAGES[0])), A)
    a.open(back[0], B)
    assert anew.open(a.seal(Send(B, MESSAGES[1])), A)[0] == MESSAGES[1]


def test_forged_and_malformed_datagrams_are_dropped_and_counted():
    a, b = met()
    good = a.seal(Send(B, MESSAGES[1]))
    stranger = Sessions(11, b"the secret of another fleet")
    stranger.learn(B, 22)
    bad = {
        "another secret": (stranger.seal(Send(B, MESSAGES[1])), DropReason.SECRET),
        "cut off": (good[:-1], DropReason.SECRET),
        "cut short": (good[:20], DropReason.FORM),
        "a bit turned": (good[:40] + bytes([good[40] ^ 1]) + good[41:], DropReason.SECRET),
        "oversized": (good + bytes(65_000), DropReason.FORM),
        "just too long": (good + bytes(MAX_DATAGRAM_BYTES), DropReason.FORM),
        "another version": (good[:2] + b"\x09" + good[3:], DropReason.VERSION),
        "other magic": (b"XX" + good[2:], DropReason.FORM),
        "empty": (b"", DropReason.FORM),
        "an answer to nothing": (a.datagram(Kind.HERE, 22, number=10**6), DropReason.OLD),
        "unknown kind": (a.datagram(Kind(1), 22).replace(b"RM\x01\x01", b"RM\x01\x07"), DropReason.SECRET),
    }
    for name, (data, why) in bad.items():
        before = b.drops[why]
        assert b.open(data, A) == (None, []), name
        assert b.drops[why] == before + 1, name
    assert b.open(good, A)[0] == MESSAGES[1]


def test_an_authentic_datagram_with_invalid_rows_is_dropped():
    a, b = met()
    wrong = [
        Ping(ROW._replace(port=0), 1, 0),
        Ping(ROW, 1, 0, (ROW._replace(state=9),)),
        Ping(ROW, 1, 0, (ROW._replace(name="x" * 65),)),
        Ping(ROW._replace(incarnation=-1), 1, 0),
    ]
    for message in wrong:
        assert b.open(a.datagram(Kind.DATA, 22, encode(message)), A) == (None, [])
    assert b.drops[DropReason.FORM] == len(wrong)


@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_none(data):
    _, b = met()
    head = HEAD.pack(b"RM", 1, 1, 11, 22, 5)
    assert b.open(data, A) == (None, [])
    try:
        decode(data)
    except WireError:
        pass
    assert b.open(head + data, A)[0] is None


@given(st.lists(st.integers(1, 600), max_size=300))
def test_each_number_counts_once_in_any_order(numbers):
    window, taken, highest = ReplayWindow(), set(), 0
    for number in numbers:
        fresh = window.fresh(number)
        assert fresh == (number not in taken and number > highest - WINDOW)
        highest = max(highest, number)
        if fresh:
            taken.add(number)


def test_additional_fields_of_later_versions_are_ignored():
    encoded = encode(MESSAGES[0])
    assert encoded[0] == 0x96  # an array of six
    longer = bytes([0x99]) + encoded[1:] + b"\xc0\xc2\xa3new"
    assert decode(longer) == MESSAGES[0]


# Streams


def streams(secret=SECRET, role=Role.MEMBER):
    caller = Stream(role, 11, SECRET, b"c" * 16, calls=True)
    server = Stream(Role.MEMBER, 22, secret, b"s" * 16, calls=False)
    assert server.receive(caller.greeting) is None and caller.receive(server.greeting) is None
    return caller, server


def test_rows_are_exchanged_whole_and_in_fragments():
    caller, server = streams()
    rows = [ROW, OTHER] * 300
    data = caller.sealed(encode_rows(rows))
    found = None
    for at in range(0, len(data), 1000):
        found = server.receive(data[at : at + 1000]) or found
    assert decode_rows(found) == rows
    assert decode_rows(caller.receive(server.sealed(encode_rows([ROW])))) == [ROW]


def test_streams_reject_other_secrets_reflection_replay_and_oversized_frames():
    caller, server = streams(secret=b"the secret of another fleet")
    with pytest.raises(WireError, match="secrets differ"):
        server.receive(caller.sealed(b"x"))
    caller, server = streams()
    with pytest.raises(WireError, match="secrets differ"):
        caller.receive(caller.sealed(b"x"))  # its own frame, sent back
    caller, server = streams()
    with pytest.raises(WireError, match="a frame of"):
        server.receive(struct.pack(">I", MAX_FRAME_BYTES + 1))
    with pytest.raises(WireError, match="the magic is wrong"):
        web = Stream(Role.MEMBER, 22, SECRET, b"s" * 16, calls=False)
        web.receive(b"GET / HTTP/1.1\r\nHost: somewhere\r\n\r\n")
    with pytest.raises(WireError, match="version 9"):
        late = Stream(Role.MEMBER, 22, SECRET, b"s" * 16, calls=False)
        late.receive(caller.greeting[:3] + b"\x09" + caller.greeting[4:])
    old, _ = streams()
    replayed = old.sealed(b"x")
    fresh = Stream(Role.MEMBER, 22, SECRET, b"t" * 16, calls=False)
    fresh.receive(old.greeting)
    with pytest.raises(WireError, match="secrets differ"):
        fresh.receive(replayed)


def test_without_the_section_no_membership_module_is_imported():
    found = "[name for name in sys.modules if 'membership' in name or 'sharing' in name or name == 'msgspec']"
    code = f"import sys, rushhitch.service; print({found})"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert done.stdout.strip() == "[]", done.stdout + done.stderr


def test_dropped_datagrams_are_logged_once_in_ten_seconds_with_their_count(caplog):
    async def work():
        address = ("127.0.0.1", 7101)
        server = Server(MembershipSettings("a", address, address, (), SECRET), 3)
        begun = server.drops_logged_at
        for tenth in range(151):
            server.sessions.open(bytes(80), address)
            server.log_drops(begun + tenth / 10.0)

    asyncio.run(work())
    (line,) = [record.getMessage() for record in caplog.records if "dropped" in record.getMessage()]
    assert line.startswith("101 datagrams were dropped since the start")


# Settings


def own(tmp_path, text):
    (tmp_path / "secret").write_bytes(SECRET)
    return parse_deployment(text.replace("SECRET", str(tmp_path / "secret")), "own.toml").membership


SEEDS = '["127.0.0.1:7101", "127.0.0.1:7102"]'
GOOD = f'[membership]\nlisten = "127.0.0.1:7101"\nseeds = {SEEDS}\nsecret_file = "SECRET"\n'


def test_the_membership_section_is_optional(tmp_path):
    section = own(tmp_path, GOOD)
    assert section.listen == section.advertise == ("127.0.0.1", 7101) and len(section.seeds) == 2
    assert section.secret == SECRET and section.fleet == 0 and section.forget_s == 600.0
    assert own(tmp_path, "") is None


@pytest.mark.parametrize(
    "change, error",
    [
        (('7101"\nseeds', '"\nseeds'), 'own.toml:2: listen must be of the form "host:port"'),
        ((SEEDS, "[]"), "own.toml:3: seeds must be a list of addresses"),
        ((SEEDS, '["here"]'), "own.toml:3: seeds must be a list of addresses"),
        (("SECRET", "nowhere"), "own.toml:4: secret_file: .*name a file"),
        (("secret_file", "fleet = -1\nsecret_file"), "own.toml:4: fleet must be a whole number"),
        (("secret_file", "forget_s = 1\nsecret_file"), "own.toml:4: forget_s must be seconds from 10"),
        (("secret_file", "building = 3\nsecret_file"), "own.toml:4: building must be a text"),
        (("secret_file", 'advertise = "x"\nsecret_file'), "own.toml:4: advertise must be of the form"),
        (("secret_file", "seed = 3\nsecret_file"), "own.toml:4: seed is no key of .membership."),
    ],
)
def test_an_invalid_section_is_reported_with_line_and_remedy(tmp_path, change, error):
    with pytest.raises(DeploymentError, match=error):
        own(tmp_path, GOOD.replace(*change))
