"""Addresses that are told before anybody listens there, and that nobody else takes meanwhile."""

from __future__ import annotations

import os
import socket

OWN = 127 << 24 | 1 << 22  # and the process's number, which has 22 bits: from 127.64.0.0 on
given: set[tuple[str, int]] = set()


def own_host() -> str:
    """A loopback address of this process alone. A port that is free at 127.0.0.1 may be anybody's a moment
    later: each connection on the machine takes one."""
    return socket.inet_ntoa((OWN + os.getpid()).to_bytes(4, "big"))


def hold_port(port: int) -> socket.socket:
    """Keep a port at 127.0.0.1 that nobody listens on from being given to a connection of anybody's. Whoever
    connects there is refused; a listener may take it while it is held. Closed by the caller."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", port))
    return held


def free_address() -> tuple[str, int]:
    """An address there that was not given before, free for TCP and UDP."""
    host = own_host()
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((host, 0))
            address = (host, tcp.getsockname()[1])
            if address not in given:
                udp.bind(address)
                given.add(address)
                return address
