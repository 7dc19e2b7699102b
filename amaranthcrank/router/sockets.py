"""TCP socket options of outgoing connections."""

import asyncio
import socket

# TCP closes a connection when sent data stays unacknowledged for this long,
# enough for two consecutive lost packets and their retransmissions.
USER_TIMEOUT_MS = 900
# Idle connections are probed, because without traffic TCP does not detect that
# the peer is gone.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def set_options(transport: asyncio.BaseTransport) -> None:
    """Configure a socket to detect an unreachable peer within seconds.

    Disables Nagle's algorithm too.
    """
    sock: socket.socket | None = transport.get_extra_info('socket')
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    values = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for option, value in values:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
