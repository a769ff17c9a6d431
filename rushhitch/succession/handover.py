"""The old process's side of an upgrade: offers itself to a successor, and hands all over at SIGTERM."""

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
from rushhitch.succession.states import VERSION, Do, Incumbent, Old

log = logging.getLogger(__name__)

HELLO_S = 2.0  # a process that connects says who it is by then, or is sent away
PASS_S = 0.5  # for clients' connections whose request is being answered, until they can be passed


class Handover:
    """Listens in the folder for one successor at a time. `version` tells that of the list; `operate` carries
    out a word of operators that the other process was told."""

    def __init__(
        self,
        folder: Path,
        transfer: StateTransfer,
        operators: OperatorCommands,
        clients: ConnectionManager,
        version: Callable[[], int],
        operate: Callable[[bytes], bytes],
    ) -> None:
        self.folder, self.clients = folder, clients
        self.transfer, self.operators, self.node = transfer, operators, transfer.node
        self.version, self.relay = version, Relay(operate)
        self.loop = asyncio.get_running_loop()
        self.incumbent = Incumbent()
        self.sock: socket.socket | None = None
        self.channel: Channel | None = None  # to the successor
        self.strangers: set[Channel] = set()  # who have not said what they want
        self.yielded: Callable[[], None] = lambda: None  # called as all is another process's
        self.idle = asyncio.Event()  # no call is out here any more

    def start(self) -> None:
        """Where the folder takes no socket, upgrades go by the lock alone."""
        try:
            self.sock = channels.listen(self.folder)
        except OSError as error:
            log.warning("upgrades under load are not offered: %s", error)
            return
        self.loop.add_reader(self.sock, self.accept)

    def stop(self) -> None:
        """Offer nothing more; a successor that has not been given all goes by the lock."""
        if self.sock is not None:
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None
        for stranger in list(self.strangers):
            stranger.close()
        if self.channel is not None:
            self.channel.close()

    def accept(self) -> None:
        assert self.sock is not None, "it listens"
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        if not channels.same_user(sock):
            log.warning("another user's process asked to succeed, and is sent away")
            sock.close()
            return
        stranger = Channel(
            sock, lambda told, fds: self.heard(stranger, told, fds), lambda: self.lost(stranger)
        )
        self.strangers.add(stranger)
        self.loop.call_later(HELLO_S, lambda: stranger in self.strangers and stranger.close())

    def heard(self, channel: Channel, told: dict[str, Any], fds: list[int]) -> None:
        channels.close_all(fds)
        word = told.get("t")
        if word == "hello":
            self.join(channel, told.get("version"))
        elif channel is not self.channel:
            log.warning("succession: %r from a process that is no successor", word)
        elif word == "ready":
            if self.incumbent.ready() is Do.PROMISE:
                channel.send({"t": "promised"})
                log.info("a successor is ready: SIGTERM hands over to it")
        elif word == "cancel":
            self.node.endpoints.cancel(int(told["message"]), int(told["attempt"]))
        elif word == "ask" and self.node.relinquished:
            self.ask_back(channel, told)
        else:
            self.relay.heard(told)

    def ask_back(self, channel: Channel, told: dict[str, Any]) -> None:
        """A word of operators that crossed the handover is the successor's to carry out: here it would change
        a folder that was given away, and be in force nowhere."""

        def said(answer: asyncio.Future[bytes]) -> None:
            channel.send({"t": "said", "n": told["n"], "text": answer.result().decode()})

        self.relay.ask(str(told["line"]).encode()).add_done_callback(said)

    def join(self, channel: Channel, version: object) -> None:
        self.strangers.discard(channel)
        busy = self.incumbent.state is not Old.SERVING
        if self.incumbent.joined(version) is not Do.WELCOME:
            log.warning(
                "a process asks to succeed and is refused: %s",
                "another upgrade is under way" if busy else f"it speaks version {version!r}, not {VERSION}",
            )
            channel.send({"t": "no", "busy": busy})
            self.loop.call_later(HELLO_S, channel.close)
            return
        self.channel = self.relay.channel = channel
        listeners, fronts = self.clients.listeners, list(self.clients.fronts)
        info = self.operators.info()
        told = {"t": "welcome", "version": VERSION, "fronts": fronts}
        told |= {"listed": info["hosts_listed"], "down": info["hosts_down"]}
        channel.send(told, [os.dup(listener.fileno()) for listener in listeners])
        log.info("a successor has come and makes itself ready")

    def lost(self, channel: Channel) -> None:
        self.strangers.discard(channel)
        if channel is not self.channel:
            return
        before, self.channel = self.incumbent.state, None
        self.relay.lost()
        if self.incumbent.lost() is Do.END:
            log.error("the successor has gone after it was given all: a plain start finds it in the journal")
            self.idle.set()
        elif before is not self.incumbent.state:
            log.warning("the successor has gone: this process serves on")

    async def hand_over(self, leave_at: float) -> bool:
        """All of it goes to the successor; then wait for the calls that are out. False where the disk does
        not take what the successor needs: then this process ends as without one."""
        assert self.channel is not None, "there is a successor"
        self.clients.pause_listening()
        while self.clients.accepted:
            await asyncio.wait(self.clients.accepted)
        if not await self.transfer.freeze():
            self.incumbent.cannot_yield()
            log.error("the disk does not take what a successor needs: this process ends without handing over")
            return False
        channel = self.channel
        if channel is None:  # it died meanwhile, and nothing was given away yet
            self.incumbent.cannot_yield()
            return False
        lock, told = self.transfer.relinquish(self.report, self.abandon)
        channel.send({"t": "yield", "version": self.version()} | told, [lock])
        self.yielded()
        held = len(told["loans"])
        log.info("handed over, %d messages are out here until their calls end", held)
        self.check_idle()
        await self.pass_clients(min(self.loop.time() + PASS_S, leave_at))
        try:
            async with asyncio.timeout_at(leave_at):
                await self.idle.wait()
                await channel.empty.wait()
        except TimeoutError:
            log.warning("%d messages are still out: they may have run", len(self.node.endpoints.calls))
        return True

    async def pass_clients(self, until: float) -> None:
        """Connections go over as soon as they stand between two answers."""
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
                told = {"t": "client", "front": client.name, "tail": tail.decode("latin-1")}
                told |= {"asked": client.asked, "heard_at": client.heard_at}
                told |= {"doubtful": client.receipts.handles()}
                self.channel.send(told, [fd])
                self.clients.clients.pop(client, None)
                transport.abort()
            if not self.clients.clients or self.loop.time() >= until:
                break
            await asyncio.sleep(0.005)
        self.clients.drain()

    def report(self, result: Result) -> None:
        """How a call ended that was out at the handover."""
        if self.channel is not None:
            attempt = result.attempt
            told: dict[str, Any] = {"t": "ended", "message": attempt.message, "attempt": attempt.number}
            told |= {"outcome": int(result.outcome), "took_ms": result.took_ms, "wait_ms": result.wait_ms}
            told |= {"over": result.over, "later": result.later, "final": result.final}
            self.channel.send(told)
        self.loop.call_soon(self.check_idle)

    def abandon(self, message: int, why: str) -> None:
        """A client that was answered here is gone, and its message is the successor's by now."""
        if self.channel is not None:
            self.channel.send({"t": "abandon", "message": message, "why": why})

    def check_idle(self) -> None:
        if not self.node.endpoints.calls and self.incumbent.idle() is Do.END:
            self.idle.set()
