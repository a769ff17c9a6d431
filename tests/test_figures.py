"""The metrics of INFO agree with what clients and partners saw, at each stage of a message."""

import asyncio

from doubles import run
from test_node import Bench, with_bench

from rushhitch.acceptor import Submission
from rushhitch.core.lifecycle import Phase
from rushhitch.core.operator_commands import OperatorCommands


def counted(metrics):
    return sum(sum(metrics[column].values()) for column in ("success", "busy", "failure"))


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def test_accepted_equals_success_busy_failure_and_inflight_at_each_stage(tmp_path):
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


def test_refused_submission_counts_as_busy_once(tmp_path, monkeypatch):
    @with_bench(tmp_path)
    async def _(bench):
        monkeypatch.setattr(bench.journal, "has_room", lambda body: False)
        bench.offer(Submission(b"m1", "note", 7, 6000.0, b""))
        assert (await bench.answers.get()).status == "refused"
        metrics = OperatorCommands(bench.node).info()
        assert metrics["busy"] == {"note": 1, "pay": 0} and counted(metrics) == 1 and metrics["inflight"] == 0


def test_withdrawn_message_is_not_counted(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        number = bench.node.offer(Submission(b"m1", "note", 7, 6000.0, b""), bench.answers.put_nowait)
        bench.node.withdraw(number)
        metrics = OperatorCommands(bench.node).info()
        assert counted(metrics) == 0 and metrics["inflight"] == 0


def test_counters_start_at_0_and_the_process_that_ends_a_message_counts_it(tmp_path):
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
        metrics = OperatorCommands(again.node).info()
        assert counted(metrics) == 0 and metrics["backend_calls"] == 0
        (await again.partner.next()).answer(200)
        await until(lambda: OperatorCommands(again.node).info()["success"]["note"] == 1)
        again.journal.close()

    run(work())
