"""Listening sockets of all fronts, and limits on their connections."""

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
from rushhitch.fronts.receipts import Ending
from rushhitch.fronts.socket_state import ending_of, has_input

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.25  # between two checks for overdue and idle connections
# The kernel may allow a shorter queue. If it is full a connect is dropped silently, and the client's system
# retries it after 1, 2, 4, 8 and 16 s.
BACKLOG = 4096
# Bounds the delay that a crowd causes to open connections, and also the connections being rejected: with
# those that close to make room, they need 2 * MAX_ACCEPTS_PER_STEP descriptors more.
MAX_ACCEPTS_PER_STEP = 16
ACCEPT_REST_S = 0.1  # after a failed accept, such as without free descriptors: the next would fail at once
BACKLOG_ACCEPT_LIMIT_S = (
    1.0  # at shutdown: clients that reconnect when closed could refill the queue for ever
)
CANDIDATES_VALID_S = 0.05  # reuse of one choice of eviction candidates, which scans all connections


def configure_socket(sock: socket.socket) -> None:
    """Make it non-blocking and disable Nagle's algorithm: an answer that waits for the acknowledgement of the
    one before is lost if the connection is closed over unread input. asyncio sets TCP_NODELAY only on sockets
    with an explicit protocol number, unlike those from a `socket.create_server` listener."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class ConnectionManager:
    """The listeners of all fronts and their connections, within limits that they share."""

    def __init__(
        self, acceptor: Acceptor, max_connections: int, max_incomplete_bytes: int = 100 * MAX_REQUEST_BYTES
    ) -> None:
        self.acceptor, self.max_connections, self.max_incomplete_bytes = (
            acceptor,
            max_connections,
            max_incomplete_bytes,
        )
        self.incomplete_bytes = 0  # of requests received in part, held in memory
        self.loop = asyncio.get_running_loop()
        self.closed: Counter[str] = Counter()  # connections closed by this side, by `CloseReason`
        self.clients: dict[ClientConnection, None] = {}  # least recently active first
        self.eviction_candidates: deque[ClientConnection] = (
            deque()
        )  # who gives way next, as of `candidates_chosen_at`
        self.candidates_chosen_at = float("-inf")
        self.accepted: set[asyncio.Task] = set()
        self.connecting: dict[ClientConnection, None] = {}  # accepted, transport not set up yet
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.paused_listeners: dict[
            socket.socket, asyncio.TimerHandle
        ] = {}  # listeners paused after a failed accept
        self.listeners: list[socket.socket] = []
        self.fronts: dict[
            str, Callable[[ConnectionManager], ClientConnection]
        ] = {}  # by name, in the order of `listeners`

    def listen(
        self,
        address: tuple[str, int],
        name: str,
        front: Callable[[ConnectionManager], ClientConnection],
        inherited: socket.socket | None = None,
    ) -> tuple[str, int]:
        """Start to accept connections for a front. Returns the bound address, which tells the port if 0 was
        asked for. An `inherited` listener, handed over by another process, keeps the connections in its
        queue; it is closed if its address differs from `address`."""
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
        """Accept up to this listener's share of `MAX_ACCEPTS_PER_STEP`; returns whether more may wait."""
        # The limit is shared: an evicted connection holds its descriptor until the next loop iteration.
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
                log.error("accept failed: %s", error)
                self.pause_accepting(listener, front)
                return False
            configure_socket(sock)
            client = front(self)
            client.sock = sock
            client.has_room = self.make_room()  # checked now, since more are accepted until it is set up
            self.connecting[client] = None
            self.track(self.set_up(client, sock))
        return True

    async def set_up(self, client: ClientConnection, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        finally:
            self.connecting.pop(client, None)

    def track(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self.accepted.add(task)
        task.add_done_callback(self.accepted.discard)

    def pause_accepting(
        self, listener: socket.socket, front: Callable[[ConnectionManager], ClientConnection]
    ) -> None:
        """Pause a listener for `ACCEPT_REST_S`, since a failed accept leaves the connection in the queue and
        would be retried in a busy loop. Evicts one client, whose descriptor may be what is lacking."""

        def resume_accepting() -> None:
            del self.paused_listeners[listener]
            self.loop.add_reader(listener, self.accept, listener, front)

        if listener not in self.paused_listeners:
            self.loop.remove_reader(listener)
            self.paused_listeners[listener] = self.loop.call_later(ACCEPT_REST_S, resume_accepting)
            self.evict_one()

    def adopt(self, sock: socket.socket, name: str, transferred: TransferredConnection) -> None:
        """Take over a client's connection from another process."""
        front = self.fronts.get(name)
        if front is None:  # the front is not enabled here
            self.drop_transferred(sock, transferred)
            return
        configure_socket(sock)
        client = front(self)
        client.sock, client.transferred = sock, transferred
        self.track(self.set_up_transferred(client, sock, transferred))

    async def set_up_transferred(
        self, client: ClientConnection, sock: socket.socket, transferred: TransferredConnection
    ) -> None:
        try:
            await self.set_up(client, sock)
        except Exception:
            log.exception("a client connection could not be taken over")
            self.drop_transferred(sock, transferred)

    def drop_transferred(self, sock: socket.socket, transferred: TransferredConnection) -> None:
        """Close a connection that cannot be taken over. Closing over unread input is a reset, which discards
        answers that the client has not read yet."""
        if ending_of(sock) is Ending.RESET or has_input(sock):
            for handle in transferred.unconfirmed:
                self.acceptor.abandon(handle, Ending.RESET.value)
        sock.close()

    @property
    def address(self) -> tuple[str, int]:
        """The address of the first listener."""
        return self.listeners[0].getsockname()

    def mark_active(self, client: ClientConnection) -> None:
        if self.clients.pop(client, self) is None:
            self.clients[client] = None

    def make_room(self) -> bool:
        """Whether there is room for one more connection, evicting one if there are `max_connections`."""
        return len(self.clients) + len(self.connecting) < self.max_connections or self.evict_one()

    def evict_one(self) -> bool:
        """Evict one client; returns False if none may be evicted."""
        now = self.loop.time()
        if now - self.candidates_chosen_at < CANDIDATES_VALID_S and self.evict_next(now, new_only=True):
            return True
        self.eviction_candidates = deque(
            eviction_order(((client, client.activity) for client in self.clients), now)
        )
        self.candidates_chosen_at = now
        return self.evict_next(now)

    def evict_next(self, now: float, new_only: bool = False) -> bool:
        """Evict the next candidate that may still be evicted; returns whether there was one. `new_only` is
        for an older choice: connections accepted since rank before those that were served."""
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
        """Leave new connections in the queue, for this process or another to accept."""
        for listener in self.listeners:
            if (timer := self.paused_listeners.pop(listener, None)) is not None:
                timer.cancel()
            self.loop.remove_reader(listener)

    def resume_listening(self) -> None:
        for listener, front in zip(self.listeners, self.fronts.values(), strict=True):
            self.loop.add_reader(listener, self.accept, listener, front)

    async def accept_backlog(self) -> None:
        """Accept the connections in the queues, a batch per loop iteration so that evicted ones free their
        descriptors. Closing a listener resets its queue, unless another process shares it."""
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

    def close_all(self) -> None:
        """Close every connection without waiting, at shutdown; each request that has arrived is answered.
        The core must already refuse submissions."""
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        for client in list(self.clients):
            client.shut_down()
