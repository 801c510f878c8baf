"""Listening sockets, and TCP options that detect unresponsive peers."""

import asyncio
import socket

from trackwheel.http1.const import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_PERIOD_S,
    KEEPALIVE_PROBES,
    RECEIVE_BUFFER_BYTES,
    TCP_USER_TIMEOUT_MS,
)


def set_tcp_options(
    transport: asyncio.BaseTransport, user_timeout_ms: int = TCP_USER_TIMEOUT_MS
) -> None:
    """Set TCP_NODELAY, TCP_USER_TIMEOUT and keep-alive on a connection.

    `user_timeout_ms` bounds how long sent data may stay unacknowledged; keep-alive probes detect
    an unresponsive peer on an idle connection.
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


def open_listening_socket(host: str, port: int) -> socket.socket:
    """Return a bound socket whose connections have a receive buffer of limited size."""
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock
