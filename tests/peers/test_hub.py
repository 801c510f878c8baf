"""Links to unresponsive peers and to invalid addresses."""

import asyncio
import socket

import anyio
import pytest

from trackwheel.http1.sockets import set_tcp_options
from trackwheel.peers.codec import Codec
from trackwheel.peers.const import LINK_USER_TIMEOUT_MS
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity


class NoTls:
    """TLS contexts of a hub without TLS."""

    server = None
    client = None


def make_hub(name: str, boot: str = "boot", address: str = "") -> Hub:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    identity = PeerIdentity(name, boot, address or f"127.0.0.1:{port}", "here", "here-a")
    return Hub(identity, Codec(()), NoTls())


def test_link_that_is_not_acknowledged_breaks(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each link has a TCP user timeout.

    Without one, two boxes kept sending over a silently broken link and regarded each other as
    dead indefinitely.
    """
    user_timeouts: list[int] = []

    def record_user_timeout(transport: asyncio.BaseTransport, user_timeout_ms: int) -> None:
        set_tcp_options(transport, user_timeout_ms)
        sock = transport.get_extra_info("socket")
        user_timeouts.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))

    monkeypatch.setattr("trackwheel.peers.hub.set_tcp_options", record_user_timeout)

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
    assert user_timeouts == [LINK_USER_TIMEOUT_MS, LINK_USER_TIMEOUT_MS]


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
    """An invalid address in a peer's record once crashed the box that sent to it."""
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


@pytest.mark.parametrize(
    ("boot", "expected_losses"), [("boot", 0), ("later", 1)], ids=["second-link", "restarted"]
)
def test_link_of_a_later_boot_means_that_the_earlier_one_is_lost(
    boot: str, expected_losses: int
) -> None:
    """Targets worked on for a box that had lost power, whose link was still open.

    The second hub of the peer has the address of the first one and only opens a link.
    """
    lost: list[str] = []

    async def scenario() -> None:
        own, earlier = make_hub("box-1"), make_hub("box-2")
        later = make_hub("box-2", boot, earlier.identity.address)
        own.on_link_lost(lost.append)
        async with anyio.create_task_group() as tasks:
            await tasks.start(own.run)
            await tasks.start(earlier.run)
            earlier.open(own.identity.address)
            with anyio.fail_after(5.0):
                while not own.is_linked(earlier.identity.address):
                    await anyio.sleep(0.01)
            later._tasks = tasks
            later.open(own.identity.address)
            with anyio.fail_after(5.0):
                while own._link_count_by_address[earlier.identity.address] < 2:
                    await anyio.sleep(0.01)
            assert lost == [earlier.identity.address] * expected_losses
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
