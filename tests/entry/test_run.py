"""The stop of a box: nobody who came in is left without an answer."""

import asyncio
import time
from types import SimpleNamespace
from typing import Any

import pytest

from trackwheel.entry import run


class FakeClients:
    """Hold connections; each is idle or busy."""

    def __init__(self) -> None:
        self.connections: set[str] = set()

    def close_idle(self) -> None:
        self.connections.discard("idle")


class FakeServer:
    """A listening socket on which a client comes in at the moment it is closed."""

    def __init__(self, clients: FakeClients, late: str | None) -> None:
        self._clients = clients
        self._late = late
        self._serving = True

    def is_serving(self) -> bool:
        return self._serving

    def close(self) -> None:
        self._serving = False
        if self._late is not None:
            self._clients.connections.add(self._late)


def make_box(clients: FakeClients, grace_s: float) -> Any:
    return SimpleNamespace(
        settings=SimpleNamespace(grace_s=grace_s), clients=clients, busy=False, stop=lambda: None
    )


@pytest.mark.parametrize(
    ("there", "late", "least_s", "most_s"),
    [
        pytest.param(None, None, 0.0, 0.5, id="nobody-there"),
        pytest.param("idle", None, 0.0, 0.5, id="idle-connection"),
        pytest.param(None, "busy", 0.3, 0.8, id="client-came-in-as-the-door-closed"),
        pytest.param("busy", None, 0.3, 0.8, id="request-under-way"),
        pytest.param("for-ever", None, 0.8, 1.4, id="not-past-the-grace"),
    ],
)
def test_stop(
    monkeypatch: pytest.MonkeyPatch,
    there: str | None,
    late: str | None,
    least_s: float,
    most_s: float,
) -> None:
    monkeypatch.setattr(run, "MIN_CLIENT_DRAIN_S", 0.0)
    clients = FakeClients()
    if there is not None:
        clients.connections.add(there)

    async def scenario() -> None:
        asyncio.get_running_loop().call_later(0.35, clients.connections.discard, "busy")
        server: Any = FakeServer(clients, late)
        await run._finish(make_box(clients, 1.0), server)

    began = time.monotonic()
    asyncio.run(scenario())
    assert least_s <= time.monotonic() - began <= most_s
