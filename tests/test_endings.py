"""Races at the end of a process, a connection or a call, forced on real sockets: nothing owed is lost."""

import asyncio
import json
import signal
import socket
import time
from collections import Counter
from pathlib import Path

import pytest
from dispatcher_harness import DispatcherHarness
from doubles import ROOT, TEST_TIMEOUT_S, UNSAFE, WORTH, Program, run, run_with_program
from test_benchlink import TOLD
from test_endpoints import Caller

from crowpier import Dispatcher
from crowpier.benchlink import parse_settings
from crowpier.interface import Entry, MessageAccepted, Outcome
from rushhitch.acceptor import Submission
from rushhitch.connection import Connection
from rushhitch.core.node import Node
from rushhitch.core.state_transfer import StateTransfer
from rushhitch.endpoints import ARRIVED_ANSWER_S
from rushhitch.journal import Journal

pytestmark = pytest.mark.usefixtures("each_loop")

SYN_SENT = "02"  # connection state in /proc/net/tcp


class UnreachablePeer:
    """An address with a full accept queue: connections are not established until the test allows it."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        self.queued = []
        while not self.pending_connections():  # until a connection stays pending
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.address)
            self.queued.append(sock)
        self.own = self.pending_connections()

    def pending_connections(self):
        """The number of pending connections."""
        remote = f"0100007F:{self.address[1]:04X}"
        rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:])
        return sum(1 for row in rows if row[2] == remote and row[3] == SYN_SENT)

    async def wait_for_pending_connection(self):
        while self.pending_connections() == self.own:
            await asyncio.sleep(0.01)

    def close(self):
        for sock in (*self.queued, self.listener):
            sock.close()


def with_program(folder, program=Program):
    return run_with_program(program(folder), started=False)


class MovablePartner(Program):
    """With a partner whose address the test can change."""

    at = None

    def config(self):
        config = super().config()
        config["settings"]["policyLimits"]["connectTimeoutMs"] = 20_000.0  # longer than a shutdown takes
        if self.at is not None:
            config["known"]["servers"][0]["addr"] = "{}:{}".format(*self.at)
        return config


@pytest.mark.parametrize("end", [signal.SIGKILL, signal.SIGTERM])
def test_unsafe_message_not_yet_connected_at_the_end_is_sent_by_the_next_process(tmp_path, end):
    # If the attempt were recorded before the connection is up, the message would be failed without a call.
    @with_program(tmp_path, MovablePartner)
    async def _(program):
        unreachable = UnreachablePeer()
        try:
            program.at = unreachable.address
            await program.start()
            client = await program.client()
            assert await client.add(b"m1", "pay", 24000) == b"+OK\r\n"
            await unreachable.wait_for_pending_connection()
            program.process.send_signal(end)
            await program.process.wait()
            (kept,) = program.journal().live.values()
            assert not kept.out and kept.notice is None
        finally:
            unreachable.close()
        program.at = program.partner.address
        await program.start()
        request = await program.partner.next()
        assert request.headers["x-correlation-id"] == "m1"
        request.answer(200)


LONG_NOTICE_PACE = f"""from rushhitch import notices
notices.PACE_S = {TEST_TIMEOUT_S}
"""


@pytest.mark.parametrize("end", [signal.SIGKILL, signal.SIGTERM])
@pytest.mark.parametrize("cls", ["note", "pay"])
def test_each_untried_message_gets_a_call_after_a_restart(tmp_path, monkeypatch, end, cls):
    # The limit of open messages is reached, and is lower after the restart. When the process ends, three
    # messages hold all slots of the partner and the others had no call (repeatable ones get further calls
    # before SIGTERM). Each notice arrives once, since the answer of a slow platform is awaited.
    (tmp_path / "sitecustomize.py").write_text(LONG_NOTICE_PACE)
    monkeypatch.setenv("PYTHONPATH", f"{tmp_path}:{ROOT}")

    class LowerLimit(Program):
        most = 20

        def config(self):
            config = super().config()
            config["settings"]["policyLimits"]["mostHeld"] = self.most
            return config

    @with_program(tmp_path, LowerLimit)
    async def _(program):
        await program.start()
        client = await program.client()
        names = [b"m%d" % number for number in range(18)]
        for name in names:
            assert await client.add(name, cls) == b"+OK\r\n"
        out = [await program.partner.next() for _ in range(3)]  # one partner may use three of four slots
        tried = {request.headers["x-correlation-id"].encode() for request in out}
        await program.answers_noted()
        program.process.send_signal(end)
        await program.process.wait()
        program.most = 10
        await program.start()
        calls, ends = Counter(), Counter()

        async def answer():
            while True:
                request = await program.partner.next()
                calls[request.headers["x-correlation-id"].encode()] += 1
                request.answer(200)

        async def hear():
            while True:
                request = await program.platform.next()
                if request.target == "/status":
                    for notice in map(json.loads, request.body.splitlines()):
                        ends[notice["ref"].encode(), notice["result"]] += 1
                    request.answer(204)

        tasks = [asyncio.create_task(answer()), asyncio.create_task(hear())]
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while program.journal().live:
                await asyncio.sleep(0.02)
        for task in tasks:
            task.cancel()
        untried = set(names) - tried
        assert untried <= calls.keys(), f"ended without a call: {sorted(untried - calls.keys())}"
        assert cls == "note" or all(count == 1 for count in calls.values())
        assert ends == ({(name, "dead"): 1 for name in tried} if cls == "pay" else {})


def resumed(message, left_ms, cls=0, **fields):
    return MessageAccepted(message, cls, 1, left_ms, untried=True, **fields)


def test_untried_resumed_message_is_sent_even_if_little_time_is_left():
    # A new process only estimates the duration of calls; that must not end a message without a call.
    harness = DispatcherHarness(Entry("e1", 1))
    usual = harness.dispatcher.expected_ms["notice"]
    for message, left in enumerate((1.0, usual / 4, usual / 2, usual * 2)):
        harness.since[message], harness.taken[message] = harness.now, resumed(message, left)
    harness.feed(*harness.taken.values())
    assert harness.sent.keys() == {0, 1, 2, 3}


def test_resumed_message_past_its_deadline_ends_without_a_call():
    harness = DispatcherHarness(Entry("e1", 1))
    harness.since[1], harness.taken[1] = harness.now, resumed(1, 0.0)
    harness.feed(harness.taken[1])
    assert harness.answers[1] == "refuse" and not harness.sent.get(1)


def test_resumed_messages_at_the_limit_are_not_shed_before_an_attempt():
    harness = DispatcherHarness(Entry("e1", 1), max_held=10)
    for message in range(10):
        harness.since[message], harness.taken[message] = harness.now, resumed(message, 6000.0)
    harness.feed(*harness.taken.values())
    assert not harness.answers
    harness.arrive(10)
    assert harness.answers.keys() <= {10}


@pytest.mark.parametrize("left", [b"m0", b"m1"])
def test_message_that_ends_while_its_batch_connects_is_not_written(left):
    # A message that was withdrawn or refused while connecting must not run.
    async def work():
        caller = await Caller().start(batch=4)
        go_on, connect = asyncio.Event(), caller.endpoints.connect
        reached = asyncio.Event()

        async def slow_connect(endpoint):
            reached.set()
            await go_on.wait()
            return await connect(endpoint)

        caller.endpoints.connect = slow_connect
        caller.send(0, 1)
        await reached.wait()
        caller.endpoints.cancel(1 if left == b"m0" else 0, 0)
        go_on.set()
        request = await caller.partner.next()
        assert request.headers["x-correlation-id"].encode() == left
        request.answer(200)
        assert await caller.result() == (Outcome.CANCELLED, False, 0.0)
        assert await caller.result() == (Outcome.OK, True, 0.0)

    run(work())


@pytest.mark.parametrize("status", [200, 503])
@pytest.mark.parametrize("end", ["cancel", "timeout"])
def test_answer_that_arrived_before_its_call_was_given_up_counts(status, end):
    # Given up unread, a delivered message would be sent again or end as failed.
    async def work():
        caller = await Caller().start()
        caller.send(1, patience=0.3)
        request = await caller.partner.next()
        request.answer(status)  # it is in the caller's socket, and the loop has not looked there yet
        if end == "cancel":
            caller.endpoints.cancel(1, 0)
        else:
            time.sleep(0.35)  # the loop is held up past the deadline
        assert await caller.result() == (Outcome.OK if status == 200 else Outcome.FULL, status == 200, 0.0)

    run(work())


@pytest.mark.parametrize("cancelled", [(), (1,), (2,), (1, 2)])
def test_batch_answer_that_arrived_before_its_messages_were_given_up_counts_for_each(cancelled):
    async def work():
        caller = await Caller().start(batch=20)
        caller.send(1, 2, patience=0.3)
        request = await caller.partner.next()
        request.answer(200, b"m1 accepted\r\nm2 deferred\r\n")
        for message in cancelled:
            caller.endpoints.cancel(message, 0)
        if not cancelled:
            time.sleep(0.35)  # the loop is held up past the deadline
        ends = [await caller.result(), await caller.result()]
        assert ends == [(Outcome.OK, True, 0.0), (Outcome.FULL, False, 0.0)]

    run(work())


def test_a_message_of_a_batch_is_given_up_behind_bytes_that_are_no_answer():
    async def work():
        caller = await Caller().start(batch=20)
        caller.send(1, 2)
        request = await caller.partner.next()
        request.writer.write(b"HTTP/1.1 100 x\r\n\r\n")
        caller.endpoints.cancel(1, 0)
        assert await caller.result() == (Outcome.CANCELLED, False, 0.0)

    run(work())


@pytest.mark.parametrize("end", ["cancel", "timeout"])
@pytest.mark.parametrize("part", [b"", b"HTTP/1.1 5", b"HTTP/1.1 500 x\r\nContent-Length: 9\r\n\r\n"])
def test_a_call_that_is_given_up_waits_for_no_rest_of_its_answer(part, end):
    async def work():
        caller = await Caller().start()
        caller.send(1, patience=0.3)
        request = await caller.partner.next()
        request.writer.write(part)
        began = time.monotonic()
        if end == "cancel":
            caller.endpoints.cancel(1, 0)
        ends = {Outcome.CANCELLED} if end == "cancel" else {Outcome.TIMEOUT, Outcome.ERROR}
        assert (await caller.result())[0] in ends
        assert time.monotonic() - began < 0.3 + 2 * ARRIVED_ANSWER_S
        assert await request.ended()

    run(work())


def test_attempts_that_are_not_recorded_are_not_sent():
    async def work():
        caller = await Caller().start(batch=4)

        begin, caller.endpoints.begin = (
            caller.endpoints.begin,
            lambda endpoint, attempts, go: go(attempts[:1]),
        )
        caller.send(0, 1)  # one call, whose bytes contain both
        for _ in range(2):
            assert await caller.result() == (Outcome.NOT_EXECUTED, False, 0.0)
        caller.endpoints.begin = begin
        caller.send(0)
        request = await caller.partner.next()
        assert request.headers["x-correlation-id"] == "m0" and caller.partner.requests.empty()
        request.answer(200)
        assert await caller.result() == (Outcome.OK, True, 0.0)

    run(work())


def test_message_without_endpoints_causes_an_immediate_request_for_the_list(tmp_path):
    # Many dispatchers spread their first request, this one by 4.4 s due to its seed; the message expires
    # earlier.
    class WithoutEndpoints(Program):
        lost = False

        def config(self):
            config = super().config()
            config["settings"]["balancers"], config["seed"] = 2000, "99"
            if self.lost:
                config["known"]["servers"] = []
            return config

    @with_program(tmp_path, WithoutEndpoints)
    async def _(program):
        await program.start()
        client = await program.client()
        assert await client.add(b"m1", "note", 4000) == b"+OK\r\n"
        await program.partner.next()
        await program.kill()
        program.lost = True
        row = program.config()["known"]
        row["servers"] = Program.config(program)["known"]["servers"]
        await program.start()
        while (request := await program.platform.next()).headers.get("host") is None or not (
            request.target.startswith("/discovery") and "from=41" in request.target
        ):
            pass
        request.start_watch()
        request.chunk(json.dumps(row | {"version": 42}))
        assert (await program.partner.next()).headers["x-correlation-id"] == "m1"


def test_unreadable_configuration_keeps_the_old_one_until_the_next_sighup(tmp_path):
    # An error of an unexpected type must not end the handling of SIGHUP.
    @with_program(tmp_path)
    async def _(program):
        await program.start()
        path = program.folder / "config.json"
        good = path.read_text()
        path.write_text('{"settings":' + "[" * 100_000)
        program.process.send_signal(signal.SIGHUP)
        assert "the old configuration stays" in await program.log_line("SIGHUP")
        path.write_text(good)
        program.process.send_signal(signal.SIGHUP)
        assert "discovery is at" in await program.log_line("SIGHUP: disc")
        client = await program.client()
        assert await client.ask(b"PING") == b"+PONG\r\n"


BLOCK_AFTER_FREEZE = """import os, sys, time
import rushhitch.core.state_transfer as transfer
freeze = transfer.StateTransfer.freeze
async def frozen(self):
    done = await freeze(self)
    print("frozen", file=sys.stderr, flush=True)
    while not os.path.exists(os.environ["GO_ON"]):
        time.sleep(0.005)
    return done
transfer.StateTransfer.freeze = frozen
"""


@pytest.mark.parametrize("batch", [1, 4])
def test_answer_that_arrives_during_the_exit_counts(tmp_path, monkeypatch, batch):
    # The loop is blocked after its last poll until the answer is in the socket buffer. If it were not read,
    # unsafe messages that were delivered would be reported as failed.
    (tmp_path / "sitecustomize.py").write_text(BLOCK_AFTER_FREEZE)
    monkeypatch.setenv("PYTHONPATH", f"{tmp_path}:{ROOT}")
    monkeypatch.setenv("GO_ON", str(tmp_path / "go"))

    @with_program(tmp_path, lambda folder: Program(folder, batch))
    async def _(program):
        await program.start()
        client = await program.client()
        for name in (b"m1", b"m2")[:batch]:
            client.send(b"OUT.ADD", b"0", name, b"c=pay,d=24000,dest=7", b"x")
        request = await program.partner.next()
        program.process.send_signal(signal.SIGTERM)
        await program.log_line("frozen")
        request.answer(200, b"m1 accepted\r\nm2 fault\r\n" if batch > 1 else b"")
        (tmp_path / "go").touch()
        await program.process.wait()
        left = program.journal().live.values()
        assert [(kept.id, kept.ran is not None) for kept in left] == ([(b"m2", True)] if batch > 1 else [])
        assert "cannot be written" not in (await program.process.stderr.read()).decode()


async def at_the_exit(folder, answer, batch=1):
    """Shut down a node with one call of unsafe messages in flight whose answer arrives after the last poll;
    returns for each message left in the journal whether it may have run."""
    config = json.loads(json.dumps(TOLD)) | {"categories": [UNSAFE | WORTH]}
    config["familyInfo"]["batchByKind"] = [batch]
    settings = parse_settings(json.dumps(config).encode())
    node = Node(settings, Dispatcher(settings, 1), Journal(folder, 3e6), lambda *end: None)
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    row = {"id": "e1", "addr": "{}:{}".format(*listener.getsockname()), "zone": "a", "kind": "firms"}
    row |= {"cell": 7, "state": "SERVING", "weight": 1.0, "started_ms": 0}
    node.registry.apply_update({"version": 41, "full": True, "servers": [row]}, cached=True)
    for number in range(batch):
        node.offer(Submission(b"m%d" % number, "pay", 7, 9000.0, b"x"), lambda reply: None)
    loop = asyncio.get_running_loop()
    partner, _ = await loop.sock_accept(listener)
    while node.endpoints.written < batch:
        await asyncio.sleep(0.005)
    transfer = StateTransfer(node)
    await transfer.freeze()
    partner.sendall(answer)  # the loop has not polled yet
    started = loop.time()
    await transfer.end_calls()
    assert loop.time() - started < 1.0 and not node.endpoints.calls
    node.journal.close()
    for sock in (partner, listener):
        sock.close()
    return [kept.ran is not None for kept in Journal(folder, 3e6, writable=False).entries()]


WHOLE = b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n"


@pytest.mark.parametrize(
    ("answer", "left"),
    [
        (b"", [True]),
        (WHOLE % (200, 0), []),
        (b"HTTP/1.1 200 OK\r\n", []),  # the complete status line proves the delivery
        (b"HTTP/1.1 200 OK", [True]),
        (WHOLE % (503, 0), [False]),
        (WHOLE[:-2] % (503, 0), [True]),
        (WHOLE % (503, 1), [True]),
        (WHOLE % (500, 0), [True]),
    ],
)
def test_incomplete_answer_at_the_exit_counts_only_for_what_it_proves(tmp_path, answer, left):
    run(checked(tmp_path, answer, 1, left))


@pytest.mark.parametrize(("missing", "left"), [(0, [True]), (1, [True, True])])
def test_incomplete_batch_answer_at_the_exit_proves_nothing(tmp_path, missing, left):
    ends = b"m0 accepted\r\nm1 fault\r\n"
    run(checked(tmp_path, WHOLE % (200, len(ends) + missing) + ends, 2, left))


def test_endless_answer_does_not_delay_the_exit(tmp_path, monkeypatch):
    monkeypatch.setattr(Connection, "has_no_input", lambda self: False)  # more data at each check
    run(checked(tmp_path, WHOLE % (200, 1), 1, []))


async def checked(folder, answer, batch, left):
    assert await at_the_exit(folder, answer, batch) == left
