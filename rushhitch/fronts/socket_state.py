"""Non-blocking checks of a socket: whether the client has closed it, and what it has not acknowledged."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios

from rushhitch.fronts.receipts import Ending

TCP_INFO_SIZE = 104  # bytes of `struct tcp_info` (linux/tcp.h) up to its first counters
RETRANSMISSION_TIMEOUT = slice(8, 12)  # `tcpi_rto` in it
SIOCOUTQNSD = 0x894B  # linux/sockios.h: unsent bytes of the send queue
INPUT_ENDED = getattr(select, "POLLRDHUP", 0)  # Linux only; elsewhere only a read shows an end of input


def ending_of(sock: socket.socket) -> Ending | None:
    """How the client has ended the connection, as far as the kernel knows; None while it is connected."""
    poll = select.poll()
    try:
        poll.register(sock.fileno(), INPUT_ENDED)  # errors and hang-ups are always reported
        events = poll.poll(0)
    except (OSError, ValueError):  # closed on this side
        return None
    if not events:
        return None
    return Ending.RESET if events[0][1] & (select.POLLERR | select.POLLHUP) else Ending.INPUT_ENDED


def has_input(sock: socket.socket) -> bool:
    """Whether bytes have arrived that were not read."""
    return bool(queue_size(sock, termios.FIONREAD))


def unacknowledged(sock: socket.socket) -> int | None:
    """Bytes written that the client's TCP stack has not acknowledged; None if the platform cannot tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        if len(info) < TCP_INFO_SIZE or not any(info[RETRANSMISSION_TIMEOUT]):  # zero: not a TCP connection
            return None
    except (OSError, ValueError, AttributeError):
        return None
    return queue_size(sock, termios.TIOCOUTQ)


def unsent(sock: socket.socket) -> int:
    """Bytes written but not sent, for lack of room at the client; 0 if the platform cannot tell."""
    return queue_size(sock, SIOCOUTQNSD) or 0


def queue_size(sock: socket.socket, request: int) -> int | None:
    try:
        return struct.unpack("i", fcntl.ioctl(sock.fileno(), request, bytes(4)))[0]
    except (OSError, ValueError):
        return None
