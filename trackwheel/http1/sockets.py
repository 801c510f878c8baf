"""Socket options by which silent peers are noticed."""

import asyncio
import socket

from trackwheel.http1.const import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_PERIOD_S,
    KEEPALIVE_PROBES,
    TCP_USER_TIMEOUT_MS,
)


def set_tcp_options(
    transport: asyncio.BaseTransport, user_timeout_ms: int = TCP_USER_TIMEOUT_MS
) -> None:
    """Let the kernel report a peer that acknowledges nothing, and send without delay.

    `user_timeout_ms` is how long sent bytes may wait for that; an idle connection is asked now
    and then whether its other end is still there.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PERIOD_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
