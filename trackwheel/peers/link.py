"""A link to one peer: an outbox, and a reader and a writer task on one WebSocket."""

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
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
    """Bounded queue of messages to one peer, read in batches by the newest link to it.

    Both boxes may open a link, and a peer that has restarted opens another one while the one to its
    earlier boot is not known to be broken.
    """

    def __init__(self) -> None:
        self._queue: deque[Message] = deque()
        self._wakeup_by_link: dict[object, anyio.Event] = {}
        self.bytes_sent = 0

    def put(self, message: Message) -> bool:
        """Add a message; return False if it was dropped because the queue is full."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            return False
        self._queue.append(message)
        self._wake_newest()
        return True

    def clear(self) -> int:
        """Drop all messages and return their number."""
        dropped = len(self._queue)
        self._queue.clear()
        return dropped

    @contextmanager
    def attached(self) -> Iterator[object]:
        """Attach a link, which `take` identifies; an older link goes on when it is detached."""
        link = object()
        self._wakeup_by_link[link] = anyio.Event()
        try:
            yield link
        finally:
            del self._wakeup_by_link[link]
            self._wake_newest()

    async def take(self, link: object) -> list[Message]:
        """Wait until there are messages for a link; return up to one frame's worth of them."""
        while not self._queue or link is not self._newest_link():
            wakeup = self._wakeup_by_link[link] = anyio.Event()
            await wakeup.wait()
        count = min(len(self._queue), MAX_MESSAGES_PER_FRAME)
        return [self._queue.popleft() for _ in range(count)]

    def _newest_link(self) -> object:
        return next(reversed(self._wakeup_by_link), None)

    def _wake_newest(self) -> None:
        newest = self._newest_link()
        if newest is not None:
            self._wakeup_by_link[newest].set()


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
            for frame in _encode_frames(codec, await outbox.take(link)):
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

    with outbox.attached() as link:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_until_closed, "write")
            tasks.start_soon(run_until_closed, "read")
