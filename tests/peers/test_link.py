"""Messages on a link: splitting into frames within the size limit."""

from typing import Any

import anyio
import pytest
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosedOK

from trackwheel.dispatch.models import DISPATCH_MESSAGES, Outcome, SubAnswer
from trackwheel.peers.codec import Codec, Message
from trackwheel.peers.const import MAX_FRAME_BYTES
from trackwheel.peers.errors import FrameError
from trackwheel.peers.link import Outbox, run_link
from trackwheel.peers.models import PeerIdentity

CODEC = Codec(DISPATCH_MESSAGES)
PEER = PeerIdentity("box-1", "boot", "127.0.0.1:1", "here", "here-a")


def answer(nonce: int, size: int) -> SubAnswer:
    return SubAnswer("q", nonce, Outcome.OK, b"x" * size, [], 0.0, 0.0, 0.0)


@pytest.mark.parametrize(
    ("sizes", "frames"),
    [
        pytest.param([10, 10, 10], 1, id="one-frame"),
        pytest.param([600, 600], 2, id="one-message-per-frame"),
        pytest.param([700, 10, 10, 700], 2, id="split-in-half"),
        pytest.param([900] * 5, 5, id="split-repeatedly"),
    ],
)
def test_messages_are_split_into_frames(sizes: list[int], frames: int) -> None:
    messages = [answer(nonce, size) for nonce, size in enumerate(sizes)]
    encoded = CODEC.encode_frames(messages, 1000)
    assert len(encoded) == frames
    assert max(map(len, encoded)) <= 1000
    assert [message for frame in encoded for message in CODEC.decode(frame, "peer")] == messages


def test_encoding_an_oversized_message_fails() -> None:
    with pytest.raises(FrameError, match="SubAnswer"):
        CODEC.encode_frames([answer(0, 2000)], 1000)


class RecordingReceiver:
    """Record the nonces of received messages."""

    def __init__(self) -> None:
        self.nonces: list[int] = []

    def receive(self, sender: PeerIdentity, message: Message) -> None:
        assert isinstance(message, SubAnswer)
        self.nonces.append(message.nonce)


async def send_over_link(messages: list[SubAnswer], expected: int) -> list[int]:
    """Send messages over a WebSocket and return the nonces received."""
    receiver = RecordingReceiver()

    async def accept(socket: ServerConnection) -> None:
        await run_link(socket, PEER, Outbox(), CODEC, receiver)

    outbox = Outbox()
    for message in messages:
        outbox.put(message)
    async with serve(accept, "127.0.0.1", 0, max_size=MAX_FRAME_BYTES) as server:
        port = next(iter(server.sockets)).getsockname()[1]
        url = f"ws://127.0.0.1:{port}/"
        async with connect(url, proxy=None) as socket, anyio.create_task_group() as tasks:
            tasks.start_soon(run_link, socket, PEER, outbox, CODEC, RecordingReceiver())
            with anyio.move_on_after(20.0):
                while len(receiver.nonces) < expected:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
    return receiver.nonces


def test_large_queued_answers_are_sent_in_separate_frames() -> None:
    """Six answers of 4 MB, allowed for targets, would exceed the limit in one frame (24 MB)."""
    messages = [answer(nonce, 4_000_000) for nonce in range(6)]
    assert anyio.run(send_over_link, messages, 6) == [0, 1, 2, 3, 4, 5]


def test_oversized_message_does_not_close_the_link() -> None:
    messages = [answer(0, 10), answer(1, MAX_FRAME_BYTES), answer(2, 10)]
    assert anyio.run(send_over_link, messages, 2) == [0, 2]


class FakeSocket:
    """Counts the frames that are sent, until it is closed."""

    def __init__(self) -> None:
        self.sent = 0
        self.closed = anyio.Event()

    async def send(self, frame: bytes) -> None:
        self.sent += 1

    async def recv(self, decode: bool) -> bytes:
        await self.closed.wait()
        raise ConnectionClosedOK(None, None)


@pytest.mark.parametrize(
    ("ended", "sent"),
    [
        pytest.param(None, [0, 2], id="none-ends"),
        pytest.param(0, [0, 2], id="older-ends"),
        pytest.param(1, [1, 1], id="newer-ends"),
    ],
)
def test_message_is_sent_over_the_newest_link_that_is_left(
    ended: int | None, sent: list[int]
) -> None:
    """Messages stayed in the queue: after the newer of two links ended, the older sent nothing."""

    async def scenario() -> list[int]:
        outbox, sockets = Outbox(), [FakeSocket(), FakeSocket()]
        async with anyio.create_task_group() as tasks:
            socket: Any
            for socket in sockets:
                tasks.start_soon(run_link, socket, PEER, outbox, CODEC, RecordingReceiver())
                await anyio.wait_all_tasks_blocked()
            outbox.put(answer(0, 10))
            await anyio.wait_all_tasks_blocked()
            if ended is not None:
                sockets[ended].closed.set()
                await anyio.wait_all_tasks_blocked()
            outbox.put(answer(1, 10))
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()
        return [socket.sent for socket in sockets]

    assert anyio.run(scenario) == sent
