"""No effect of a request follows its end: crashes right after answers, half-closed clients, shutdown."""

import asyncio
import errno
import json
import signal

import pytest
from doubles import ROOT, Program, run, run_with_program
from test_endpoints import Caller
from test_node import OFFER, with_bench

from crowpier import Dispatcher
from crowpier.interface import Outcome
from rushhitch import connection
from rushhitch.acceptor import ACCEPTED, Submission
from rushhitch.core.messages import InheritedAttempt
from rushhitch.core.node import Node
from rushhitch.core.resumption import resume
from rushhitch.core.state_transfer import StateTransfer
from rushhitch.journal import Journal
from rushhitch.journal.files import Files

CLIENTS = 18
SOON_S = 2.0  # far less than the time to the deadline
QUIET_S = 1.0  # a restarted process sends resumed messages well within this time

KILL_BEHIND_ANSWER = """import os, signal, socket

plain, left = socket.socket.send, [{nth}]


def send(self, data, *flags):
    sent = plain(self, data, *flags)
    if bytes(data).startswith(b"+OK"):
        left[0] -= 1
        if not left[0]:
            os.kill(os.getpid(), signal.SIGKILL)
    return sent


socket.socket.send = send
"""


def with_shim(folder, monkeypatch, source):
    """Load this module into the program at its start."""
    (folder / "sitecustomize.py").write_text(source)
    monkeypatch.setenv("PYTHONPATH", f"{folder}:{ROOT}")


def without_shim(folder):
    (folder / "sitecustomize.py").unlink()


async def all_at_once(program, clients, cls="pay"):
    """Each client submits one message while the process is stopped, so that all are read in the same tick."""
    program.process.send_signal(signal.SIGSTOP)
    for number, client in enumerate(clients):
        client.send(b"OUT.ADD", b"0" * 16, b"m%d" % number, f"c={cls},d=6000,dest=7".encode(), b"hello")
    await asyncio.sleep(0.05)
    program.process.send_signal(signal.SIGCONT)


async def answer_of(client):
    """The client's answer; empty if the connection ends without one."""
    try:
        return await client.line()
    except ConnectionError:
        return b""


def notices_so_far(program):
    """The notices that the platform has received so far."""
    notices = []
    while not program.platform.requests.empty():
        request = program.platform.requests.get_nowait()
        if request.target == "/status":
            notices += [json.loads(line) for line in request.body.splitlines()]
    return notices


async def sent_within(program, seconds):
    """The ids of all messages that reach the partner in that time; each call is answered."""
    ids = []
    try:
        async with asyncio.timeout(seconds):
            while True:
                request = await program.partner.next()
                ids.append(request.headers["x-correlation-id"].encode())
                request.answer(200)
    except TimeoutError:
        return ids


def test_after_a_crash_behind_an_answer_only_answered_messages_are_sent(tmp_path, monkeypatch):
    # With one journal record for the whole tick, the next process would send messages of clients that were
    # never answered and have resubmitted them by then.
    for nth in (1, 2, 9, 17):
        folder = tmp_path / str(nth)
        folder.mkdir()
        with_shim(folder, monkeypatch, KILL_BEHIND_ANSWER.format(nth=nth))

        @run_with_program(Program(folder), started=False)
        async def _(program, folder=folder, nth=nth):
            await program.start()
            clients = [await program.client() for _ in range(CLIENTS)]
            await all_at_once(program, clients)
            answers = [await answer_of(client) for client in clients]
            await program.process.wait()
            accepted = {b"m%d" % number for number, answer in enumerate(answers) if answer == b"+OK\r\n"}
            assert len(accepted) == nth
            without_shim(folder)
            await program.start()
            sent = set(await sent_within(program, QUIET_S))
            notified = {notice["ref"].encode() for notice in notices_so_far(program)}
            assert sent <= accepted and accepted <= sent | notified  # notified: in flight at the crash


def test_half_closed_client_gets_its_answer(tmp_path):
    @run_with_program(Program(tmp_path))
    async def _(program):
        clients = [await program.client() for _ in range(CLIENTS)]
        await all_at_once(program, clients)
        for client in clients:
            client.writer.write_eof()
        answers = [await answer_of(client) for client in clients]
        taken = {b"m%d" % number for number, answer in enumerate(answers) if answer == b"+OK\r\n"}
        assert all(answer.startswith((b"+OK", b"-BUSY")) for answer in answers)
        assert set(await sent_within(program, QUIET_S)) == taken


def test_request_completed_right_before_the_exit_gets_an_answer(tmp_path):
    # Each client sends half a request before idle connections are closed, and the rest at a different time
    # around the exit. A reset tells the client that its request was not read; a regular close does not.
    @run_with_program(Program(tmp_path))
    async def _(program):
        clients = [await program.client() for _ in range(60)]
        head = b"*5\r\n$7\r\nOUT.ADD\r\n$2\r\n00\r\n"
        started = asyncio.get_running_loop().time()
        program.process.send_signal(signal.SIGTERM)

        async def one(number, client):
            await asyncio.sleep(started + 1.8 - asyncio.get_running_loop().time())
            client.writer.write(head)
            await asyncio.sleep(started + 3.25 + number * 0.004 - asyncio.get_running_loop().time())
            name = b"m%d" % number
            rest = b"$%d\r\n%s\r\n$19\r\nc=pay,d=6000,dest=7\r\n$2\r\nhi\r\n" % (len(name), name)
            try:
                client.writer.write(rest)
                return await client.line()
            except ConnectionError:
                return b"reset"

        answers = await asyncio.gather(*(one(number, client) for number, client in enumerate(clients)))
        await program.process.wait()
        assert not [number for number, answer in enumerate(answers) if answer == b""]


def test_pipelined_requests_on_a_closing_connection_all_get_answers(tmp_path):
    @run_with_program(Program(tmp_path))
    async def _(program):
        client, other = await program.client(), await program.client()
        assert await client.ask(b"PING") == b"+PONG\r\n"
        assert await other.add(b"m1", left_ms=6000) == b"+OK\r\n"  # unanswered call: the process waits
        started = asyncio.get_running_loop().time()
        program.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(started + 1.8 - asyncio.get_running_loop().time())
        client.writer.write(b"*1\r\n$4\r\nPI")  # incomplete when idle connections are closed, at 2 s
        await asyncio.sleep(started + 2.3 - asyncio.get_running_loop().time())
        client.writer.write(b"NG\r\n" + b"*1\r\n$4\r\nPING\r\n" * 2)
        assert [await answer_of(client) for _ in range(3)] == [b"+PONG\r\n"] * 3


@pytest.mark.parametrize("ended", [0, 1])
def test_message_that_ends_while_the_last_byte_is_delayed_is_not_sent(monkeypatch, ended):
    # The body, partly written, contains it: the call is dropped, and the other message has not run.
    monkeypatch.setattr(connection, "MIN_LAST_BYTE_DELAY_S", 0.1)

    async def work():
        caller = await Caller().start(batch=4)
        over = set()
        caller.endpoints.may_send = lambda attempt: attempt.message not in over
        caller.send(0, 1)
        while not any(call.connection for call in caller.endpoints.calls.values()):
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)
        over.add(ended)
        for _ in range(2):
            assert await caller.result() == (Outcome.NOT_EXECUTED, False, 0.0)
        caller.send(1 - ended)
        request = await caller.partner.next()
        assert request.headers["x-correlation-id"] == f"m{1 - ended}"
        assert caller.partner.requests.empty()

    run(work())


def test_attempt_is_not_recorded_while_the_last_byte_is_delayed(tmp_path, monkeypatch):
    # After a crash in that time, the next process would take the message for one that may have run, and fail
    # an unsafe one without a call.
    monkeypatch.setattr(connection, "MIN_LAST_BYTE_DELAY_S", 0.5)
    monkeypatch.setattr(connection, "MAX_LAST_BYTE_DELAY_S", 0.5)

    @with_bench(tmp_path)
    async def _(bench):
        bench.node.offer(Submission(b"m1", "pay", 7, 6000.0, b"hello"), bench.answers.put_nowait)
        assert await bench.answers.get() == ACCEPTED
        while bench.partner.connections == 0:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        assert bench.partner.requests.empty(), "the last byte was not held back"
        assert not Journal(tmp_path / "state", 3e6, writable=False).live[1].out
        await bench.partner.next()
        assert Journal(tmp_path / "state", 3e6, writable=False).live[1].out


def test_message_cancelled_while_the_last_byte_is_delayed_is_not_sent(monkeypatch):
    monkeypatch.setattr(connection, "MIN_LAST_BYTE_DELAY_S", 0.1)

    async def work():
        caller = await Caller().start(batch=4)
        caller.send(0, 1)
        while not any(call.connection for call in caller.endpoints.calls.values()):
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)
        caller.endpoints.cancel(0, 0)
        assert await caller.result() == (Outcome.CANCELLED, False, 0.0)
        assert await caller.result() == (Outcome.NOT_EXECUTED, False, 0.0)
        assert caller.partner.requests.empty()

    run(work())


def test_message_that_ends_while_its_call_reconnects_is_not_sent():
    # The idle connection breaks during the call, and connecting again takes a while.
    async def work():
        caller = await Caller().start(batch=4)
        over, reached, go_on = set(), asyncio.Event(), asyncio.Event()
        caller.endpoints.may_send = lambda attempt: attempt.message not in over
        caller.send(9)
        first = await caller.partner.next()
        first.answer(200)
        await caller.result()
        connect, request = caller.endpoints.connect, caller.endpoints.request

        async def slow_connect(endpoint):
            reached.set()
            await go_on.wait()
            return await connect(endpoint)

        async def broken_once(held, call, attempts):
            caller.endpoints.request = request
            raise ConnectionResetError

        caller.endpoints.connect, caller.endpoints.request = slow_connect, broken_once
        caller.send(0, 1)
        await reached.wait()
        over.add(0)
        go_on.set()
        second = await caller.partner.next()
        assert (second.target, second.headers["x-correlation-id"]) == ("/receive", "m1")
        second.answer(200)
        assert await caller.result() == (Outcome.NOT_EXECUTED, False, 0.0)
        assert await caller.result() == (Outcome.OK, True, 0.0)

    run(work())


def test_acceptance_is_revoked_if_its_answer_cannot_be_written(tmp_path):
    # The connection closed while the answer was written, and the message stayed accepted.
    @with_bench(tmp_path)
    async def _(bench):
        bench.node.offer(OFFER, lambda reply: False)
        bench.node.offer(Submission(b"m2", "note", 7, 6000.0, b"hello"), bench.answers.put_nowait)
        assert await bench.answers.get() == ACCEPTED
        assert (await bench.partner.next()).headers["x-correlation-id"] == "m2"
        assert bench.partner.requests.empty()
        assert [kept.id for kept in bench.journal.live.values()] == [b"m2"]


def test_submission_is_refused_if_its_client_is_not_reachable(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        bench.node.offer(OFFER, bench.answers.put_nowait, reachable=lambda: False)
        assert (await bench.answers.get()).status == "refused"
        assert not bench.journal.live and bench.partner.requests.empty()


def test_acceptance_that_cannot_be_recorded_is_never_recorded_later(tmp_path, monkeypatch):
    # The retried write must not store it later: the client was told that nothing was done.
    @with_bench(tmp_path)
    async def _(bench):
        failing = [True]
        write = Files.write

        def fails(self, fd, data):
            if failing[0]:
                raise OSError(errno.EIO, "the disk fails")
            return write(self, fd, data)

        monkeypatch.setattr(Files, "write", fails)
        for number in range(3):
            bench.node.offer(
                Submission(b"m%d" % number, "pay", 7, 6000.0, b"hello"), bench.answers.put_nowait
            )
        assert [(await bench.answers.get()).status for _ in range(3)] == ["refused"] * 3
        failing[0] = False
        bench.node.commit()
        assert not Journal(tmp_path / "state", 3e6, writable=False).live
        assert bench.partner.requests.empty()


def test_end_that_cannot_be_recorded_is_reported_only_at_the_deadline(tmp_path, monkeypatch):
    # Before the deadline, a crash could make the next process send a message reported as ended; later it
    # cannot.
    @with_bench(tmp_path)
    async def _(bench):
        bench.node.offer(Submission(b"m1", "pay", 7, 700.0, b"hello"), bench.answers.put_nowait)
        assert await bench.answers.get() == ACCEPTED
        request = await bench.partner.next()
        started = asyncio.get_running_loop().time()

        def fails(self, fd, data):
            raise OSError(errno.EIO, "the disk fails")

        monkeypatch.setattr(Files, "write", fails)
        request.answer(500)  # it may have run, so it ends
        assert await bench.ends.get() == (1, b"m1", "dead", 0.0)
        took = asyncio.get_running_loop().time() - started
        assert 0.6 <= took <= 0.7 + 0.25, took


def test_final_answer_ends_a_message_with_a_call_in_flight_at_a_crash(tmp_path):
    # Nobody receives the outcome of the earlier call, so waiting for it would last until the deadline.
    @with_bench(tmp_path)
    async def _(bench):
        bench.offer()
        await bench.partner.next()
        bench.journal.close()
        bench.journal = Journal(tmp_path / "state", 3e6)
        bench.node = Node(
            bench.node.settings,
            Dispatcher(bench.node.settings, 1),
            bench.journal,
            lambda *end: bench.ends.put_nowait(end),
        )
        bench.node.registry.apply_update({"version": 41, "full": True, "servers": [bench.row]}, cached=True)
        resume(bench.node)
        (await bench.partner.next()).answer(410)
        async with asyncio.timeout(SOON_S):
            assert await bench.ends.get() == (1, b"m1", "dead", 0.0)


def test_refusal_that_cannot_be_recorded_is_reported_as_the_next_process_would(tmp_path, monkeypatch):
    # After a crash the attempt has no outcome and may have run; the message would get a second, different
    # end.
    @with_bench(tmp_path)
    async def _(bench):
        bench.offer(Submission(b"m1", "pay", 7, 700.0, b""))
        request = await bench.partner.next()

        def no_room(self, fd, data):
            raise OSError(errno.ENOSPC, "no space")

        monkeypatch.setattr(Files, "write", no_room)
        request.answer(410)
        assert await bench.ends.get() == (1, b"m1", "dead", 0.0)


def test_retry_after_of_an_inherited_call_applies_though_its_message_has_ended(tmp_path):
    # The message ended before the answer of its call, but the retry-after of that answer must be obeyed.
    @with_bench(tmp_path)
    async def _(bench):
        bench.node.inherited[9, 0] = InheritedAttempt(9, 0, "e1", 1, 0.0, 0.0)
        StateTransfer(bench.node).inherited_attempt_ended(9, 0, Outcome.FULL, wait_ms=5_000.0)
        lane = bench.node.endpoints.entries["e1"].lane
        assert bench.node.endpoints.retry_after[lane] > bench.node.loop.time() + 4.0


@pytest.mark.parametrize("called", [False, True])
def test_resubmission_after_a_lost_connection_is_no_new_message(tmp_path, called):
    # The client saw a reset and no answer. The resubmission must not be sent if its id was reported as
    # bounced.
    @with_bench(tmp_path)
    async def _(bench):
        bench.offer()
        assert await bench.answers.get() == ACCEPTED
        if called:
            request = await bench.partner.next()
        bench.node.abandon(1, "its client's connection broke")
        bench.offer()
        if called:  # its end is still owed
            assert await bench.answers.get() == ACCEPTED
            request.answer(500)
            assert (await bench.ends.get())[2] == "dead"
            bench.offer()
            assert (await bench.answers.get()).status == "failed"
        else:
            assert (await bench.answers.get()).status == "refused"
            assert (await bench.ends.get())[2] == "bounced"
        await asyncio.sleep(QUIET_S / 4.0)
        assert bench.partner.requests.empty()
