"""Options of outgoing TCP connections."""

import asyncio
import socket

# A peer that acknowledges nothing for so long is taken as unreachable. It
# leaves room for two lost packets in a row and their resends.
USER_TIMEOUT_MS = 900
# Idle connections are probed, since a silent one shows nothing by itself.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def set_options(transport: asyncio.BaseTransport) -> None:
    """Make a silent peer end the connection within a few seconds."""
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
