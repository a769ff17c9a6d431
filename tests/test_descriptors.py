"""File descriptors are scarce and idle clients use all they can get; the rest of the program still works."""

import asyncio
import contextlib
import errno
import gc
import itertools
import json
import os
import resource
import signal
import socket
import time

import pytest
from doubles import Client, Peer, Program, run
from test_endpoints import with_caller
from test_fronts_resp2 import connect, with_server
from test_journal_sync import kept

from crowpier.interface import Outcome, State
from rushhitch.endpoints import EndpointEntry
from rushhitch.fronts import listener
from rushhitch.journal import Journal, Sync
from rushhitch.journal.commit import Committer
from rushhitch.journal.files import Files

DESCRIPTOR_LIMIT = 96  # descriptor limit of the process
IDLE_CLIENTS = 200  # idle clients, more than there are descriptors
RECONNECT_S = 0.5  # time until a closed client reconnects
MAX_WAIT_S = 2.0  # a client with a message is served by then, however many connect


class IdleClients:
    """Clients that connect and stay idle, every second one after a PING, and reconnect when closed. They use
    the addresses in turn."""

    def __init__(self, *addresses):
        turns = zip(range(IDLE_CLIENTS), itertools.cycle(addresses))
        self.tasks = [asyncio.ensure_future(self.stay(address, number % 2 == 0)) for number, address in turns]
        self.came = self.closed = 0
        self.limit_reached = asyncio.Event()  # set once a client was closed: the limit is reached

    async def stay(self, address, asks):
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    self.came += 1
                    if asks:
                        Client(reader, writer).send(b"PING")
                    await reader.read()
                    self.closed += 1
                    if self.came > IDLE_CLIENTS // 2:
                        self.limit_reached.set()
                finally:
                    writer.close()
            await asyncio.sleep(RECONNECT_S)

    async def go(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.wait(self.tasks)


class DescriptorMonitor:
    """Samples the number of descriptors of the process."""

    def __init__(self, program):
        self.program, self.most = program, 0
        self.task = asyncio.ensure_future(self.look())

    async def look(self):
        while True:
            with contextlib.suppress(OSError):
                self.most = max(self.most, len(os.listdir(f"/proc/{self.program.process.pid}/fd")))
            await asyncio.sleep(0.005)


async def served(program, name, cls="note", body=b"hello", dest=7):
    """Submit a message with a new client, retrying if it is rejected, as the protocol allows."""
    async with asyncio.timeout(MAX_WAIT_S):
        while True:
            with contextlib.suppress(OSError):
                client = await program.client()
                try:
                    answer = await client.add(name, cls, 6000, body, dest)
                    if answer and b"too many" not in answer and b"unknown destination" not in answer:
                        return answer
                finally:
                    client.writer.close()
            await asyncio.sleep(0.02)


async def take(partner, name):
    """Let the partner deliver that message; other calls are left unanswered."""
    while (request := await partner.next()).headers["x-correlation-id"] != name:
        pass
    request.answer(200)


async def watched(platform):
    while not (request := await platform.next()).target.startswith("/discovery/hosts?watch=1"):
        pass
    return request


def segments(program):
    return sorted(int(p.name[8:-4]) for p in (program.folder / "state").glob("segment-*"))


EVENTS = """[journal]
sync = "batch"
[cloudevents]
listen = "{}:{}"
types = {{ "com.example.paid" = "pay" }}
"""


class AllListeners(Program):
    """With a CloudEvents listener, a control address, and a journal that is synced in a thread."""

    async def start(self):
        control, events = getattr(self, "others", 2 * [("127.0.0.1", 0)])
        self.own = self.folder / "own.toml"
        self.own.write_text(EVENTS.format(*events))
        self.control = "{}:{}".format(*control)
        await super().start()
        places = [line.rsplit(" ", 1)[1].strip().split(":") for line in self.log if " on 127." in line][-3:]
        self.others = [(host, int(port.split(",")[0])) for host, port in places[:2]]

    def config(self):
        return super().config() | {"control": self.control}


@pytest.mark.parametrize(
    "kind, descriptors, sockets",
    [
        (Program, DESCRIPTOR_LIMIT, 1024),
        (Program, None, DESCRIPTOR_LIMIT),
        (AllListeners, DESCRIPTOR_LIMIT, 1024),
    ],
    ids=["the system has few", "the platform allows few", "with all listeners"],
)
def test_program_works_with_the_limit_of_idle_clients_across_a_restart_without_discovery(
    tmp_path, monkeypatch, kind, descriptors, sockets
):
    if kind is AllListeners:
        monkeypatch.setenv("RUSHHITCH_TOML", str(tmp_path / "own.toml"))

    async def work():
        program = await kind(tmp_path).start_doubles()
        program.descriptors, program.sockets, program.disk_mb = descriptors, sockets, 0.3
        await program.start()
        program.listen = f"127.0.0.1:{program.port}"
        others = getattr(program, "others", [])
        idle_clients, look = IdleClients(("127.0.0.1", program.port), *others), DescriptorMonitor(program)
        try:
            watch = await watched(program.platform)
            await idle_clients.limit_reached.wait()
            address = program.platform.address
            program.platform.stop()
            watch.reset()
            await program.log_line("watch ended")
            assert await served(program, b"m1") == b"+OK\r\n"
            await take(program.partner, "m1")
            program.process.send_signal(signal.SIGTERM)
            await program.log_line(" messages stay in the journal")
            assert await program.process.wait() == 0
            idle_clients.limit_reached.clear()
            await program.start()
            await idle_clients.limit_reached.wait()
            await program.log_line("watch ended")
            program.platform = await Peer(address[0]).start(address[1])
            watch = await watched(program.platform)
            watch.start_watch()
            program.partner = await Peer().start()
            row = program.config()["known"]["servers"][0] | {"id": "e2", "cell": 8}
            watch.chunk(json.dumps({"version": 42, "full": False, "servers": [row]}))
            first = max(segments(program))
            assert await served(program, b"held", "pay", dest=8) == b"+OK\r\n"
            held = await program.partner.next()  # not answered, so that its segment must be compacted
            for number in range(14):  # one per segment, about twelve fill half of the folder
                assert await served(program, b"m%d" % number, "note", bytes(12_000), 8) == b"+OK\r\n"
                await take(program.partner, f"m{number}")
            assert max(segments(program)) >= first + 10 and min(segments(program)) > first
            held.answer(500)
            assert await program.notice() == {"ref": "held", "result": "dead"}
            program.process.send_signal(signal.SIGHUP)
            await program.log_line("SIGHUP: discovery is at")
            assert look.most <= DESCRIPTOR_LIMIT
            assert not [line for line in program.log if "Too many open files" in line]
        finally:
            await idle_clients.go()
            look.task.cancel()
            if program.process.returncode is None:
                await program.kill()

    run(work())


def held_here():
    return len(os.listdir("/proc/self/fd"))


@contextlib.contextmanager
def none_left():
    """Exhaust the descriptors of this process: a new one is available only after one is closed."""
    gc.collect()  # garbage of earlier tests would free some meanwhile
    most = max(map(int, os.listdir("/proc/self/fd"))) + 1
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    taken = [os.dup(0)]
    while taken[-1] < most:
        taken.append(os.dup(0))
    os.close(taken.pop())
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for free in taken:
            os.close(free)


def test_without_descriptors_an_idle_connection_is_evicted_and_endpoints_are_not_blamed():
    lower = os.dup(0)  # closed once connected: the system assigns the lowest free descriptor

    @with_caller()
    async def _(caller):
        other = await Peer().start()
        caller.endpoints.set_endpoint("e2", EndpointEntry(other.address, 8, 1, State.READY))
        caller.send(1)
        request = await caller.partner.next()
        os.close(lower)
        with none_left():
            caller.send(2, endpoint="e2")
            assert await caller.result() == (Outcome.NOT_EXECUTED, False, 0.0)
        request.answer(200)
        assert await caller.result() == (Outcome.OK, True, 0.0)
        with none_left():
            caller.send(3, endpoint="e2")
            assert await request.ended(), "the idle connection was not evicted"
        await other.next()
        assert caller.endpoints.connections == 1


def test_without_descriptors_accepting_pauses_and_a_client_is_evicted(monkeypatch):
    # Retrying a failed accept in a loop used a whole CPU core.
    @with_server()
    async def _(server, acceptor):
        client = await connect(server)
        assert await client.ask(b"PING") == b"+PONG\r\n"
        came = socket.socket()
        with none_left():
            monkeypatch.setattr(listener, "ACCEPT_REST_S", 0.3)
            began, used = server.loop.time(), time.process_time()
            came.connect(server.address)
            assert await client.line() == b"", "no client was evicted"
            came.sendall(b"*1\r\n$4\r\nPING\r\n")
            came.setblocking(False)
            assert await server.loop.sock_recv(came, 100) == b"+PONG\r\n"
        assert server.loop.time() - began >= 0.25
        assert time.process_time() - used < 0.15
        came.close()
        server.stop_listening()


def test_accept_queue_is_drained_in_portions_at_shutdown():
    @with_server(most=32)
    async def _(server, acceptor):
        server.pause_listening()
        waiting = [await connect(server) for _ in range(400)]
        before, most = held_here(), 0

        async def look():
            nonlocal most
            while True:
                most = max(most, held_here() - before)
                await asyncio.sleep(0)

        looking = asyncio.ensure_future(look())
        await server.accept_backlog()
        server.stop_listening()
        waiting[-1].send(b"PING")
        assert await waiting[-1].line() == b"+PONG\r\n", "the last in the queue was reset"
        looking.cancel()
        assert most <= 32 + 2 * listener.MAX_ACCEPTS_PER_STEP
        for client in waiting:
            client.writer.close()


def test_evicted_client_with_unread_answers_releases_its_descriptor():
    # An evicted connection with unsent output must not stay open, uncounted, until its client disconnects.
    @with_server(most=8)
    async def _(server, acceptor):
        server.listeners[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        idle_clients = []
        for _ in range(8):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            sock.connect(server.address)
            sock.sendall(b"*1\r\n$4\r\nPING\r\n" * 2_000)  # the answers fill the socket buffers
            idle_clients.append(sock)
        while len(server.clients) < 8 or any(c.resting or not c.asked for c in server.clients):
            await asyncio.sleep(0.01)
        assert all(client.transport.get_write_buffer_size() for client in server.clients)
        before = held_here()
        clients = []
        for _ in range(8):
            clients.append(await connect(server))
            assert await clients[-1].ask(b"PING") == b"+PONG\r\n"
        assert held_here() <= before + 8, "evicted connections are still open"
        for sock in idle_clients:
            sock.close()
        for client in clients:
            client.writer.close()


def test_sync_without_a_descriptor_is_retried(tmp_path):
    # The committer must survive the failure; otherwise no client would be answered any more.
    class Few(Files):
        left = 0

        def duplicate(self, fd):
            if not self.left:
                raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
            return super().duplicate(fd)

    async def work():
        files = Few(tmp_path)
        journal = Journal(tmp_path, 1e6, Sync.BATCH, files)
        committer, results = Committer(journal), asyncio.Queue()
        journal.record_accepted(kept(1))
        committer.commit(lambda: results.put_nowait("done"), lambda: results.put_nowait("failed"))
        await asyncio.sleep(0.02)
        assert results.empty()
        files.left = 1
        assert await results.get() == "done"
        await committer.wait_until_idle()
        committer.close()
        journal.close()

    run(work())
