"""The node in this process: rare faults and races, bounds on memory, agreement with the endpoint pool."""

import asyncio
import errno
import json
from collections import Counter, deque

import pytest
from doubles import Peer, Program, run

from crowpier import Dispatcher
from crowpier.benchlink import parse_settings
from crowpier.interface import ColdStateRestored, EndpointListReceived, ListKind, MessageAccepted, State
from rushhitch.acceptor import ACCEPTED, Reply, Submission
from rushhitch.control.detached import DetachedEndpoints
from rushhitch.core import endpoint_registry
from rushhitch.core import node as node_module
from rushhitch.core.messages import BUSY_MS
from rushhitch.core.node import Node
from rushhitch.core.resumption import resume
from rushhitch.journal import Journal
from rushhitch.journal.files import Files

OFFER = Submission(b"m1", "note", 7, 6000.0, b"hello")


class Bench:
    """A node with one partner controlled by the test; `ends` are its notices, `answers` the replies to
    clients."""

    async def start(self, folder, slots=None):
        program = Program(folder)
        program.partner = program.platform = self.partner = await Peer().start()
        config = program.config()
        if slots is not None:
            config["settings"]["familyInfo"]["workers"] = slots
        settings = parse_settings(json.dumps(config["settings"]).encode())
        self.journal = Journal(folder / "state", 3e6)
        self.ends, self.answers = asyncio.Queue(), asyncio.Queue()
        self.node = Node(
            settings, Dispatcher(settings, 1), self.journal, lambda *end: self.ends.put_nowait(end)
        )
        self.node.bans = DetachedEndpoints(self.journal)
        self.row = config["known"]["servers"][0]
        self.node.registry.apply_update(config["known"], cached=True)
        resume(self.node)
        return self

    def offer(self, offer=OFFER):
        self.node.offer(offer, self.answers.put_nowait)

    async def add(self, endpoint, destination=7):
        """Add another endpoint controlled by the test."""
        peer = await Peer().start()
        addr = "{}:{}".format(*peer.address)
        row = self.row | {"id": endpoint, "addr": addr, "cell": destination}
        self.node.registry.apply_update({"version": 42, "full": False, "servers": [row]})
        return peer


def with_bench(folder, **options):
    def decorate(test):
        async def work():
            bench = await Bench().start(folder, **options)
            try:
                await test(bench)
            finally:
                bench.journal.close()

        run(work())

    return decorate


def test_message_forgotten_by_the_decision_module_still_ends(tmp_path, monkeypatch):
    monkeypatch.setattr(Dispatcher, "handle", lambda self, now, events: [])

    @with_bench(tmp_path)
    async def _(bench):
        bench.offer(Submission(b"m1", "note", 7, 50.0, b""))
        assert await bench.answers.get() == ACCEPTED
        assert await bench.ends.get() == (1, b"m1", "dead", 0.0)
        assert bench.node.idle.is_set()


@pytest.mark.parametrize("cls", ["note", "pay"])
def test_answer_at_the_deadline_is_no_delivery_and_there_is_no_further_call(tmp_path, cls):
    # The client's clock started earlier, so for it the message may have expired before the answer. The
    # delivery would then not count, and without a notice the message would be lost.
    @with_bench(tmp_path)
    async def _(bench):
        bench.offer(Submission(b"m1", cls, 7, 1000.0, b""))
        request = await bench.partner.next()
        (call,) = bench.node.endpoints.calls.values()
        call.first_due = bench.node.loop.time() + node_module.CLIENT_CLOCK_MARGIN_S / 2.0
        request.answer(200)
        assert await bench.ends.get() == (1, b"m1", "dead", 0.0)
        await bench.node.idle.wait()
        assert bench.partner.requests.empty()


def test_call_times_out_at_the_deadline_of_its_message(tmp_path):
    # A shorter timeout gave up calls of messages with little time left, and all messages of the same batch.
    @with_bench(tmp_path)
    async def _(bench):
        bench.offer(Submission(b"m1", "note", 7, 700.0, b""))
        await bench.partner.next()
        message = bench.node.messages[1]
        (call,) = bench.node.endpoints.calls.values()
        (attempt,) = call.open.values()
        assert attempt.stop_at == attempt.due == call.first_due == message.due


def test_exception_in_the_decision_module_refuses_new_messages_and_is_logged(tmp_path, monkeypatch, caplog):
    @with_bench(tmp_path)
    async def _(bench):
        def broken(self, now, events):
            raise RuntimeError("injected fault")

        with monkeypatch.context() as patch:
            patch.setattr(Dispatcher, "handle", broken)
            bench.offer()
            assert (await bench.answers.get()).status == "refused"
        bench.offer(Submission(b"m2", "note", 7, 6000.0, b""))
        assert await bench.answers.get() == ACCEPTED

    assert "Traceback" in caplog.text and "injected fault" in caplog.text


def test_nothing_is_accepted_or_sent_if_the_journal_cannot_be_written(tmp_path, monkeypatch):
    @with_bench(tmp_path)
    async def _(bench):
        def full(fd, data):
            raise OSError(errno.ENOSPC, "no space left")

        with monkeypatch.context() as patch:
            patch.setattr(Files, "write", lambda files, fd, data: full(fd, data))
            bench.offer()
            assert (await bench.answers.get()).status == "refused"
            assert bench.partner.requests.empty()
        bench.journal.reserve_due = 0.0
        bench.offer(Submission(b"m2", "note", 7, 6000.0, b""))
        assert await bench.answers.get() == ACCEPTED
        assert (await bench.partner.next()).headers["x-correlation-id"] == "m2"


def test_message_submitted_twice_is_accepted_once(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        bench.offer()
        assert await bench.answers.get() == ACCEPTED
        bench.offer()
        assert await bench.answers.get() == ACCEPTED
        assert len(bench.node.by_id) == 1


def test_cold_state_is_passed_to_the_next_process(tmp_path, monkeypatch):
    received = []
    handle = Dispatcher.handle

    def listening(self, now, events):
        received.extend(events)
        return handle(self, now, events)

    monkeypatch.setattr(Dispatcher, "handle", listening)

    @with_bench(tmp_path)
    async def _(bench):
        bench.journal.record_cold("e1", 2.5)
        bench.journal.flush()

    @with_bench(tmp_path)
    async def _(bench):
        assert ColdStateRestored("e1", 2.5) in received and not any(
            isinstance(event, MessageAccepted) for event in received
        )


def test_limit_of_open_messages_refuses_with_retry_after(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        for number in range(bench.node.settings.max_held + 1):
            bench.offer(Submission(b"m%d" % number, "note", 7, 6000.0, b""))
        assert await bench.answers.get() == Reply("refused", BUSY_MS)


def test_invalid_row_is_skipped_and_a_deleted_one_needs_only_its_id(tmp_path, caplog):
    @with_bench(tmp_path)
    async def _(bench):
        rows = [bench.row | {"id": "e2", "kind": "unknown"}, bench.row | {"id": "e3", "addr": "nowhere"}]
        bench.node.registry.apply_update(
            {"version": 42, "servers": [*rows, {"id": "e1", "state": "DELETED"}]}
        )
        assert not bench.node.registry.entries and not bench.node.endpoints.entries

    assert caplog.text.count("invalid entry skipped") == 2


@pytest.mark.parametrize(
    ("spoilt", "state"),
    [
        ({"kind": "unknown"}, State.READY),
        ({"addr": "nowhere"}, State.READY),
        ({"cell": None}, State.READY),
        ({"state": "ASLEEP"}, State.READY),
        ({"zone": "unknown", "state": "DRAINING"}, State.DRAINING),
        ({"kind": "unknown", "state": "DELETED"}, State.GONE),
    ],
)
def test_known_endpoint_with_an_invalid_row_is_not_removed(tmp_path, spoilt, state):
    # An invalid row must not remove a partner's only endpoint.
    @with_bench(tmp_path)
    async def _(bench):
        events = []
        bench.node.registry.note = events.append
        bench.node.registry.apply_update({"version": 42, "full": True, "servers": [bench.row | spoilt]})
        (entry,) = events[-1].entries
        assert (entry.endpoint, entry.state) == ("e1", state)
        if state is State.GONE:
            assert "e1" not in bench.node.endpoints.entries
        else:
            assert bench.node.endpoints.entries["e1"].state is state
            assert bench.node.registry.entries["e1"].state is state


@pytest.mark.parametrize("full", [True, False])
def test_endpoint_missing_from_a_full_list_is_removed(tmp_path, full):
    @with_bench(tmp_path)
    async def _(bench):
        bench.node.registry.apply_update({"version": 42, "full": full, "servers": [bench.row | {"id": "e2"}]})
        assert ("e1" in bench.node.endpoints.entries) is not full


def sizes(bench):
    """Sizes of all tables of the node, its endpoint pool, its journal and the decision module."""
    owners = (bench.node, bench.node.endpoints, bench.journal, bench.node.dispatcher)
    tables = ((type(owner).__name__, name, value) for owner in owners for name, value in vars(owner).items())
    return {
        f"{owner}.{name}": len(table)
        for owner, name, table in tables
        if isinstance(table, (dict, list, set, deque))
    }


def test_memory_is_bounded_with_ever_new_endpoints_ids_and_keys(tmp_path, monkeypatch):
    # Memory must not grow with the number of endpoints and messages ever seen.
    monkeypatch.setattr(endpoint_registry, "DESTINATION_RETENTION_S", 0.0)

    @with_bench(tmp_path)
    async def _(bench):
        for number in range(1000):
            full = number % 2 == 0  # the previous one is left out or listed as deleted
            row = bench.row | {"id": f"n{number}", "cell": 1000 + number}
            gone = [] if full else [{"id": f"n{number - 1}", "state": "DELETED"}]
            bench.node.registry.apply_update({"version": number, "full": full, "servers": [row, *gone]})
            bench.journal.record_cold(f"n{number}", 1.0)
            bench.offer(Submission(b"m%d" % number, "note", 1000 + number, 6000.0, b"", key=number + 1))
            bench.node.turn()
            assert await bench.answers.get() == ACCEPTED
            (await bench.partner.next()).answer(200)
            while bench.node.by_id:
                await asyncio.sleep(0)
        while bench.node.endpoints.tasks or bench.node.turn_scheduled:
            await asyncio.sleep(0.001)
        minute_later = bench.node.loop.time() * 1000.0 + 60_000.0
        bench.node.dispatcher.handle(minute_later, [EndpointListReceived(ListKind.DELTA, 1000)])
        assert {name: size for name, size in sizes(bench).items() if size > 3} == {}


def believed_and_held(bench):
    """Calls in flight and idle connections by endpoint: the view of the decision module, and the pool's."""
    decisions, pool = bench.node.dispatcher, bench.node.endpoints
    calls = Counter(call.endpoint for call in pool.calls.values())
    idle = sum(map(len, pool.idle.values()))
    believed = {e.name: (len(e.calls), len(e.idle)) for e in decisions.endpoints.values()}
    held = {name: (calls[name], len(pool.idle.get(name, ()))) for name in pool.entries}
    return (believed, decisions.slots_in_use + idle), (held, pool.connections)


@pytest.mark.parametrize(
    ("what", "calls"),
    [
        ("answer", 0),
        ("spoilt", 0),
        ("reset", 0),
        ("time-out", 0),
        ("cancel", 0),
        ("dropped", 0),
        ("hang-up", 0),
        ("move", 1),
        ("removal", 1),
    ],
)
def test_decision_module_and_pool_agree_on_calls_and_connections(tmp_path, what, calls):
    @with_bench(tmp_path)
    async def _(bench):
        pool, decisions = bench.node.endpoints, bench.node.dispatcher
        bench.offer(Submission(b"m1", "note", 7, 500.0 if what == "time-out" else 6000.0, b""))
        first = await bench.partner.next()
        bench.offer(Submission(b"m2", "note", 7, 6000.0, b""))
        second = await bench.partner.next()
        believed, held = believed_and_held(bench)
        assert believed == held == ({"e1": (2, 0)}, 2)
        second.answer(200)
        match what:
            case "answer" | "dropped" | "hang-up":
                first.answer(200)
            case "spoilt":
                first.writer.write(b"\x00\r\n")
            case "reset":
                first.reset()
            case "cancel":
                pool.cancel(1, 0)
        while len(pool.calls) > calls:
            await asyncio.sleep(0.001)
        match what:
            case "dropped":
                second.writer.close()
                assert await second.ended()
            case "hang-up":
                decisions.shorten_keep_alive(1.0)
                while pool.idle:
                    await asyncio.sleep(0.01)
                    bench.node.turn()
            case "move":
                bench.node.registry.apply_update(
                    {"version": 42, "servers": [bench.row | {"addr": "127.0.0.1:9"}]}
                )
            case "removal":
                bench.node.registry.apply_update({"version": 42, "full": True, "servers": []})
                first.answer(200)
        while bench.node.turn_scheduled or len(set(map(str, believed_and_held(bench)))) > 1:
            await asyncio.sleep(0.001)


def test_hanging_endpoint_does_not_block_the_others_of_its_destination(tmp_path):
    # One hung call must not take all slots of its destination, even if other destinations hang as well.
    @with_bench(tmp_path, slots=4)
    async def _(bench):
        hung = [bench.partner, await bench.add("e2", destination=8)]
        for destination in (7, 8):
            bench.offer(Submission(b"first%d" % destination, "note", destination, 6000.0, b""))
        calls = [await peer.next() for peer in hung]
        well = [await bench.add("e3"), await bench.add("e4", destination=8)]
        for name, rest in ((b"soon", 0.5), (b"late", 0.0)):  # more than twice the usual duration of a call
            for destination, peer in zip((7, 8), well, strict=True):
                bench.offer(Submission(b"%s%d" % (name, destination), "note", destination, 6000.0, b""))
                (await peer.next()).answer(200)
            await asyncio.sleep(rest)
        assert not any(call.over.is_set() for call in calls)  # these calls still hang


def test_rate_limit_recovers_soon_after_one_refusal(tmp_path):
    # A partner that was full only for a moment must not stay limited.
    @with_bench(tmp_path, slots=20)
    async def _(bench):
        bench.offer()
        (await bench.partner.next()).answer(503)
        (await bench.partner.next()).answer(200)
        time = bench.node.loop.time
        bench.node.loop.time = lambda: time() + 8.0
        for number in range(8):
            bench.offer(Submission(b"next%d" % number, "note", 7, 6000.0, b""))
        await bench.partner.next()
        assert len(bench.node.endpoints.calls) == 8


async def served(bench, count):
    for _ in range(count):
        bench.offer(Submission(b"well%d" % bench.node.numbers, "note", 7, 6000.0, b""))
        (await bench.partner.next()).answer(200)


def test_a_few_resets_in_a_row_are_no_outage(tmp_path):
    # The partner was never down, but after resets by the network it would stay limited for long.
    @with_bench(tmp_path)
    async def _(bench):
        chilled = []
        bench.journal.record_cold = lambda endpoint, pace: chilled.append(endpoint)
        warmed = asyncio.Queue()
        bench.journal.record_warm = warmed.put_nowait
        await served(bench, 3)
        while not chilled:
            bench.offer(Submission(b"lost%d" % bench.node.numbers, "pay", 7, 24000.0, b""))
            (await bench.partner.next()).reset()
            await bench.ends.get()
        await served(bench, 1)
        assert await warmed.get() == "e1"
        assert not bench.node.dispatcher.endpoints["e1"].cold


def test_rate_of_an_endpoint_is_measured_only_while_it_is_known(tmp_path):
    # A rate that counts the time before the start is too low, and a cold partner would get too few calls.
    @with_bench(tmp_path)
    async def _(bench):
        await served(bench, 10)
        bench.offer()
        while "e1" not in bench.journal.cold:
            (await bench.partner.next()).answer(500)
        assert bench.journal.cold["e1"] > 1.0  # calls per second: ten in much less than ten seconds


def test_resize_updates_all_users_of_the_number_of_dispatchers(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        node, events = bench.node, []
        node.note = events.append
        node.resize(node.settings.dispatchers)
        assert events == [], "nothing has changed"
        node.resize(7)
        assert node.settings.dispatchers == node.limits.dispatchers == 7
        assert [type(event).__name__ for event in events] == ["Reconfigured"]
        assert events[0].settings.dispatchers == 7 and events[0].settings.classes == node.settings.classes
