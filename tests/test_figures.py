"""The metrics of INFO agree with what clients and partners saw, at each stage of a message."""

import asyncio

from doubles import run
from test_node import Bench, with_bench

from rushhitch.acceptor import Submission
from rushhitch.core.lifecycle import Phase
from rushhitch.core.operator_commands import OperatorCommands


def counted(told):
    return sum(sum(told[column].values()) for column in ("success", "busy", "failure"))


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def test_taken_is_success_and_busy_and_failure_and_inflight_at_each_point(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        info = OperatorCommands(bench.node).info
        assert counted(info()) == 0 and info()["inflight"] == 0 and info()["hosts_listed"] == 1
        bench.offer(Submission(b"m1", "note", 7, 6000.0, b""))
        assert info()["inflight"] == 1
        assert (await bench.answers.get()).status == "taken"
        request = await bench.partner.next()
        assert info()["inflight"] == 1 and counted(info()) == 0
        await until(lambda: info()["backend_calls"] == 1)
        request.answer(500)  # it will be retried: nothing has ended
        request = await bench.partner.next()
        assert info()["inflight"] == 1 and counted(info()) == 0
        request.answer(200)
        await until(lambda: info()["success"]["note"] == 1)
        assert info()["inflight"] == 0 and info()["backend_calls"] == 2
        bench.offer(Submission(b"m2", "pay", 7, 24000.0, b""))
        assert (await bench.answers.get()).status == "taken"
        (await bench.partner.next()).answer(500)  # an unsafe message
        await until(lambda: info()["failure"]["pay"] == 1)
        assert counted(info()) == 2 and info()["inflight"] == 0 and info()["backend_calls"] == 3


def test_a_message_that_is_turned_away_at_the_door_is_busy_once(tmp_path, monkeypatch):
    @with_bench(tmp_path)
    async def _(bench):
        monkeypatch.setattr(bench.journal, "has_room", lambda body: False)
        bench.offer(Submission(b"m1", "note", 7, 6000.0, b""))
        assert (await bench.answers.get()).status == "refused"
        told = OperatorCommands(bench.node).info()
        assert told["busy"] == {"note": 1, "pay": 0} and counted(told) == 1 and told["inflight"] == 0


def test_a_message_that_its_client_abandoned_is_counted_nowhere(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        number = bench.node.offer(Submission(b"m1", "note", 7, 6000.0, b""), bench.answers.put_nowait)
        bench.node.withdraw(number)
        told = OperatorCommands(bench.node).info()
        assert counted(told) == 0 and told["inflight"] == 0


def test_each_process_counts_from_0_and_an_end_after_a_restart_is_counted_where_it_came(tmp_path):
    async def work():
        bench = await Bench().start(tmp_path)
        bench.offer(Submission(b"m1", "note", 7, 6000.0, b""))
        assert (await bench.answers.get()).status == "taken"
        await bench.partner.next()
        before = OperatorCommands(bench.node).info()
        bench.journal.close()
        bench.node.lifecycle.enter(Phase.RELINQUISHED)  # simulates a crash: it has no further effect
        again = await Bench().start(tmp_path)
        assert OperatorCommands(again.node).info()["inflight"] == before["inflight"] == 1
        told = OperatorCommands(again.node).info()
        assert counted(told) == 0 and told["backend_calls"] == 0
        (await again.partner.next()).answer(200)
        await until(lambda: OperatorCommands(again.node).info()["success"]["note"] == 1)
        again.journal.close()

    run(work())
