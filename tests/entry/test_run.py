"""Tests of stopping a box: every client that was accepted is served within the grace period."""

import asyncio
import time
from types import SimpleNamespace
from typing import Any

import pytest

from trackwheel.clock import steady_now
from trackwheel.entry import run


class FakeClients:
    """A server state whose connections are idle or busy."""

    def __init__(self) -> None:
        self.connections: set[str] = set()

    @property
    def busy(self) -> int:
        return len(self.connections)

    def refuse_unread(self, retry_after_s: float) -> None:
        pass

    def close_idle(self) -> None:
        self.connections.discard("idle")


class FakeServer:
    """A server that may accept a last connection while its listening socket is being closed."""

    def __init__(self, clients: FakeClients, late_connection: str | None) -> None:
        self._clients = clients
        self._late_connection = late_connection
        self._serving = True

    def is_serving(self) -> bool:
        return self._serving

    def close(self) -> None:
        self._serving = False
        if self._late_connection is not None:
            self._clients.connections.add(self._late_connection)


def make_box(clients: FakeClients, grace_s: float) -> Any:
    return SimpleNamespace(
        settings=SimpleNamespace(grace_s=grace_s),
        clients=clients,
        inbound_groups=(),
        busy=False,
        stop=lambda answer_by: None,
        end_requests=lambda: None,
        log=SimpleNamespace(write=lambda event, **fields: None),
    )


def run_drain(box: Any, server: Any, stopped_s_ago: float) -> float:
    """Return how long a drain takes whose signal came a while ago (seconds)."""

    async def scenario() -> None:
        asyncio.get_running_loop().call_later(0.35, box.clients.connections.discard, "busy")
        await run._drain(box, server, steady_now() - stopped_s_ago)

    started_at = time.monotonic()
    asyncio.run(scenario())
    return time.monotonic() - started_at


def test_grace_period_counts_from_a_signal_that_came_while_the_box_started(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The platform killed a box that was stopped during its start before it had answered."""
    monkeypatch.setattr(run, "MIN_CLIENT_DRAIN_S", 0.0)
    clients = FakeClients()
    clients.connections.add("for-ever")
    assert run_drain(make_box(clients, 1.0), FakeServer(clients, None), 0.5) < 0.5


@pytest.mark.parametrize(
    ("open_connection", "late_connection", "min_s", "max_s"),
    [
        pytest.param(None, None, 0.0, 0.5, id="no-connection"),
        pytest.param("idle", None, 0.0, 0.5, id="idle-connection"),
        pytest.param(None, "busy", 0.3, 0.8, id="connection-accepted-while-closing"),
        pytest.param("busy", None, 0.3, 0.8, id="request-in-flight"),
        pytest.param("for-ever", None, 0.8, 1.4, id="grace-period-ends"),
    ],
)
def test_stop(
    monkeypatch: pytest.MonkeyPatch,
    open_connection: str | None,
    late_connection: str | None,
    min_s: float,
    max_s: float,
) -> None:
    monkeypatch.setattr(run, "MIN_CLIENT_DRAIN_S", 0.0)
    clients = FakeClients()
    if open_connection is not None:
        clients.connections.add(open_connection)

    took_s = run_drain(make_box(clients, 1.0), FakeServer(clients, late_connection), 0.0)
    assert min_s <= took_s <= max_s
