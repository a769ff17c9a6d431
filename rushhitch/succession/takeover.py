"""The new process's side of an upgrade: finds the folder held, makes itself ready, takes all over."""

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
from rushhitch.succession.channel import GONE, Channel, Relay
from rushhitch.succession.states import VERSION, Do, Successor

log = logging.getLogger(__name__)

TRY_S = 0.1  # between two looks whether a held folder has become free
ANSWER_S = 2.0  # the holder answers by then, or is waited for


@dataclass(slots=True)
class Inheritance:
    """What this process starts from: its folder, and what another has handed over, if one has."""

    journal: Journal
    listeners: dict[str, socket.socket] = field(default_factory=dict)  # by front
    told: dict[str, Any] | None = None  # the old one's word at the handover
    waited: bool = False  # another process held the folder first


class Takeover:
    """One upgrade, seen from the new process. After `inherit` the owner sets `adopt`, `ended` and `dead`, and
    calls `go_on`: what came meanwhile follows in order."""

    def __init__(self, configuration: Configuration, ready: Callable[[int, int], None]) -> None:
        self.configuration, self.say_ready = configuration, ready
        self.loop = asyncio.get_running_loop()
        self.successor = Successor()
        self.channel: Channel | None = None
        self.news: asyncio.Queue[tuple[dict[str, Any], list[int]] | None] = asyncio.Queue()
        self.following = False  # the owner hears of clients and calls
        self.relay = Relay(lambda line: GONE)
        self.adopt: Callable[[socket.socket, str, TransferredConnection], None] = lambda sock, *_: (
            sock.close()
        )
        self.abandon: Callable[[int, str], None] = lambda message, why: None
        self.ended: Callable[[dict[str, Any]], None] = lambda told: None
        self.dead: Callable[[], None] = lambda: None

    async def inherit(self) -> Inheritance:
        """Until this process owns the folder. Raises `ConfigurationError` where it never will."""
        waiting = False
        while True:
            if (journal := self.take_folder()) is not None:
                self.successor.folder_free()
                return Inheritance(journal, waited=waiting)
            if await self.join() is Do.PREPARE:
                return await self.prepared()
            if not waiting:
                log.warning("the folder is held, and its holder hands nothing over: waiting for its end")
                waiting = True
            await asyncio.sleep(TRY_S)

    def take_folder(self, lock: int = -1) -> Journal | None:
        """The journal; None while another process holds the folder."""
        told = self.configuration
        try:
            return Journal(told.state, told.disk_bytes, Sync(told.deployment.sync), lock=lock)
        except FolderInUseError as error:
            if told.control is None:  # no upgrades here: a mistake
                raise ConfigurationError(f"ROUTER_STATE: {error}") from None
            return None
        except (OSError, JournalError) as error:
            raise ConfigurationError(f"ROUTER_STATE: {error}") from None

    async def join(self) -> Do:
        """Ask the holder to hand over."""
        try:
            sock = channels.connect(self.configuration.state)
        except OSError:
            return Do.WAIT
        news_of = self.news = asyncio.Queue()  # the end of an earlier try is none of this one
        self.channel = channel = Channel(sock, self.heard, lambda: news_of.put_nowait(None))
        channel.send({"t": "hello", "version": VERSION, "pid": os.getpid()})
        try:
            async with asyncio.timeout(ANSWER_S):
                news = await self.news.get()
        except TimeoutError:
            news = None
        told, fds = news or ({}, [])
        if told.get("t") == "welcome":
            do = self.successor.welcomed(told.get("version"))
            if do is Do.PREPARE:
                self.welcome, self.relay.channel = told, channel
                self.listeners = {
                    front: socket.socket(fileno=fd) for front, fd in zip(told["fronts"], fds, strict=False)
                }
                return do
        elif told.get("t") == "no":
            do = self.successor.refused(bool(told.get("busy")))
            if do is Do.GIVE_UP:
                channel.close()
                raise ConfigurationError("ROUTER_STATE: another upgrade is under way: wait for its end")
        else:
            do = Do.WAIT
        channels.close_all(fds)
        channel.close()
        return do

    async def prepared(self) -> Inheritance:
        """Tell the holder and operators that this process is ready, and wait for the handover, or for the
        holder's death."""
        assert self.channel is not None, "there is a holder"
        self.successor.prepared()
        self.channel.send({"t": "ready"})
        while (news := await self.news.get()) is not None:
            told, fds = news
            if told.get("t") == "promised" and self.successor.promised() is Do.SAY_READY:
                self.say_ready(int(self.welcome["listed"]), int(self.welcome["down"]))
                log.info("ready to take over")
                continue
            if told.get("t") == "yield" and self.successor.yielded() is Do.TAKE:
                journal = self.take_folder(fds[0])
                assert journal is not None, "its lock was handed over"
                return Inheritance(journal, self.listeners, told, waited=True)
            channels.close_all(fds)
        self.successor.lost()
        self.relay.lost()
        log.warning("the process before this one has gone without handing over: its folder is taken up")
        while (journal := self.take_folder()) is None:
            await asyncio.sleep(TRY_S / 10.0)
        return Inheritance(journal, self.listeners, waited=True)

    def heard(self, told: dict[str, Any], fds: list[int]) -> None:
        if told.get("t") == "said":
            channels.close_all(fds)
            self.relay.heard(told)
        elif self.following:
            self.follow(told, fds)
        else:
            self.news.put_nowait((told, fds))

    def follow(self, told: dict[str, Any], fds: list[int]) -> None:
        """What comes after the handover."""
        word = told.get("t")
        if word == "client" and fds:
            adopted = TransferredConnection(
                str(told["tail"]).encode("latin-1"),
                bool(told["asked"]),
                float(told["heard_at"]),
                [int(number) for number in told.get("doubtful", ())],
            )
            self.adopt(socket.socket(fileno=fds[0]), str(told["front"]), adopted)
            return
        channels.close_all(fds)
        if word == "ended":
            self.ended(told)
        elif word == "abandon":
            self.abandon(int(told["message"]), str(told["why"]))
        else:
            self.relay.heard(told)

    def follow_queued(self, told: dict[str, Any], fds: list[int]) -> None:
        """Guards against one word that ends a process which has just been given all, as `Channel` does for
        those that come later."""
        try:
            self.follow(told, fds)
        except Exception:
            log.exception("succession: a message was not carried out")

    def go_on(self) -> None:
        """The owner hears of all that comes from now on, and of what has come."""
        self.successor.taken()
        self.following = True
        if self.channel is None:
            return
        over = False
        while not self.news.empty():
            news = self.news.get_nowait()
            if news is None:
                over = True
            else:
                self.follow_queued(*news)
        self.channel.lost = self.lost
        if over or not self.channel.open:
            self.lost()

    def lost(self) -> None:
        """The old one has ended: what it had out and has not told of may have run."""
        self.channel = None
        self.relay.lost()
        if self.successor.lost() is Do.LOSE_CALLS:
            self.dead()

    def cancel_inherited(self, message: int, attempt: int) -> None:
        if self.channel is not None:
            self.channel.send({"t": "cancel", "message": message, "attempt": attempt})

    def give_up(self) -> None:
        """This process ends before it has taken over; the old one serves on."""
        if self.channel is not None:
            self.channel.close()
