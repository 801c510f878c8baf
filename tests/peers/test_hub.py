"""Links that fall silent."""

import asyncio
import socket

import anyio
import pytest

from trackwheel.http1.sockets import watch_for_silence
from trackwheel.peers.codec import Codec
from trackwheel.peers.const import LINK_UNACKNOWLEDGED_MS
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity


class NoTls:
    """Links without TLS."""

    server = None
    client = None


def make_hub(name: str) -> Hub:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    identity = PeerIdentity(name, "boot", f"127.0.0.1:{port}", "here", "here-a")
    return Hub(identity, Codec(()), NoTls())


def test_link_that_is_not_acknowledged_breaks(monkeypatch: pytest.MonkeyPatch) -> None:
    """Two boxes counted each other as dead for good, and sent into the same silent link."""
    bounds: list[int] = []

    def watch(transport: asyncio.BaseTransport, unacknowledged_ms: int) -> None:
        watch_for_silence(transport, unacknowledged_ms)
        sock = transport.get_extra_info("socket")
        bounds.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))

    monkeypatch.setattr("trackwheel.peers.hub.watch_for_silence", watch)

    async def scenario() -> None:
        hubs = [make_hub("box-1"), make_hub("box-2")]
        async with anyio.create_task_group() as tasks:
            for hub in hubs:
                await tasks.start(hub.run)
            hubs[0].open(hubs[1].identity.address)
            with anyio.fail_after(5.0):
                while not all(
                    hub.is_linked(other.identity.address) for hub, other in (hubs, reversed(hubs))
                ):
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    assert bounds == [LINK_UNACKNOWLEDGED_MS, LINK_UNACKNOWLEDGED_MS]


@pytest.mark.parametrize(
    "address",
    [
        pytest.param("", id="no-address"),
        pytest.param("here", id="no-port"),
        pytest.param("127.0.0.1:99999", id="no-such-port"),
        pytest.param("[127.0.0.1:80", id="no-host"),
    ],
)
def test_message_to_an_invalid_address_does_not_end_the_hub(address: str) -> None:
    """A box crashed when it sent to a box without a valid address."""
    lost: list[str] = []

    async def scenario() -> None:
        hub = make_hub("box-1")
        hub.on_link_lost(lost.append)
        async with anyio.create_task_group() as tasks:
            await tasks.start(hub.run)
            hub.send(address, ())
            with anyio.fail_after(5.0):
                while not lost:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    assert lost == [address]
