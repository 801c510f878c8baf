"""One link to one peer: an outbox, and a socket that a pair of tasks owns."""

from collections import deque
from typing import Protocol

import anyio
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from trackwheel.peers.codec import Codec, Message
from trackwheel.peers.const import (
    CLOSE_CODE_GARBAGE,
    MAX_FRAME_BYTES,
    MAX_FRAME_MESSAGES,
    MAX_WAITING_MESSAGES,
)
from trackwheel.peers.errors import FrameError
from trackwheel.peers.models import PeerIdentity
from trackwheel.telemetry.logs import Log

LOG = Log("peers")


class Receiver(Protocol):
    """Take what arrives over links."""

    def receive(self, sender: PeerIdentity, message: Message) -> None:
        """Take one message; must not block."""


class Outbox:
    """Hold messages for one peer until its link takes them, several at a time."""

    def __init__(self) -> None:
        self._waiting: deque[Message] = deque()
        self._filled = anyio.Event()
        self.bytes_sent = 0

    def put(self, message: Message) -> bool:
        """Add a message; return False when the peer is so far behind that it is dropped."""
        if len(self._waiting) >= MAX_WAITING_MESSAGES:
            return False
        self._waiting.append(message)
        self._filled.set()
        return True

    def clear(self) -> int:
        """Drop all messages and return how many there were."""
        dropped = len(self._waiting)
        self._waiting.clear()
        return dropped

    async def take(self) -> list[Message]:
        """Return the messages that wait, at least one."""
        while not self._waiting:
            self._filled = anyio.Event()
            await self._filled.wait()
        count = min(len(self._waiting), MAX_FRAME_MESSAGES)
        return [self._waiting.popleft() for _ in range(count)]


def _frames(codec: Codec, messages: list[Message]) -> list[bytes]:
    """Return the frames for some messages; one that fits no frame is dropped and logged."""
    try:
        return codec.encode_frames(messages, MAX_FRAME_BYTES)
    except FrameError as error:
        if len(messages) == 1:
            LOG.error(f"Dropping a message. {error}")
            return []
    return [frame for message in messages for frame in _frames(codec, [message])]


async def run_link(
    socket: Connection,
    peer: PeerIdentity,
    outbox: Outbox,
    codec: Codec,
    receiver: Receiver,
) -> None:
    """Carry messages both ways until the link breaks."""

    async def write() -> None:
        while True:
            for frame in _frames(codec, await outbox.take()):
                outbox.bytes_sent += len(frame)
                await socket.send(frame)

    async def read() -> None:
        while True:
            frame = await socket.recv(decode=False)
            for message in codec.decode(frame, peer.box_id):
                receiver.receive(peer, message)

    async def stop_all_after(step: str) -> None:
        try:
            await (write() if step == "write" else read())
        except (ConnectionClosed, OSError):
            pass
        except FrameError as error:
            LOG.warning(f"Closing the link. {error}")
            await socket.close(CLOSE_CODE_GARBAGE, "frame not understood")
        tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stop_all_after, "write")
        tasks.start_soon(stop_all_after, "read")
