"""Upgrades: the channel, and two real processes."""

import asyncio
import errno
import json
import os
import signal
import socket
import sys

import pytest
from doubles import ROOT, Program, run
from test_node import with_bench

from lab.addresses import free_address
from rushhitch.acceptor import ACCEPTED, Submission
from rushhitch.core.operator_commands import OperatorCommands
from rushhitch.core.state_transfer import StateTransfer
from rushhitch.succession import channel as channels
from rushhitch.succession.channel import Channel

pytestmark = pytest.mark.usefixtures("each_loop")


def pair(heard_left, heard_right):
    """Two connected channels, and events that are set when they close."""
    left, right = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    lost = [asyncio.Event(), asyncio.Event()]
    return Channel(left, heard_left, lost[0].set), Channel(right, heard_right, lost[1].set), lost


def test_the_channel_carries_long_frames_with_descriptors_in_order_before_its_end():
    async def work():
        received = asyncio.Queue()
        left, right, lost = pair(lambda *update: None, lambda frame, fds: received.put_nowait((frame, fds)))
        inside, outside = os.pipe()
        left.send({"long": "x" * 400_000}, [outside])
        for n in range(300):
            left.send({"n": n})
        frame, fds = await received.get()
        assert len(frame["long"]) == 400_000 and len(fds) == 1
        os.write(fds[0], b"through")
        assert os.read(inside, 7) == b"through"
        assert [(await received.get())[0]["n"] for _ in range(300)] == list(range(300))
        await left.drained.wait()
        left.send({"last": 1})
        left.close()
        await lost[1].wait()
        assert (await received.get())[0] == {"last": 1}
        for fd in (inside, *fds):
            os.close(fd)

    run(work())


def test_a_malformed_frame_does_not_end_the_channel():
    async def work():
        received = asyncio.Queue()
        left, right, _ = pair(lambda *update: None, lambda frame, fds: received.put_nowait(frame))
        for data in (b"\x00{", b"\x00[]", b'\x00{"t":"ready"}'):
            left.sock.send(data)
        assert await received.get() == {"t": "ready"}
        assert received.empty()
        left.close()
        right.close()

    run(work())


def test_the_socket_works_in_a_folder_with_a_long_path(tmp_path):
    folder = tmp_path / ("x" * 120)
    folder.mkdir()
    listener = channels.listen(folder)
    other = channels.connect(folder)
    assert channels.same_user(listener.accept()[0])
    listener.close()
    again = channels.listen(folder)  # a socket left behind by a killed process is replaced
    for sock in (other, again):
        sock.close()


# Two real processes


class Pair(Program):
    """The program, and a second process started as its successor."""

    def __init__(self, folder, batch=1):
        super().__init__(folder, batch)
        self.others = []

    def config(self):
        return super().config() | {"listen": self.listen, "control": "127.0.0.1:0"}

    async def start_doubles(self):
        self.host, port = free_address()
        self.listen = f"{self.host}:{port}"
        return await super().start_doubles()

    async def start(self):
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config()))
        self.process = await self.spawn()
        line = await self.log_line("operators are answered on ")
        self.control = line.rsplit(":", 1)[1].strip()
        line = await self.log_line(" is ready on ")
        self.port = int(line.split(" is ready on ")[1].split(",")[0].split(":")[1])

    async def spawn(self):
        env = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        env |= {"ROUTER_CONFIG": str(self.folder / "config.json"), "ROUTER_STATE": str(self.folder / "state")}
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", "rushhitch", cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
        )

    async def second(self):
        """Start the successor; `log_line` and `say` refer to it from now on."""
        self.others.append((self.process, self.control))
        self.process = await self.spawn()
        self.control = (await self.log_line("operators are answered on ")).rsplit(":", 1)[1].strip()

    async def say(self, line, control=None):
        reader, writer = await asyncio.open_connection("127.0.0.1", int(control or self.control))
        writer.write(line + b"\n")
        reply = await reader.read()
        writer.close()
        return reply

    async def figures(self, control=None):
        return json.loads((await self.say(b"INFO", control)).split(b"\n")[0])

    async def ready(self):
        while await self.say(b"PING") != b"ACK\n":
            await asyncio.sleep(0.02)

    async def upgrade(self):
        """Let the successor take over; returns the old process, which may still have calls outstanding."""
        await self.second()
        await self.ready()
        old = self.others[-1][0]
        old.send_signal(signal.SIGTERM)
        await self.log_line(" is ready on ")
        return old

    async def end(self):
        for process in [*(process for process, _ in self.others), self.process]:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()


def with_pair(folder, batch=1):
    def decorate(test):
        async def work():
            program = await Pair(folder, batch).start_doubles()
            await program.start()
            try:
                await test(program)
            finally:
                await program.end()

        run(work())

    return decorate


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def test_an_upgrade_keeps_connections_messages_calls_and_detached_endpoints(tmp_path):
    @with_pair(tmp_path)
    async def _(pair):
        client, half = await pair.client(), await pair.client()
        assert await client.add(b"out", "pay", 24000) == b"+OK\r\n"
        out = await pair.partner.next()  # an unsafe call, outstanding during the handover
        half.writer.write(b"*5\r\n$7\r\nOUT.ADD\r\n$16\r\n0000")  # a partly sent request
        await half.writer.drain()
        await pair.second()
        await pair.ready()
        old, old_control = pair.others[0]
        assert await pair.say(b"DETACH e1") == b"ACK\n", "the detach did not reach the owner"
        while (await pair.figures(old_control))["hosts_down"] != 1:
            await asyncio.sleep(0.01)
        assert await client.add(b"held") == b"+OK\r\n"  # it waits for the detached endpoint
        old.send_signal(signal.SIGTERM)
        await pair.log_line(" is ready on ")
        half.writer.write(b"000000000000\r\n$4\r\nhalf\r\n$20\r\nc=note,d=6000,dest=7\r\n$5\r\nhello\r\n")
        assert await half.line() == b"+OK\r\n", "the part of a request that was read is lost"
        assert await client.add(b"later") == b"+OK\r\n", "the connection was not handed over"
        assert old.returncode is None, "the outstanding call is not waited for"
        assert await pair.say(b"ATTACH e1", old_control) == b"ACK\n", "the attach did not reach the owner"
        out.answer(200)
        assert await asyncio.wait_for(old.wait(), 5.0) == 0
        seen = set()
        while len(seen) < 3:
            request = await pair.partner.next()
            seen.add(request.headers["x-correlation-id"])
            request.answer(200)
        assert seen == {"held", "half", "later"}, (
            "the outstanding message was sent twice, or another not at all"
        )
        while (metrics := await pair.figures())["inflight"]:
            await asyncio.sleep(0.02)
        assert sum(metrics["success"].values()) == 4 and sum(metrics["failure"].values()) == 0


PIECES, PIECE_GAP_S = 200, 0.005  # a body that takes a second to write


def test_bodies_written_in_pieces_during_an_upgrade_arrive_as_they_were_sent(tmp_path):
    # Guards against requests that nobody sent: what stands in a body was read as the beginning of a request.
    @with_pair(tmp_path)
    async def _(pair):
        words = (b"OUT.ADD", b"0" * 16, b"quoted", b"c=note,d=6000,dest=7", b"hello")
        quoted = b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
        names = [f"m{number}" for number in range(12)]

        async def write(name):
            client = await pair.client()
            head = b"*5\r\n$7\r\nOUT.ADD\r\n$16\r\n" + b"0" * 16
            head += b"\r\n$%d\r\n%s\r\n$20\r\nc=note,d=6000,dest=7" % (len(name), name.encode())
            client.writer.write(head + b"\r\n$%d\r\n" % (PIECES * len(quoted)))
            for _ in range(PIECES):
                client.writer.write(quoted)
                await asyncio.sleep(PIECE_GAP_S)
            client.writer.write(b"\r\n")
            return await client.line()

        async def deliver():
            seen = {}
            while len(seen) < len(names):
                request = await pair.partner.next()
                seen[request.headers["x-correlation-id"]] = request.body
                request.answer(200)
            return seen

        await pair.second()
        await pair.ready()
        writing = [asyncio.create_task(write(name)) for name in names]
        delivering = asyncio.create_task(deliver())
        await asyncio.sleep(PIECES * PIECE_GAP_S / 2)
        pair.others[0][0].send_signal(signal.SIGTERM)
        assert await asyncio.gather(*writing) == [b"+OK\r\n"] * len(names)
        assert await delivering == dict.fromkeys(names, PIECES * quoted)


def test_connections_waiting_to_be_accepted_are_not_lost(tmp_path):
    @with_pair(tmp_path)
    async def _(pair):
        await pair.second()
        await pair.ready()
        old, _ = pair.others[0]
        old.send_signal(signal.SIGSTOP)  # it accepts nothing: new connections wait in the queue
        clients = [await pair.client() for _ in range(12)]  # fewer than the 20 messages that may be held
        for number, client in enumerate(clients):
            client.send(b"OUT.ADD", b"0" * 16, b"m%d" % number, b"c=note,d=6000,dest=7", b"hello")
        old.send_signal(signal.SIGTERM)
        old.send_signal(signal.SIGCONT)
        assert [await client.line() for client in clients] == [b"+OK\r\n"] * 12


def test_a_killed_incumbent_leaves_its_backlog_and_messages_to_the_successor(tmp_path):
    @with_pair(tmp_path)
    async def _(pair):
        client = await pair.client()
        assert await client.add(b"safe") == b"+OK\r\n"
        await pair.partner.next()
        assert await client.add(b"pay", "pay", 24000) == b"+OK\r\n"
        while (await pair.partner.next()).headers["x-correlation-id"] != "pay":
            pass  # on a busy machine the safe one is retried meanwhile
        await pair.second()
        await pair.ready()
        old, _ = pair.others[0]
        old.send_signal(signal.SIGSTOP)
        waiting = await pair.client()
        waiting.send(b"PING")
        old.kill()
        assert await waiting.line() == b"+PONG\r\n", "a waiting connection was reset"
        assert await pair.notice() == {"ref": "pay", "result": "dead"}
        again = await pair.partner.next()
        assert again.headers["x-correlation-id"] == "safe"
        again.answer(200)


@pytest.mark.parametrize("when", ["before it is ready", "once it is ready"])
def test_the_incumbent_serves_on_if_the_successor_dies(tmp_path, when):
    @with_pair(tmp_path)
    async def _(pair):
        client = await pair.client()
        await pair.second()
        if when == "once it is ready":
            await pair.ready()
        await pair.kill()
        pair.process, pair.control = pair.others.pop()
        if when == "once it is ready":
            await pair.log_line("this process serves on")
        assert await client.add(b"m1") == b"+OK\r\n"
        (await pair.partner.next()).answer(200)
        await pair.second()  # the next upgrade succeeds
        await pair.ready()
        pair.others[0][0].send_signal(signal.SIGTERM)
        await pair.log_line(" is ready on ")
        assert await client.add(b"m2") == b"+OK\r\n"


def test_a_successor_that_dies_after_the_handover_leaves_everything_to_a_plain_start(tmp_path):
    @with_pair(tmp_path)
    async def _(pair):
        client = await pair.client()
        assert await client.add(b"safe") == b"+OK\r\n"
        await pair.partner.next()
        await pair.upgrade()
        await pair.kill()
        await asyncio.wait_for(pair.others[0][0].wait(), 5.0)
        pair.others.clear()
        await pair.start()
        again = await pair.partner.next()
        assert again.headers["x-correlation-id"] == "safe"
        again.answer(200)


def test_calls_outstanding_when_the_incumbent_dies_after_the_handover_may_have_run(tmp_path):
    @with_pair(tmp_path)
    async def _(pair):
        client = await pair.client()
        assert await client.add(b"pay", "pay", 24000) == b"+OK\r\n"
        await pair.partner.next()
        old = await pair.upgrade()
        old.kill()
        assert await pair.notice() == {"ref": "pay", "result": "dead"}
        assert pair.partner.requests.empty(), "an unsafe message was sent twice"


def test_a_third_process_is_refused_while_an_upgrade_is_under_way(tmp_path):
    @with_pair(tmp_path)
    async def _(pair):
        await pair.second()
        await pair.ready()
        third = await pair.spawn()
        _, error = await third.communicate()
        assert third.returncode == 2 and b"another upgrade is under way" in error
        client = await pair.client()
        pair.others[0][0].send_signal(signal.SIGTERM)
        await pair.log_line(" is ready on ")
        assert await client.add(b"m1") == b"+OK\r\n"


def test_two_upgrades_in_a_row_with_a_call_outstanding_during_both(tmp_path):
    @with_pair(tmp_path)
    async def _(pair):
        client = await pair.client()
        assert await client.add(b"m1") == b"+OK\r\n"
        out = await pair.partner.next()
        for turn in range(2):
            await pair.second()
            await pair.ready()
            pair.others[turn][0].send_signal(signal.SIGTERM)
            await pair.log_line(" is ready on ")
        assert await client.add(b"m2") == b"+OK\r\n"
        (await pair.partner.next()).answer(200)
        out.answer(200)
        while (await pair.figures())["inflight"]:
            await asyncio.sleep(0.02)
        ends = [await pair.figures()]
        assert sum(ends[0]["success"].values()) >= 1


def test_an_invalid_file_during_an_upgrade_does_not_stop_it(tmp_path):
    @with_pair(tmp_path)
    async def _(pair):
        client = await pair.client()
        (tmp_path / "config.json").write_text('{"name":')
        await pair.upgrade()
        assert any("last good configuration is used" in line for line in pair.log)
        assert await client.add(b"m1") == b"+OK\r\n"


def test_a_holder_that_does_not_hand_over_is_waited_for(tmp_path):
    @with_pair(tmp_path)
    async def _(pair):
        (tmp_path / "state" / channels.SOCKET_NAME).unlink()
        await pair.second()
        await pair.log_line("waiting for its end")
        assert (await pair.say(b"PING")).startswith(b"NAK")
        pair.others[0][0].kill()
        await pair.log_line(" is ready on ")
        assert await (await pair.client()).add(b"m1") == b"+OK\r\n"


def test_many_connections_are_handed_over_within_the_descriptor_limit(tmp_path):
    @with_pair(tmp_path)
    async def _(pair):
        clients = [await pair.client() for _ in range(200)]
        for client in clients:
            assert await client.ask(b"PING") == b"+PONG\r\n"
        await pair.upgrade()
        for client in clients:
            assert await client.ask(b"PING") == b"+PONG\r\n"
        assert await asyncio.wait_for(pair.others[0][0].wait(), 5.0) == 0


def test_nothing_is_handed_over_if_the_disk_is_full(tmp_path, monkeypatch):
    @with_bench(tmp_path)
    async def _(bench):
        bench.offer()
        request = await bench.partner.next()

        def full(fd, data):
            raise OSError(errno.ENOSPC, "no space")

        monkeypatch.setattr(bench.journal.files, "write", full)
        request.answer(200)
        await until(lambda: bench.journal.has_unwritten_records)
        assert not await StateTransfer(bench.node).freeze(), "an outcome that is not journaled would be lost"
        monkeypatch.undo()
        assert await StateTransfer(bench.node).freeze()


def test_after_the_handover_a_process_writes_and_accepts_nothing(tmp_path):
    @with_bench(tmp_path)
    async def _(bench):
        bench.offer()
        request = await bench.partner.next()
        assert await StateTransfer(bench.node).freeze()
        results, abandoned = [], []
        lock, state = StateTransfer(bench.node).relinquish(
            results.append, lambda message, why: abandoned.append(message)
        )
        held = {path: path.read_bytes() for path in (tmp_path / "state").iterdir() if path.is_file()}
        assert [loan[:3] for loan in state["loans"]] == [(1, 0, "e1")]
        bench.node.offer(Submission(b"m2", "note", 7, 6000.0, b""), bench.answers.put_nowait)
        bench.node.withdraw(1)
        bench.node.abandon(1, "its client has gone")
        assert abandoned == [1]
        bench.node.registry.apply_update({"version": 50, "full": False, "servers": [bench.row]})
        bench.node.turn()
        request.answer(200)
        await until(lambda: results)
        assert results[0].over and OperatorCommands(bench.node).info()["inflight"] == 0
        assert (await bench.answers.get()) == ACCEPTED and (await bench.answers.get()).status == "refused"
        assert held == {path: path.read_bytes() for path in (tmp_path / "state").iterdir() if path.is_file()}
        os.close(lock)


def test_an_unsafe_call_that_outlasts_the_incumbent_fails_once(tmp_path):
    @with_pair(tmp_path)
    async def _(pair):
        client = await pair.client()
        assert await client.add(b"pay", "pay", 24000) == b"+OK\r\n"
        await pair.partner.next()
        old = await pair.upgrade()
        assert await asyncio.wait_for(old.wait(), 10.0) == 0, "it did not exit by itself"
        assert await pair.notice() == {"ref": "pay", "result": "dead"}
        assert pair.partner.requests.empty()


def test_a_detach_survives_an_upgrade_and_the_removal_of_the_endpoint_from_the_list(tmp_path):
    @with_pair(tmp_path)
    async def _(pair):
        async def watch():
            while not (request := await pair.platform.next()).target.startswith("/discovery"):
                request.answer(204)
            request.start_watch()
            return request

        row = pair.config()["known"]["servers"][0]
        await watch()
        assert await pair.say(b"DETACH e1") == b"ACK\n"
        await pair.upgrade()
        update = await watch()
        update.chunk(json.dumps({"version": 50, "full": False, "servers": [row | {"state": "DELETED"}]}))
        while (await pair.figures())["hosts_listed"]:
            await asyncio.sleep(0.01)
        update.chunk(json.dumps({"version": 51, "full": False, "servers": [row]}))
        while (await pair.figures())["hosts_listed"] != 1:
            await asyncio.sleep(0.01)
        client = await pair.client()
        assert await client.add(b"m1") == b"+OK\r\n"
        await asyncio.sleep(0.3)
        assert pair.partner.requests.empty(), "the detach was lost with the list"
        assert await pair.say(b"ATTACH e1") == b"ACK\n"
        (await pair.partner.next()).answer(200)


def test_an_unsafe_call_refused_at_the_incumbent_is_retried_by_the_successor(tmp_path):
    @with_pair(tmp_path)
    async def _(pair):
        client = await pair.client()
        assert await client.add(b"pay", "pay", 24000) == b"+OK\r\n"
        out = await pair.partner.next()
        await pair.upgrade()
        out.answer(429, X_Come_Back_Ms="400")  # it did not run
        began = asyncio.get_running_loop().time()
        again = await pair.partner.next()
        assert again.headers["x-correlation-id"] == "pay"
        assert asyncio.get_running_loop().time() - began >= 0.39, (
            "the retry-after that the old process received was lost"
        )
        again.answer(200)
