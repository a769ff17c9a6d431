"""Listeners, and the connections of all fronts within bounds that they share."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from typing import Any

from rushhitch.acceptor import Acceptor
from rushhitch.fronts.admission import eviction_order
from rushhitch.fronts.client_connection import MAX_REQUEST_BYTES, ClientConnection, TransferredConnection

log = logging.getLogger(__name__)

SHUTDOWN_READ_STEPS = 2  # steps of the loop: in the first it sees what has come, in the second it has read it
SWEEP_INTERVAL_S = 0.25  # between two looks for such connections
BACKLOG = 4096  # connections that may wait to be accepted (the machine may allow fewer). One that finds no
# place there is not told so: its client tries again after 1, 2, 4, 8 and 16 s
MAX_ACCEPTS_PER_STEP = (
    16  # connections taken at once, so that a crowd does not hold up those who ask. As many at most are
)
# on their way to be turned away: with those that close to make room, they take 2 * ACCEPTS descriptors more
ACCEPT_REST_S = 0.1  # after a failed accept, as where no descriptor is left: the next one would fail at once
BACKLOG_ACCEPT_LIMIT_S = (
    1.0  # those in the queue at the end are taken for so long: a crowd that comes again as
)
# soon as it is closed never ends
CANDIDATES_VALID_S = (
    0.05  # for so long those who give way are taken from one choice: it goes over all connections
)


def configure_socket(sock: socket.socket) -> None:
    """Answers are small, and leave as they are written. Guards against one that the system holds back for the
    word on the one before, and drops when the connection is closed over bytes that came in the same moment.
    asyncio does it only for sockets that were made with the protocol's number, which those of a listener that
    `socket.create_server` made are not."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class ConnectionManager:
    """The listeners of all fronts and their connections, within bounds that they share."""

    def __init__(
        self, acceptor: Acceptor, most: int, max_incomplete_bytes: int = 100 * MAX_REQUEST_BYTES
    ) -> None:
        self.acceptor, self.most, self.max_incomplete_bytes = acceptor, most, max_incomplete_bytes
        self.incomplete_bytes = 0  # bytes of requests that are half sent: they take memory
        self.loop = asyncio.get_running_loop()
        self.closed: Counter[str] = Counter()  # connections, by why this side closed them
        self.clients: dict[ClientConnection, None] = {}  # in the order in which they were last heard
        self.eviction_candidates: deque[ClientConnection] = (
            deque()
        )  # who gives way next, as of `candidates_chosen_at`
        self.candidates_chosen_at = float("-inf")
        self.accepted: set[asyncio.Task] = set()
        self.connecting: dict[ClientConnection, None] = {}  # accepted, and not set up yet
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.resting: dict[socket.socket, asyncio.TimerHandle] = {}  # listeners that cannot accept just now
        self.listeners: list[socket.socket] = []
        self.fronts: dict[
            str, Callable[[ConnectionManager], ClientConnection]
        ] = {}  # by name, as their listeners

    def listen(
        self,
        address: tuple[str, int],
        name: str,
        front: Callable[[ConnectionManager], ClientConnection],
        inherited: socket.socket | None = None,
    ) -> tuple[str, int]:
        """Accept connections of that front there from now on; gives the address, where port 0 was told. With
        a listener that another process has passed on, what waits in its queue is not lost; one at another
        address than is wanted now is closed."""
        if inherited is not None and address[1] and inherited.getsockname() != address:
            inherited.close()
            inherited = None
        listener = inherited or socket.create_server(address, backlog=BACKLOG)
        listener.setblocking(False)
        self.fronts[name] = front
        self.loop.add_reader(listener, self.accept, listener, front)
        if not self.listeners:
            self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        self.listeners.append(listener)
        return listener.getsockname()

    def accept(self, listener: socket.socket, front: Callable[[ConnectionManager], ClientConnection]) -> bool:
        """Whether more may be waiting."""
        # Who gives way holds its descriptor up to the next step, whichever listener it makes room for.
        for _ in range(MAX_ACCEPTS_PER_STEP // len(self.listeners)):
            if sum(not client.has_room for client in self.connecting) >= MAX_ACCEPTS_PER_STEP:
                return True
            try:
                sock, _ = listener.accept()
            except ConnectionAbortedError:
                continue
            except BlockingIOError:
                return False
            except OSError as error:
                log.error("a connection is not accepted: %s", error)
                self.rest(listener, front)
                return False
            configure_socket(sock)
            client = front(self)
            client.sock = sock
            client.has_room = self.make_room()  # now: until it is set up, as many more may be accepted
            self.connecting[client] = None
            self.keep(self.set_up(client, sock))
        return True

    async def set_up(self, client: ClientConnection, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        finally:
            self.connecting.pop(client, None)

    def keep(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self.accepted.add(task)
        task.add_done_callback(self.accepted.discard)

    def rest(self, listener: socket.socket, front: Callable[[ConnectionManager], ClientConnection]) -> None:
        """Guards against a loop that does nothing but fail to accept: the connection stays in the queue. One
        client gives way meanwhile, since others may want its descriptor as well."""

        def go_on() -> None:
            del self.resting[listener]
            self.loop.add_reader(listener, self.accept, listener, front)

        if listener not in self.resting:
            self.loop.remove_reader(listener)
            self.resting[listener] = self.loop.call_later(ACCEPT_REST_S, go_on)
            self.evict_one()

    def adopt(self, sock: socket.socket, name: str, adopted: TransferredConnection) -> None:
        """A client's connection that another process has passed on."""
        front = self.fronts.get(name)
        if front is None:  # it is not served here any more
            sock.close()
            return

        async def connect() -> None:
            client = front(self)
            client.sock = sock
            await self.loop.connect_accepted_socket(lambda: client, sock)
            client.resume(adopted)

        configure_socket(sock)
        self.keep(connect())

    @property
    def address(self) -> tuple[str, int]:
        """Of the first listener."""
        return self.listeners[0].getsockname()

    def mark_active(self, client: ClientConnection) -> None:
        if self.clients.pop(client, self) is None:
            self.clients[client] = None

    def make_room(self) -> bool:
        """Guards against crowds: where there are too many, the first in `admission.eviction_order` gives way."""
        return len(self.clients) + len(self.connecting) < self.most or self.evict_one()

    def evict_one(self) -> bool:
        """Whether a client gives way."""
        now = self.loop.time()
        if now - self.candidates_chosen_at < CANDIDATES_VALID_S and self.evict_next(now, new_only=True):
            return True
        self.eviction_candidates = deque(
            eviction_order(((client, client.activity) for client in self.clients), now)
        )
        self.candidates_chosen_at = now
        return self.evict_next(now)

    def evict_next(self, now: float, new_only: bool = False) -> bool:
        """The next of those who were chosen, and who may still go, gives way. Of a choice that is not of now
        only strangers do: whoever came since goes before those that were served."""
        while self.eviction_candidates and not (new_only and self.eviction_candidates[0].asked):
            client = self.eviction_candidates.popleft()
            if client in self.clients and client.activity.eviction_rank(now) is not None and client.evict():
                self.clients.pop(client, None)
                return True
        return False

    def sweep(self) -> None:
        now = self.loop.time()
        for client in list(self.clients):
            client.enforce_timeouts(now)
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def pause_listening(self) -> None:
        """Leave those who come in the queue, for this process or another to accept."""
        for listener in self.listeners:
            if (timer := self.resting.pop(listener, None)) is not None:
                timer.cancel()
            self.loop.remove_reader(listener)

    def resume_listening(self) -> None:
        for listener, front in zip(self.listeners, self.fronts.values(), strict=True):
            self.loop.add_reader(listener, self.accept, listener, front)

    async def accept_backlog(self) -> None:
        """Take all who have come, some at a time: each takes a descriptor until another has given way. To
        close a listener resets those who wait in its queue, unless another process has it too."""
        self.pause_listening()
        until = self.loop.time() + BACKLOG_ACCEPT_LIMIT_S
        for listener, front in zip(self.listeners, self.fronts.values(), strict=True):
            while self.accept(listener, front) and self.loop.time() < until:
                await asyncio.sleep(0)

    def stop_listening(self) -> None:
        self.pause_listening()
        for listener in self.listeners:
            listener.close()

    def drain(self) -> None:
        for client in list(self.clients):
            client.close_when_idle()

    async def read_pending_input(self) -> None:
        """Read what has come so far, as the process ends. The core must refuse offers by now."""
        for _ in range(SHUTDOWN_READ_STEPS):
            await asyncio.sleep(0)

    def close_all(self) -> None:
        """The process ends: each connection is closed in this step, with no request left unanswered that was
        read."""
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        for client in list(self.clients):
            client.shut_down()
