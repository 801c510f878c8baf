"""The sockets of the HTTP server."""

import socket

from trackwheel.http1.const import RECEIVE_BUFFER_BYTES
from trackwheel.http1.sockets import open_listening_socket


def test_accepted_connection_has_a_small_receive_buffer() -> None:
    """The kernel grew it to megabytes, which count toward the memory of a box."""
    with open_listening_socket("127.0.0.1", 0) as listening:
        listening.setblocking(True)
        listening.listen()
        with socket.create_connection(listening.getsockname()), listening.accept()[0] as accepted:
            # Linux doubles the size for its bookkeeping.
            size = accepted.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            assert size <= 2 * RECEIVE_BUFFER_BYTES
