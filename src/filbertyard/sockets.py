"""Socket options for connections to other hosts, replicas and the store."""

from __future__ import annotations

import socket
import struct
from typing import Any

# A peer that lost power, or a path that drops packets, leaves a connection silent
# without a reset. Keep-alive probes find it while this side waits for data, the user
# timeout while sent data is not acknowledged.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2000


def configure_socket(sock: Any) -> None:
    """Disable Nagle's algorithm and detect a dead connection within seconds."""
    # Nagle's algorithm would hold a small frame until the previous one is acknowledged.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def reset_when_closed(sock: Any) -> None:
    """Have the connection end with a reset, which no end of a response looks like."""
    no_linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)


def end_when_closed(sock: Any) -> None:
    """Have the connection end in order, after everything sent on it."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 0, 0))
