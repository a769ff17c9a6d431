"""The incumbent's side of an upgrade: accepts a successor and hands over to it at SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rushhitch.core.operator_commands import OperatorCommands
from rushhitch.core.state_transfer import StateTransfer
from rushhitch.endpoints import Result
from rushhitch.fronts.listener import ConnectionManager
from rushhitch.succession import channel as channels
from rushhitch.succession.channel import Channel, Relay
from rushhitch.succession.states import VERSION, Action, Incumbent, IncumbentState

log = logging.getLogger(__name__)

HELLO_TIMEOUT_S = 2.0  # until a process that connects must have sent `hello`
PASS_TIMEOUT_S = 0.5  # to pass client connections on, each between two requests


class Handover:
    """Listens in the state folder for one successor at a time. `version` returns that of the endpoint list;
    `run_command` runs an operators' command that the successor relays."""

    def __init__(
        self,
        folder: Path,
        transfer: StateTransfer,
        operators: OperatorCommands,
        clients: ConnectionManager,
        version: Callable[[], int],
        run_command: Callable[[bytes], bytes],
    ) -> None:
        self.folder, self.clients = folder, clients
        self.transfer, self.operators, self.node = transfer, operators, transfer.node
        self.version, self.relay = version, Relay(run_command)
        self.loop = asyncio.get_running_loop()
        self.incumbent = Incumbent()
        self.sock: socket.socket | None = None
        self.channel: Channel | None = None  # to the successor
        self.unidentified: set[Channel] = set()  # that have not sent `hello`
        self.on_yielded: Callable[[], None] = lambda: None  # called once the successor owns the state
        self.idle = asyncio.Event()  # no call is outstanding

    def start(self) -> None:
        """Start listening. If the socket cannot be created, a successor waits for the folder's lock
        instead."""
        try:
            self.sock = channels.listen(self.folder)
        except OSError as error:
            log.warning("upgrades under load are not available: %s", error)
            return
        self.loop.add_reader(self.sock, self.accept)

    def stop(self) -> None:
        """Stop listening and close the channels; a successor that was not handed the state waits for the
        lock."""
        if self.sock is not None:
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None
        for candidate in list(self.unidentified):
            candidate.close()
        if self.channel is not None:
            self.channel.close()

    def accept(self) -> None:
        assert self.sock is not None, "listening"
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        if not channels.same_user(sock):
            log.warning("rejected a successor that runs as another user")
            sock.close()
            return
        candidate = Channel(
            sock,
            lambda frame, fds: self.handle_frame(candidate, frame, fds),
            lambda: self.channel_lost(candidate),
        )
        self.unidentified.add(candidate)
        self.loop.call_later(HELLO_TIMEOUT_S, lambda: candidate in self.unidentified and candidate.close())

    def handle_frame(self, channel: Channel, frame: dict[str, Any], fds: list[int]) -> None:
        channels.close_descriptors(fds)
        kind = frame.get("t")
        if kind == "hello":
            self.handle_hello(channel, frame.get("version"))
        elif channel is not self.channel:
            log.warning("succession: unexpected %r from a process that is not the successor", kind)
        elif kind == "ready":
            if self.incumbent.ready() is Action.PROMISE:
                channel.send({"t": "promised"})
                log.info("a successor is ready: SIGTERM hands over to it")
        elif kind == "cancel":
            self.node.endpoints.cancel(int(frame["message"]), int(frame["attempt"]))
        elif kind == "ask" and self.node.relinquished:
            self.send_back(channel, frame)
        else:
            self.relay.handle_frame(frame)

    def send_back(self, channel: Channel, frame: dict[str, Any]) -> None:
        """Send a command back that crossed the handover. Run here, it would change a folder that the
        successor owns, and take no effect."""

        def reply(answer: asyncio.Future[bytes]) -> None:
            channel.send({"t": "said", "n": frame["n"], "text": answer.result().decode()})

        self.relay.ask(str(frame["line"]).encode()).add_done_callback(reply)

    def handle_hello(self, channel: Channel, version: object) -> None:
        self.unidentified.discard(channel)
        busy = self.incumbent.state is not IncumbentState.SERVING
        if self.incumbent.joined(version) is not Action.WELCOME:
            log.warning(
                "rejected a successor: %s",
                "another upgrade is under way"
                if busy
                else f"it has protocol version {version!r}, not {VERSION}",
            )
            channel.send({"t": "no", "busy": busy})
            self.loop.call_later(HELLO_TIMEOUT_S, channel.close)
            return
        self.channel = self.relay.channel = channel
        listeners, fronts = self.clients.listeners, list(self.clients.fronts)
        info = self.operators.info()
        frame = {"t": "welcome", "version": VERSION, "fronts": fronts}
        frame |= {"listed": info["hosts_listed"], "down": info["hosts_down"]}
        channel.send(frame, [os.dup(listener.fileno()) for listener in listeners])
        log.info("a successor has come and makes itself ready")

    def channel_lost(self, channel: Channel) -> None:
        self.unidentified.discard(channel)
        if channel is not self.channel:
            return
        before, self.channel = self.incumbent.state, None
        self.relay.channel_lost()
        if self.incumbent.channel_lost() is Action.END:
            log.error("the successor has gone after it was given all: a plain start finds it in the journal")
            self.idle.set()
        elif before is not self.incumbent.state:
            log.warning("the successor has gone: this process serves on")

    async def hand_over(self, leave_at: float) -> bool:
        """Hand everything over to the successor and wait for outstanding calls until `leave_at`, on the
        loop's clock. False if the state cannot be written or the successor is gone: the caller then shuts
        down plainly."""
        assert self.channel is not None, "a successor has connected"
        self.clients.pause_listening()
        while self.clients.accepted:
            await asyncio.wait(self.clients.accepted)
        if not await self.transfer.freeze():
            self.incumbent.handover_failed()
            log.error("state could not be written for the successor: shutting down without handing over")
            return False
        channel = self.channel
        if channel is None:  # it died meanwhile, before anything was handed over
            self.incumbent.handover_failed()
            return False
        lock, frame = self.transfer.relinquish(self.report, self.abandon)
        channel.send({"t": "yield", "version": self.version()} | frame, [lock])
        self.on_yielded()
        outstanding = len(frame["loans"])
        log.info("handed over, %d messages with outstanding calls", outstanding)
        self.check_idle()
        await self.pass_clients(min(self.loop.time() + PASS_TIMEOUT_S, leave_at))
        try:
            async with asyncio.timeout_at(leave_at):
                await self.idle.wait()
                await channel.drained.wait()
        except TimeoutError:
            log.warning("%d messages are still out: they may have run", len(self.node.endpoints.calls))
        return True

    async def pass_clients(self, until: float) -> None:
        """Pass client connections on, each as soon as it is between two requests, until `until` on the loop's
        clock; then close the rest."""
        while self.clients.clients and self.channel is not None:
            for client in list(self.clients.clients):
                tail = client.transferable_input()
                transport = client.transport
                if tail is None or transport is None or transport.is_closing():
                    continue
                if transport.get_write_buffer_size():
                    continue
                fd = os.dup(transport.get_extra_info("socket").fileno())
                transport.pause_reading()
                frame = {"t": "client", "front": client.name, "tail": tail.decode("latin-1")}
                frame |= {"asked": client.asked, "heard_at": client.heard_at}
                frame |= {"doubtful": client.receipts.handles()}
                self.channel.send(frame, [fd])
                self.clients.clients.pop(client, None)
                transport.abort()
            if not self.clients.clients or self.loop.time() >= until:
                break
            await asyncio.sleep(0.005)
        self.clients.drain()

    def report(self, result: Result) -> None:
        """Report the outcome of a call that was outstanding at the handover."""
        if self.channel is not None:
            attempt = result.attempt
            frame: dict[str, Any] = {"t": "ended", "message": attempt.message, "attempt": attempt.number}
            frame |= {"outcome": int(result.outcome), "took_ms": result.took_ms, "wait_ms": result.wait_ms}
            frame |= {"over": result.over, "later": result.later, "final": result.final}
            self.channel.send(frame)
        self.loop.call_soon(self.check_idle)

    def abandon(self, message: int, why: str) -> None:
        """Tell the successor, which owns the message, that the client answered here has gone."""
        if self.channel is not None:
            self.channel.send({"t": "abandon", "message": message, "why": why})

    def check_idle(self) -> None:
        if not self.node.endpoints.calls and self.incumbent.idle() is Action.END:
            self.idle.set()
