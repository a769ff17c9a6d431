"""Lost notices, replies and frames: a sender must not take "written" for "received"."""

import asyncio
import json
import os
import random
import socket
from collections import Counter

import pytest
from doubles import Peer, run
from test_fronts_cloudevents import Front
from test_node import with_bench
from test_succession import pair, until

from rushhitch import notices as notices_module
from rushhitch.control.detached import DetachedEndpoints
from rushhitch.core.operator_commands import OperatorCommands
from rushhitch.core.state_transfer import StateTransfer
from rushhitch.discovery import PlatformClient, Watch
from rushhitch.fronts.listener import ConnectionManager
from rushhitch.notices import NoticeSender
from rushhitch.service import ControlHandler
from rushhitch.succession.handover import Handover
from rushhitch.succession.states import VERSION
from rushhitch.succession.takeover import Takeover

pytestmark = pytest.mark.usefixtures("each_loop")

# Notices


def test_a_second_notice_for_a_message_is_sent_after_the_first_in_flight():
    # The 204 for the first notice was taken as the answer to the second, which was then never sent.
    async def work():
        platform = await Peer().start()
        received = []
        notices = NoticeSender(platform.address, received.append)
        task = asyncio.get_running_loop().create_task(notices.run())
        notices.add(1, b"m1", "bounced", 500.0)
        first = await platform.next()
        notices.add(1, b"m1", "dead", 0.0)
        first.answer(204)
        second = await platform.next()
        assert json.loads(second.body) == {"ref": "m1", "result": "dead"}
        assert received == [], "the first 204 counted for both"
        second.answer(204)
        await notices.empty.wait()
        assert received == [1]
        task.cancel()

    run(work())


def test_a_late_answer_of_the_platform_is_eventually_received(monkeypatch):
    # Each answer came after its connection had been closed, so the notice was repeated for ever.
    monkeypatch.setattr(notices_module, "PACE_S", 0.02)
    monkeypatch.setattr(notices_module, "SHORT_PATIENCE_S", 0.1)

    async def work():
        platform = await Peer().start()
        received = asyncio.Queue()
        notices = NoticeSender(platform.address, received.put_nowait)
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(notices.run()), loop.create_task(late(platform))]
        notices.add(1, b"m1", "dead", 0.0)
        assert await asyncio.wait_for(received.get(), 5.0) == 1
        for task in tasks:
            task.cancel()

    async def late(platform):
        while True:
            request = await platform.next()
            asyncio.get_running_loop().call_later(0.3, request.answer, 204)

    run(work())


def test_a_notice_that_was_rejected_is_sent_again(monkeypatch):
    # After two 400s, as from a failing platform, it was dropped: the message had no outcome until a restart.
    monkeypatch.setattr(notices_module, "ASIDE_S", 0.3)

    async def work():
        platform = await Peer().start()
        received = asyncio.Queue()
        notices = NoticeSender(platform.address, received.put_nowait)
        task = asyncio.get_running_loop().create_task(notices.run())
        for number in range(10):
            notices.add(number, b"m%d" % number, "dead", 0.0)
        requests = []
        answering = asyncio.get_running_loop().create_task(answer(platform, requests))
        await notices.empty.wait()
        answering.cancel()
        assert received.qsize() == 9 and len(requests) <= 9, "halved until the bad one is found"
        request = await asyncio.wait_for(platform.next(), 2.0)
        assert json.loads(request.body)["ref"] == "m9"
        request.answer(204)
        await notices.empty.wait()
        assert received.qsize() == 10
        task.cancel()

    async def answer(platform, requests):
        while True:
            request = await platform.next()
            requests.append(request)
            request.answer(400 if b'"m9"' in request.body else 204)

    run(work())


def test_a_notice_that_was_interrupted_is_sent_again_after_a_restart_of_the_connection():
    # A handover stops the notices; if it failed, notices in flight were never sent again.
    async def work():
        peer = await Peer().start()
        watch = Watch(peer.address, 41, lambda update: None, random.Random(1))
        notices = NoticeSender(peer.address, lambda number: None)
        platform = PlatformClient(watch, notices)
        platform.start()
        notices.add(1, b"m1", "dead", 0.0)
        for _ in range(2):
            while (await asyncio.wait_for(peer.next(), 2.0)).target != "/status":
                pass
            platform.stop()
            platform.start()
        platform.stop()

    run(work())


# The CloudEvents front


def test_an_event_whose_client_disconnected_runs_once_per_dispatcher(tmp_path):
    # Events are deduplicated by identity at one dispatcher only; another one runs them again.
    async def work():
        seen = []
        fronts = [await Front().start(folder) for folder in folders]
        serving = [asyncio.get_running_loop().create_task(serve(front, seen)) for front in fronts]
        for at in range(12):  # some are withdrawn, some are delivered
            client = await fronts[0].connect()
            client.binary(id=f"e{at}")
            await asyncio.sleep((0.0, 0.003, 0.007)[at % 3])
            client.writer.transport.abort()
        for front, times in ((fronts[0], 1), (fronts[0], 1), (fronts[1], 2)):
            client = await front.connect()
            for at in range(12):
                client.binary(id=f"e{at}")
                assert (await client.answer())[0] in (200, 202)
            await front.node.idle.wait()
            assert sorted(Counter(seen).values()) == [times] * 12
        for task in serving:
            task.cancel()
        for front in fronts:
            front.clients.stop_listening()
            front.core.journal.close()

    async def serve(front, seen):
        while True:
            request = await front.partner.next()
            seen.append(request.headers["x-correlation-id"])
            request.answer(200)

    folders = [tmp_path / name for name in ("one", "other")]
    for folder in folders:
        folder.mkdir()
    run(work())


# One process takes over from another


def test_a_frame_that_cannot_be_handled_does_not_end_the_successor():
    # Errors on frames queued before it was ready were not caught: it died with everything it had been given.
    async def work():
        takeover = Takeover(None, lambda listed, down: None)
        adopted = []
        takeover.adopt = lambda sock, *frame: adopted.append(sock)

        def unknown(frame):
            raise ValueError("no such outcome")

        takeover.on_attempt_ended = unknown
        takeover.channel, other, _ = pair(takeover.handle_frame, lambda frame, fds: None)
        client, _ = socket.socketpair()
        other.send({"t": "ended", "message": 1, "attempt": 0, "outcome": 99})
        frame = {"t": "client", "front": "resp2", "tail": "", "asked": True, "heard_at": 0.0}
        other.send(frame, [os.dup(client.fileno())])
        await until(lambda: takeover.inbox.qsize() == 2)
        takeover.start_following()
        assert len(adopted) == 1, "the client connection that followed was dropped"

    run(work())


class IncumbentDouble:
    """The incumbent's side of an upgrade over a node in this process; the test plays the successor."""

    def __init__(self, bench, folder):
        self.transfer, operators, self.control_handler = (
            StateTransfer(bench.node),
            OperatorCommands(bench.node),
            ControlHandler(),
        )
        clients = ConnectionManager(bench.node, 16)
        run_command = self.control_handler.become_owner(operators)
        self.handover = Handover(folder, self.transfer, operators, clients, lambda: 41, run_command)
        self.received = asyncio.Queue()
        left, self.new, _ = pair(
            lambda frame, fds: self.handover.handle_frame(left, frame, fds),
            lambda frame, fds: self.received.put_nowait((frame, fds)),
        )
        self.channel = left

    async def promised(self):
        self.new.send({"t": "hello", "version": VERSION})
        assert (await self.next())[0]["t"] == "welcome"
        self.new.send({"t": "ready"})
        assert (await self.next())[0]["t"] == "promised"

    async def next(self):
        return await asyncio.wait_for(self.received.get(), 2.0)

    def end(self, *fds):
        self.channel.close()
        self.new.close()
        for fd in fds:
            os.close(fd)


def test_a_detach_that_crosses_the_handover_is_run_by_the_owner(tmp_path):
    # The incumbent wrote it into a folder that it no longer owned and answered ACK: it had no effect.
    @with_bench(tmp_path)
    async def _(bench):
        old = IncumbentDouble(bench, tmp_path)
        await old.promised()
        assert await old.transfer.freeze()
        lock, _ = old.transfer.relinquish(lambda result: None, lambda message, why: None)
        old.new.send({"t": "ask", "n": 7, "line": "DETACH e1"})  # sent before the successor received `yield`
        frame, _ = await old.next()
        assert (frame["t"], frame.get("line")) == ("ask", "DETACH e1"), "it was not sent back to the owner"
        assert DetachedEndpoints(bench.journal).ids == set(), "wrote to a folder that another process owns"
        old.new.send({"t": "said", "n": frame["n"], "text": "ACK\n"})
        assert (await old.next())[0] == {"t": "said", "n": 7, "text": "ACK\n"}
        old.end(lock)


def test_a_detach_after_sigterm_is_not_relayed_before_the_successor_owns_the_state(tmp_path):
    # It was relayed before `yield`: the successor drops frames that it does not expect, and nobody answered.
    @with_bench(tmp_path)
    async def _(bench):
        old = IncumbentDouble(bench, tmp_path)
        await old.promised()
        frozen, freeze = asyncio.Event(), old.transfer.freeze

        async def slow_freeze():
            await frozen.wait()
            return await freeze()

        old.transfer.freeze = slow_freeze
        old.handover.on_yielded = lambda: old.control_handler.relay_to(old.handover.relay.ask)
        old.handover.incumbent.sigterm_received()
        loop = asyncio.get_running_loop()
        going = loop.create_task(old.handover.hand_over(loop.time() + 1.0))
        await asyncio.sleep(0)
        assert old.control_handler.answer(b"DETACH e1\n") == b"ACK\n"
        assert DetachedEndpoints(bench.journal).ids == {"e1"}, "the successor does not find it"
        frozen.set()
        frame, fds = await old.next()
        assert frame["t"] == "yield"
        passed_on = old.control_handler.answer(b"ATTACH e1\n")
        frame, _ = await old.next()
        old.new.send({"t": "said", "n": frame["n"], "text": "ACK\n"})
        assert await passed_on == b"ACK\n"
        assert await going
        old.end(*fds)
