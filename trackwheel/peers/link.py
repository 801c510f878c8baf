"""A link to one peer: an outbox, and a reader and a writer task on one WebSocket."""

from collections import deque
from typing import Protocol

import anyio
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from trackwheel.peers.codec import Codec, Message
from trackwheel.peers.const import (
    CLOSE_CODE_INVALID_FRAME,
    MAX_FRAME_BYTES,
    MAX_MESSAGES_PER_FRAME,
    MAX_QUEUED_MESSAGES,
)
from trackwheel.peers.errors import FrameError
from trackwheel.peers.models import PeerIdentity
from trackwheel.telemetry.logs import Log

LOG = Log("peers")


class Receiver(Protocol):
    """Receive the messages that arrive over links."""

    def receive(self, sender: PeerIdentity, message: Message) -> None:
        """Handle one message; must not block."""


class Outbox:
    """Bounded queue of messages to one peer, read in batches by its link."""

    def __init__(self) -> None:
        self._queue: deque[Message] = deque()
        self._not_empty = anyio.Event()
        self.bytes_sent = 0

    def put(self, message: Message) -> bool:
        """Add a message; return False if it was dropped because the queue is full."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            return False
        self._queue.append(message)
        self._not_empty.set()
        return True

    def clear(self) -> int:
        """Drop all messages and return their number."""
        dropped = len(self._queue)
        self._queue.clear()
        return dropped

    async def take(self) -> list[Message]:
        """Wait for messages and return up to one frame's worth of them."""
        while not self._queue:
            self._not_empty = anyio.Event()
            await self._not_empty.wait()
        count = min(len(self._queue), MAX_MESSAGES_PER_FRAME)
        return [self._queue.popleft() for _ in range(count)]


def _encode_frames(codec: Codec, messages: list[Message]) -> list[bytes]:
    """Encode messages as frames; log and drop any that exceeds the frame limit."""
    try:
        return codec.encode_frames(messages, MAX_FRAME_BYTES)
    except FrameError as error:
        if len(messages) == 1:
            LOG.error(f"Dropped a message that cannot be encoded. {error}")
            return []
    return [frame for message in messages for frame in _encode_frames(codec, [message])]


async def run_link(
    socket: Connection,
    peer: PeerIdentity,
    outbox: Outbox,
    codec: Codec,
    receiver: Receiver,
) -> None:
    """Send and receive messages until the link is closed."""

    async def write() -> None:
        while True:
            for frame in _encode_frames(codec, await outbox.take()):
                outbox.bytes_sent += len(frame)
                await socket.send(frame)

    async def read() -> None:
        while True:
            frame = await socket.recv(decode=False)
            for message in codec.decode(frame, peer.box_id):
                receiver.receive(peer, message)

    async def run_until_closed(step: str) -> None:
        try:
            await (write() if step == "write" else read())
        except (ConnectionClosed, OSError):
            pass
        except FrameError as error:
            LOG.warning(f"Closing the link after an invalid frame. {error}")
            await socket.close(CLOSE_CODE_INVALID_FRAME, "frame not understood")
        tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_until_closed, "write")
        tasks.start_soon(run_until_closed, "read")
