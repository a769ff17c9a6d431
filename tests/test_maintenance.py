"""Endpoints detached and attached by operators: decisions, endpoint pool, and the stored list of bans."""

import asyncio
import errno

import pytest
from dispatcher_harness import SAFE, UNSAFE, DispatcherHarness
from hypothesis import settings as budget
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from test_node import OFFER, with_bench

from crowpier.interface import Attached, Detached, Entry, ListKind, Outcome, RecordColdState, Send, State
from rushhitch.acceptor import ACCEPTED, Submission
from rushhitch.control.commands import CommandRefused
from rushhitch.control.detached import DETACHED_FILE, DetachedEndpoints
from rushhitch.core.operator_commands import OperatorCommands
from rushhitch.journal import Journal, Sync
from rushhitch.journal.files import Files
from rushhitch.journal.sidecar import DRAFT
from rushhitch.partners.codec import Attempt

FIRST, SECOND = Entry("e1", 1), Entry("e2", 1)


def test_detached_endpoint_gets_no_new_calls_and_calls_in_flight_end():
    harness = DispatcherHarness(FIRST, SECOND)
    harness.arrive(1)
    (out,) = harness.where(1)
    harness.feed(Detached(out))
    harness.end(1, Outcome.OK)
    for message in range(2, 12):
        harness.arrive(message)
        harness.end(message, Outcome.OK)
        assert out not in harness.where(message)


def test_due_retry_avoids_the_detached_endpoint():
    harness = DispatcherHarness(FIRST, SECOND)
    harness.arrive(1)
    (out,) = harness.where(1)
    harness.end(1, Outcome.ERROR)  # the retry would go to the same endpoint
    harness.feed(Detached(out))
    harness.pass_ms(3000, timeouts=False)
    assert harness.where(1)[1:] and out not in harness.where(1)[1:]


def test_messages_wait_while_all_endpoints_are_detached():
    harness = DispatcherHarness(FIRST, SECOND)
    harness.feed(Detached("e1"), Detached("e2"))
    harness.arrive(1)
    harness.pass_ms(1000)
    assert not harness.where(1) and 1 not in harness.answers
    harness.feed(Attached("e2"))
    harness.pass_ms(1000)
    assert harness.where(1) == ["e2"]


def test_message_is_refused_in_time_if_all_endpoints_stay_detached():
    harness = DispatcherHarness(FIRST)
    harness.feed(Detached("e1"))
    harness.arrive(1)
    harness.pass_ms(7000)
    assert harness.answers[1] == "refuse"


@pytest.mark.parametrize("state", [State.READY, State.DRAINING])
def test_ban_persists_across_list_updates(state):
    harness = DispatcherHarness(FIRST, SECOND)
    harness.feed(Detached("e1"))
    harness.list(Entry("e1", 1, state=State.GONE), kind=ListKind.DELTA)
    harness.list(Entry("e1", 1, state=state), kind=ListKind.DELTA)
    harness.list(FIRST, SECOND)
    for message in range(1, 9):
        harness.arrive(message, destination=1)
        harness.end(message, Outcome.OK)
        assert harness.where(message) == ["e2"]


def test_attached_endpoint_is_cold_but_healthy():
    harness = DispatcherHarness(FIRST)
    for message in range(20):
        harness.arrive(message)
        harness.pass_ms(100, timeouts=False)
        harness.end(message, Outcome.OK)
    harness.feed(Detached("e1"))
    harness.pass_ms(2000)
    actions = harness.feed(Attached("e1"))
    assert [a.cold for a in actions if isinstance(a, RecordColdState)] == [True]
    harness.arrive_together(100, 101, 102, 103, 104)
    assert len(harness.sends()) <= 1, "a burst of calls to a cold endpoint"
    harness.answer_all(4000, 50)
    assert all(harness.answers.get(message) == "served" for message in range(100, 105))


def test_endpoint_attached_while_unlisted_is_cold_when_listed():
    harness = DispatcherHarness(FIRST, SECOND)
    harness.feed(Detached("e1"))
    harness.list(Entry("e1", 1, state=State.GONE), kind=ListKind.DELTA)
    harness.feed(Attached("e1"))
    harness.list(FIRST, kind=ListKind.DELTA)
    harness.feed(Detached("e2"))
    harness.arrive_together(1, 2, 3, 4)
    assert len(harness.out) == 1


def test_repeated_detach_is_undone_by_one_attach():
    harness = DispatcherHarness(FIRST)
    harness.feed(Detached("e1"), Detached("e1"), Attached("e1"))
    harness.arrive(1)
    harness.pass_ms(1000, timeouts=False)
    assert harness.where(1) == ["e1"]


def test_pending_batch_to_a_detached_endpoint_gets_no_further_message():
    harness = DispatcherHarness(Entry("e1", 1, kind=2))
    harness.arrive_together(1, 2, 3)
    assert len(harness.out) == 3
    harness.feed(Detached("e1"))
    harness.arrive(4)
    harness.pass_ms(500, timeouts=False)
    assert not harness.where(4)


class BanMachine(RuleBasedStateMachine):
    """Bans, lists and messages in any order: nothing is sent to a detached endpoint, and the counts agree."""

    def __init__(self):
        super().__init__()
        self.harness, self.out, self.message = DispatcherHarness(FIRST, SECOND), set(), 0
        self.listed = {"e1", "e2"}

    def note(self, actions):
        for action in actions:
            if isinstance(action, Send):
                assert action.endpoint not in self.out

    @rule(name=st.sampled_from(["e1", "e2"]))
    def take_out(self, name):
        self.out.add(name)
        self.note(self.harness.feed(Detached(name)))

    @rule(name=st.sampled_from(["e1", "e2"]))
    def give_back(self, name):
        self.out.discard(name)
        self.note(self.harness.feed(Attached(name)))

    @rule(name=st.sampled_from(["e1", "e2"]), there=st.booleans())
    def list_again(self, name, there):
        (self.listed.add if there else self.listed.discard)(name)
        state = State.READY if there else State.GONE
        self.note(self.harness.list(Entry(name, 1, state=state), kind=ListKind.DELTA))

    @rule(cls=st.sampled_from([SAFE, UNSAFE]))
    def hand_in(self, cls):
        self.message += 1
        if len(self.harness.dispatcher.messages) < 30:
            self.note(self.harness.arrive(self.message, cls))

    @rule(ends=st.sampled_from([Outcome.OK, Outcome.ERROR, Outcome.FULL]))
    def answer(self, ends):
        for message, attempt in list(self.harness.out):
            self.note(self.harness.end(message, ends, attempt))

    @rule(span=st.integers(1, 3000))
    def wait(self, span):
        self.harness.pass_ms(span)
        self.note(self.harness.actions)

    @invariant()
    def the_count_of_those_avoided_has_all_listed_ones_that_are_out(self):
        # An endpoint that has left the list is kept while a call to it is in flight, and is not counted.
        count = self.harness.dispatcher.count_unavailable()
        assert len(self.out & self.listed) <= count <= len(self.listed)
        assert self.harness.dispatcher.detached == self.out


BanMachine.TestCase.settings = budget(
    max_examples=40, stateful_step_count=30, deadline=None, derandomize=True
)
TestBans = BanMachine.TestCase


def test_detach_stops_a_call_that_is_still_connecting(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        started = []
        connect = bench.node.endpoints.connect

        async def slow(endpoint):
            connection = await connect(endpoint)
            OperatorCommands(bench.node).detach(endpoint)  # while the connection is being established
            started.append(endpoint)
            return connection

        bench.node.endpoints.connect = slow
        bench.offer()
        assert await bench.answers.get() == ACCEPTED
        while not started:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        assert bench.partner.requests.empty() and bench.node.endpoints.written == 0
        bench.node.endpoints.connect = connect
        OperatorCommands(bench.node).attach("e1")
        request = await bench.partner.next()
        assert request.headers["x-correlation-id"] == OFFER.id.decode()
        request.answer(200)


def test_detach_stops_a_send_of_the_same_turn(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        bench.offer()
        OperatorCommands(bench.node).detach("e1")  # before the turn that would send it
        assert await bench.answers.get() == ACCEPTED
        await asyncio.sleep(0.1)
        assert bench.partner.requests.empty() and bench.partner.connections == 0
        bench.offer(Submission(b"m2", "note", 7, 6000.0, b""))
        OperatorCommands(bench.node).attach("e1")
        for _ in range(2):
            (await bench.partner.next()).answer(200)


def test_unknown_ids_are_refused_but_recently_removed_ones_are_accepted(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        for operation in (OperatorCommands(bench.node).detach, OperatorCommands(bench.node).attach):
            with pytest.raises(CommandRefused, match="no endpoint is called nobody"):
                operation("nobody")
        bench.node.registry.apply_update(
            {"version": 42, "full": False, "servers": [bench.row | {"state": "DELETED"}]}
        )
        OperatorCommands(bench.node).detach("e1")
        assert DetachedEndpoints(bench.journal).ids == {"e1"}
        bench.node.registry.recently_removed.clear()  # long ago
        OperatorCommands(bench.node).attach("e1")
        assert DetachedEndpoints(bench.journal).ids == set()


def test_ban_that_cannot_be_stored_is_refused_and_changes_nothing(tmp_path, monkeypatch):
    @with_bench(tmp_path)
    async def _(bench):
        def full(fd, data):
            raise OSError(errno.ENOSPC, "no space")

        monkeypatch.setattr(bench.journal.files, "write", full)
        with pytest.raises(CommandRefused, match="cannot be kept"):
            OperatorCommands(bench.node).detach("e1")
        monkeypatch.undo()
        assert not bench.node.bans.ids and not bench.node.endpoints.banned
        bench.offer()
        (await bench.partner.next()).answer(200)


def test_refused_ban_does_not_exist_after_a_restart(tmp_path, monkeypatch):
    # The file was replaced but its folder could not be synced; the operator received NAK.
    def fail():
        raise OSError(errno.EIO, "an error of the disk")

    for first in ([], ["e1"]):
        folder = tmp_path / f"with {len(first)}"
        folder.mkdir()
        journal = Journal(folder, 3e6, Sync.BATCH)
        bans = DetachedEndpoints(journal)
        for endpoint in first:
            bans.add(endpoint)
        monkeypatch.setattr(journal.files, "sync_folder", fail)
        with pytest.raises(OSError, match="an error of the disk"):
            bans.add("e2")
        monkeypatch.undo()
        used = journal.used
        journal.close()
        again = Journal(folder, 3e6, Sync.BATCH)
        assert DetachedEndpoints(again).ids == bans.ids == set(first)
        assert again.used == used
        again.close()


class StoppingFiles(Files):
    """Simulates a crash before the n-th file operation."""

    left = 10**9

    def step(self):
        self.left -= 1
        if self.left < 0:
            raise KeyboardInterrupt

    def create(self, name):
        self.step()
        return super().create(name)

    def write(self, fd, data):
        self.step()
        if self.left == 0 and len(data) > 4:  # crash in the middle of a write
            return super().write(fd, data[:4])
        return super().write(fd, data)

    def close(self, fd):
        self.step()
        super().close(fd)

    def rename(self, old, new):
        self.step()
        super().rename(old, new)

    def unlink(self, name):
        self.step()
        super().unlink(name)


def test_a_crash_at_every_operation_leaves_the_old_bans_or_the_new(tmp_path):
    seen = set()
    for stop in range(1, 50):
        folder = tmp_path / str(stop)
        folder.mkdir()
        files = StoppingFiles(folder)
        journal = Journal(folder, 3e6, files=files)
        bans = DetachedEndpoints(journal)
        bans.add("e1")
        files.left = stop
        try:
            bans.add("e2")
            finished = True
        except (KeyboardInterrupt, OSError):
            finished = False
        files.left = 10**9
        journal.close()
        again = Journal(folder, 3e6)
        found = DetachedEndpoints(again)
        assert found.ids in ({"e1"}, {"e1", "e2"})
        assert not finished or found.ids == {"e1", "e2"}
        assert not (folder / (DETACHED_FILE + DRAFT)).exists()
        assert again.used == sum(-(-f.stat().st_size // 512) * 512 for f in folder.iterdir())
        again.close()
        seen.add(tuple(sorted(found.ids)))
        if finished:
            break
    assert finished and len(seen) == 2


def test_damaged_ban_file_does_not_prevent_the_start(tmp_path, caplog):
    journal = Journal(tmp_path, 3e6)
    DetachedEndpoints(journal).add("e1")
    (tmp_path / DETACHED_FILE).write_bytes(b'00000000\n{"ids":["e1"]}')
    assert DetachedEndpoints(journal).ids == set()
    assert "what it held is unknown" in caplog.text
    journal.close()


def test_detach_stops_a_send_that_waited_for_the_commit(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        results, endpoints = [], bench.node.endpoints
        endpoints.report = results.append
        OperatorCommands(bench.node).detach("e1")
        due = endpoints.loop.time() + 5.0
        endpoints.send("e1", [Attempt(1, 0, b"m1", b"", due, due, "note", b"", 0.0)])
        await asyncio.sleep(0.05)
        assert [result.outcome for result in results] == [Outcome.NOT_EXECUTED]
        assert bench.partner.connections == 0 and not endpoints.calls
