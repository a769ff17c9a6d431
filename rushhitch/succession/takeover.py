"""The successor's side of an upgrade: connects to the holder of the state folder, prepares, and takes
over."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from rushhitch.config.platform import Configuration, ConfigurationError
from rushhitch.fronts.client_connection import TransferredConnection
from rushhitch.journal import FolderInUseError, Journal, JournalError, Sync
from rushhitch.succession import channel as channels
from rushhitch.succession.channel import PEER_GONE_REPLY, Channel, Relay
from rushhitch.succession.states import VERSION, Action, Successor

log = logging.getLogger(__name__)

LOCK_RETRY_S = 0.1  # between two attempts to lock a held folder
ANSWER_TIMEOUT_S = 2.0  # for the answer to `hello`; then the lock is waited for


@dataclass(slots=True)
class Inheritance:
    """What this process starts from: its journal, and the predecessor's state if it was handed over."""

    journal: Journal
    listeners: dict[str, socket.socket] = field(default_factory=dict)  # by front
    handover_state: dict[str, Any] | None = None  # the frame `yield`
    waited: bool = False  # for another process that held the folder


class Takeover:
    """One upgrade, from the successor's side. After `inherit` the owner sets `adopt`, `abandon`,
    `on_attempt_ended` and `on_predecessor_lost` and calls `start_following`, which first replays the frames
    received meanwhile, in order."""

    def __init__(self, configuration: Configuration, ready: Callable[[int, int], None]) -> None:
        self.configuration, self.on_ready = configuration, ready
        self.loop = asyncio.get_running_loop()
        self.successor = Successor()
        self.channel: Channel | None = None
        self.inbox: asyncio.Queue[tuple[dict[str, Any], list[int]] | None] = asyncio.Queue()
        self.following = False  # frames go to the owner's callbacks
        self.relay = Relay(lambda line: PEER_GONE_REPLY)
        self.adopt: Callable[[socket.socket, str, TransferredConnection], None] = lambda sock, *_: (
            sock.close()
        )
        self.abandon: Callable[[int, str], None] = lambda message, why: None
        self.on_attempt_ended: Callable[[dict[str, Any]], None] = lambda frame: None
        self.on_predecessor_lost: Callable[[], None] = lambda: None

    async def inherit(self) -> Inheritance:
        """Wait until this process owns the folder. Raises `ConfigurationError` if it never will."""
        waiting = False
        while True:
            if (journal := self.open_journal()) is not None:
                self.successor.folder_free()
                return Inheritance(journal, waited=waiting)
            if await self.request_handover() is Action.PREPARE:
                return await self.await_handover()
            if not waiting:
                log.warning("the folder is held, and its holder hands nothing over: waiting for its end")
                waiting = True
            await asyncio.sleep(LOCK_RETRY_S)

    def open_journal(self, lock: int = -1) -> Journal | None:
        """Open the journal, with the descriptor of a `lock` that was handed over or by locking the folder;
        None while another process holds it."""
        configuration = self.configuration
        try:
            return Journal(
                configuration.state, configuration.disk_bytes, Sync(configuration.deployment.sync), lock=lock
            )
        except FolderInUseError as error:
            if configuration.control is None:  # upgrades need the control address: a mistake
                raise ConfigurationError(f"ROUTER_STATE: {error}") from None
            return None
        except (OSError, JournalError) as error:
            raise ConfigurationError(f"ROUTER_STATE: {error}") from None

    async def request_handover(self) -> Action:
        """Ask the holder to hand over. Raises `ConfigurationError` if another upgrade is in progress."""
        try:
            sock = channels.connect(self.configuration.state)
        except OSError:
            return Action.WAIT
        inbox = self.inbox = asyncio.Queue()  # must not see the end of an earlier channel
        self.channel = channel = Channel(sock, self.handle_frame, lambda: inbox.put_nowait(None))
        channel.send({"t": "hello", "version": VERSION, "pid": os.getpid()})
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                received = await self.inbox.get()
        except TimeoutError:
            received = None
        frame, fds = received or ({}, [])
        if frame.get("t") == "welcome":
            action = self.successor.welcomed(frame.get("version"))
            if action is Action.PREPARE:
                self.welcome, self.relay.channel = frame, channel
                self.listeners = {
                    front: socket.socket(fileno=fd) for front, fd in zip(frame["fronts"], fds, strict=False)
                }
                return action
        elif frame.get("t") == "no":
            action = self.successor.refused(bool(frame.get("busy")))
            if action is Action.GIVE_UP:
                channel.close()
                raise ConfigurationError("ROUTER_STATE: another upgrade is under way: wait for its end")
        else:
            action = Action.WAIT
        channels.close_descriptors(fds)
        channel.close()
        return action

    async def await_handover(self) -> Inheritance:
        """Tell the holder, and on its promise operators, that this process is ready; wait for the handover or
        the holder's death."""
        assert self.channel is not None, "connected to the holder"
        self.successor.prepared()
        self.channel.send({"t": "ready"})
        while (received := await self.inbox.get()) is not None:
            frame, fds = received
            if frame.get("t") == "promised" and self.successor.promised() is Action.REPORT_READY:
                self.on_ready(int(self.welcome["listed"]), int(self.welcome["down"]))
                log.info("ready to take over")
                continue
            if frame.get("t") == "yield" and self.successor.yielded() is Action.TAKE:
                journal = self.open_journal(fds[0])
                assert journal is not None, "the lock was handed over"
                return Inheritance(journal, self.listeners, frame, waited=True)
            channels.close_descriptors(fds)
        self.successor.channel_lost()
        self.relay.channel_lost()
        log.warning("the predecessor ended without handing over: taking its folder")
        while (journal := self.open_journal()) is None:
            await asyncio.sleep(LOCK_RETRY_S / 10.0)
        return Inheritance(journal, self.listeners, waited=True)

    def handle_frame(self, frame: dict[str, Any], fds: list[int]) -> None:
        if frame.get("t") == "said":
            channels.close_descriptors(fds)
            self.relay.handle_frame(frame)
        elif self.following:
            self.follow(frame, fds)
        else:
            self.inbox.put_nowait((frame, fds))

    def follow(self, frame: dict[str, Any], fds: list[int]) -> None:
        """Pass a frame that follows the handover to the owner's callbacks."""
        kind = frame.get("t")
        if kind == "client" and fds:
            adopted = TransferredConnection(
                str(frame["tail"]).encode("latin-1"),
                bool(frame["asked"]),
                float(frame["heard_at"]),
                [int(number) for number in frame.get("doubtful", ())],
            )
            self.adopt(socket.socket(fileno=fds[0]), str(frame["front"]), adopted)
            return
        channels.close_descriptors(fds)
        if kind == "ended":
            self.on_attempt_ended(frame)
        elif kind == "abandon":
            self.abandon(int(frame["message"]), str(frame["why"]))
        else:
            self.relay.handle_frame(frame)

    def follow_queued(self, frame: dict[str, Any], fds: list[int]) -> None:
        """As `follow`, for a queued frame: an error must not end this process, which owns everything now.
        `Channel` does the same for later frames."""
        try:
            self.follow(frame, fds)
        except Exception:
            log.exception("succession: handling a frame failed")

    def start_following(self) -> None:
        """Pass all frames to the owner's callbacks from now on, starting with the queued ones."""
        self.successor.taken()
        self.following = True
        if self.channel is None:
            return
        over = False
        while not self.inbox.empty():
            received = self.inbox.get_nowait()
            if received is None:
                over = True
            else:
                self.follow_queued(*received)
        self.channel.channel_lost = self.channel_lost
        if over or not self.channel.open:
            self.channel_lost()

    def channel_lost(self) -> None:
        """The predecessor has ended: calls whose outcome it did not report may have run."""
        self.channel = None
        self.relay.channel_lost()
        if self.successor.channel_lost() is Action.FAIL_CALLS:
            self.on_predecessor_lost()

    def cancel_inherited(self, message: int, attempt: int) -> None:
        if self.channel is not None:
            self.channel.send({"t": "cancel", "message": message, "attempt": attempt})

    def give_up(self) -> None:
        """Stop before taking over; the incumbent serves on."""
        if self.channel is not None:
            self.channel.close()
