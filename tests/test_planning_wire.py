"""The wire between forwarders and planners: what is read, what is refused, and real connections."""

import asyncio
import json
import math

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from rushhitch.planning import client as client_module
from rushhitch.planning import show
from rushhitch.planning.client import PlannerClient
from rushhitch.planning.messages import Grant, Grants, LaneReport, Report
from rushhitch.planning.planner import Planner
from rushhitch.planning.server import PlannerServer
from rushhitch.planning.shares import jain
from rushhitch.planning.wire import (
    MAX_FRAME_BYTES,
    Kind,
    Link,
    Role,
    WireError,
    decode_grants,
    decode_report,
    encode_grants,
    encode_report,
    frame,
)

SECRET = b"a secret of the tests"
REPORT = Report(
    "f1",
    7,
    250.0,
    ["p1"],
    [LaneReport("d1", "", 5.0, 1.0, 2.0, 1.5, 0.5, 300.0, True, 4.0, "p1", 3, 9, 20.0)],
)
GRANTS = Grants("p1", 7, [Grant("d1", 4.0, 1.0, 2000.0, 2.0, 3000.0, 3, 9, 100.0, 0.06, 20.0)])


def test_messages_come_back_as_they_were():
    assert decode_report(encode_report(REPORT)) == REPORT
    assert decode_grants(encode_grants(GRANTS)) == GRANTS


@given(st.binary(max_size=200))
@hypothesis_settings(derandomize=True, deadline=None, max_examples=300)
def test_noise_is_refused_with_a_word_and_nothing_else(data):
    for decode in (decode_report, decode_grants):
        try:
            decode(data)
        except WireError as error:
            assert "not " in str(error)
    link = Link(Role.PLANNER, "p1", SECRET)
    try:
        for kind, payload in link.receive(data):
            link.handshake(kind, payload)
    except WireError:
        pass
    assert not link.ready


def complete_handshake(one, other):
    """Runs the handshake of both sides, one byte at a time."""
    to_other, to_one = one.greeting(), other.greeting()
    while to_other or to_one:
        answers = [b"", b""]
        for side, data, number in ((other, to_other, 0), (one, to_one, 1)):
            for byte in data:
                for kind, payload in side.receive(bytes([byte])):
                    answers[number] += side.handshake(kind, payload)
        to_one, to_other = answers
    return one.ready and other.ready


def test_both_sides_prove_the_secret():
    forwarder, planner = Link(Role.FORWARDER, "f1", SECRET), Link(Role.PLANNER, "p1", SECRET)
    assert complete_handshake(forwarder, planner)
    assert (planner.peer, planner.peer_role) == ("f1", Role.FORWARDER)
    assert (forwarder.peer, forwarder.peer_role) == ("p1", Role.PLANNER)


def test_another_secret_another_version_and_strangers_are_refused():
    with pytest.raises(WireError, match="the shared secrets differ"):
        complete_handshake(Link(Role.FORWARDER, "f1", SECRET), Link(Role.PLANNER, "p1", b"another secret"))
    link = Link(Role.PLANNER, "p1", SECRET)
    newer = Link(Role.FORWARDER, "f1", SECRET)
    newer.hello = newer.hello[:4] + b"\x00\x02" + newer.hello[6:]
    with pytest.raises(
        WireError, match="version 2 of the wire, and this build speaks 1: upgrade the older side"
    ):
        complete_handshake(newer, link)
    with pytest.raises(WireError, match="a frame of 1347375956 bytes"):  # an HTTP client
        list(Link(Role.PLANNER, "p1", SECRET).receive(b"POST / HTTP/1.1\r\n"))
    with pytest.raises(WireError, match="not a forwarder or planner"):
        planner = Link(Role.PLANNER, "p1", SECRET)
        for kind, payload in planner.receive(frame(Kind.HELLO, b"x" * 40)):
            planner.handshake(kind, payload)


def test_a_proof_does_not_serve_the_other_side():
    # Reflection: a stranger sends a planner's own hello and proof back to it.
    planner, second = Link(Role.PLANNER, "p1", SECRET), Link(Role.PLANNER, "p1", SECRET)
    for greeting in (planner.greeting(), second.greeting()):
        with pytest.raises(WireError, match="a planner does not talk to another"):
            for kind, payload in planner.receive(greeting):
                planner.handshake(kind, payload)
    assert not planner.ready


def test_nothing_counts_before_the_handshake_and_all_is_bounded():
    link = Link(Role.PLANNER, "p1", SECRET)
    ((kind, payload),) = list(link.receive(frame(Kind.REPORT, b"x")))
    with pytest.raises(WireError, match="before the handshake is over"):
        link.handshake(kind, payload)
    with pytest.raises(WireError, match="more than 512"):
        list(Link(Role.PLANNER, "p1", SECRET).receive(frame(Kind.HELLO, bytes(600))))
    with pytest.raises(WireError, match="more than"):
        frame(Kind.REPORT, bytes(MAX_FRAME_BYTES))
    with pytest.raises(WireError, match="1 to 200 characters"):
        Link(Role.PLANNER, "", SECRET)


def played(test):
    async def work():
        server = PlannerServer(Planner("p1", ["p1"]), SECRET)
        address = await server.listen(("127.0.0.1", 0))
        try:
            await asyncio.wait_for(test(server, address), 20)
        finally:
            server.close()

    asyncio.run(work())


class Forwarder:
    """A planner client with made-up counts."""

    def __init__(self, address, name="f1", secret=SECRET):
        self.rows, self.told = [], asyncio.Queue()
        self.client = PlannerClient(name, {"p1": address}, secret, self.collect, self.told.put_nowait, 0.02)
        self.client.start()

    def collect(self, elapsed_ms):
        return [LaneReport("d1", "", 50.0, 1.0, 10.0, 5.0, 5.0)]


def test_a_forwarder_is_told_what_it_may_send_and_the_view_shows_it():
    @played
    async def _(server, address):
        forwarder = Forwarder(address)
        allowance = await forwarder.told.get()
        while allowance.per_s == math.inf:
            allowance = await forwarder.told.get()
        assert allowance.lane == "d1" and 0 < allowance.per_s
        view = await show.fetch(address, SECRET)
        assert view["planner"] == "p1" and view["forwarders"] == ["f1"]
        (row,) = view["lanes"]
        assert row["lane"] == "d1" and row["term"] == 1 and row["shares"][0]["forwarder"] == "f1"
        text = show.table(view)
        assert "planner p1; up: p1; 1 forwarders" in text and "d1" in text and json.dumps(view)
        forwarder.client.stop()


def test_a_stranger_gets_no_grant():
    @played
    async def _(server, address):
        forwarder = Forwarder(address, secret=b"not the secret at all")
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        heard = await reader.read()
        assert b"a frame of" in heard, "a stranger is told why it is closed on"
        await asyncio.sleep(0.3)
        assert forwarder.told.empty() and not server.planner.forwarders
        forwarder.client.stop()


def test_a_planner_that_is_killed_and_back_is_found_again():
    @played
    async def _(server, address):
        forwarder = Forwarder(address)
        await forwarder.told.get()
        server.close()
        second = PlannerServer(Planner("p1", ["p1"]), SECRET)
        await second.listen(address)
        while not second.planner.forwarders:
            await asyncio.sleep(0.01)
        assert second.planner.lanes["d1"].term >= 1
        forwarder.client.stop()
        second.close()


@pytest.mark.parametrize("silent_from", ["the connection", "the handshake"])
def test_a_planner_whose_machine_vanished_is_connected_to_anew(monkeypatch, silent_from):
    # Guards against a link that is open for ever, or until the system's next retry, minutes later.
    monkeypatch.setattr(client_module, "SILENCE_S", 0.3)

    async def work():
        connections = []

        async def vanished(reader, writer):
            connections.append(writer)
            link = Link(Role.PLANNER, "p1", SECRET)
            if silent_from == "the handshake":
                writer.write(link.greeting())
                while not link.ready:
                    for kind, payload in link.receive(await reader.read(1000)):
                        writer.write(link.handshake(kind, payload))
            await asyncio.Event().wait()

        server = await asyncio.start_server(vanished, "127.0.0.1", 0)
        forwarder = Forwarder(server.sockets[0].getsockname())
        while len(connections) < 2:
            await asyncio.sleep(0.01)
        forwarder.client.stop()
        for writer in connections:
            writer.close()
        server.close()

    asyncio.run(asyncio.wait_for(work(), 5.0))


def test_forty_forwarders_that_join_within_a_second_share_the_limit_and_do_not_pass_it():
    @played
    async def _(server, address):
        everybody = [Forwarder(address, "f0")]
        while (await everybody[0].told.get()).per_s == math.inf:
            pass

        def calm(elapsed_ms):
            return [LaneReport("d1", "", 50.0, 1.0)]

        everybody[0].client.collect = calm
        limit, most = server.planner.lanes["d1"].limit, 0.0
        loop = asyncio.get_running_loop()
        start = loop.time()
        while loop.time() < start + 4.0:
            if len(everybody) < 40:
                everybody.append(Forwarder(address, f"f{len(everybody)}"))
                everybody[-1].client.collect = calm
            await asyncio.sleep(0.02)
            now = loop.time() * 1000.0
            live = sum(each.client.guidance.live(now, "d1") for each in everybody)
            most = max(most, live / limit.per_s)
        now = loop.time() * 1000.0
        shares = [each.client.guidance.bound(now, "d1") for each in everybody]
        for each in everybody:
            each.client.stop()
        assert len(shares) == 40 and max(shares) < math.inf and most <= 1.001
        assert sum(shares) >= 0.98 * limit.per_s and jain(shares) >= 0.95


def test_a_report_that_comes_again_is_counted_once():
    @played
    async def _(server, address):
        forwarder = Forwarder(address)
        await forwarder.told.get()
        forwarder.client.tasks[-1].cancel()  # its own reports
        counted, handle = [], server.planner.handle
        server.planner.handle = lambda now, report: counted.append(report.number) or handle(now, report)
        (link,) = forwarder.client.links
        for number in (1_000, 1_001, 1_000, 1_000, 999, 1_001, 1_002):
            link.report(Report("f1", number, 250.0, [], []))
        while 1_002 not in counted:
            await asyncio.sleep(0.01)
        assert counted == [1_000, 1_001, 999, 1_002]
        forwarder.client.stop()


def test_one_forwarder_does_not_report_for_another():
    @played
    async def _(server, address):
        forwarder = Forwarder(address)
        await forwarder.told.get()
        (link,) = forwarder.client.links
        link.report(Report("f2", 10_000, 250.0, [], []))
        await link.lost.wait()
        assert "f2" not in server.planner.forwarders
        forwarder.client.stop()
