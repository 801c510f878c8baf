"""Unresponsive owners are pinged first and bypassed if they do not answer."""

import pytest

from trackwheel.gateway.owner_watch import OwnerSilent, OwnerWatch, PingOwner, WatchCommand

PING = [PingOwner("o")]
SILENT = [OwnerSilent("o")]


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        pytest.param([(0.0, "asked"), (0.014, "tick")], [], id="patience"),
        pytest.param([(0.0, "asked"), (0.016, "tick")], PING, id="ping"),
        pytest.param([(0.0, "asked"), (0.01, "heard"), (0.1, "tick")], [], id="heard"),
        pytest.param([(0.0, "asked"), (0.016, "tick"), (0.06, "tick")], PING + SILENT, id="silent"),
        pytest.param(
            [(0.0, "asked"), (0.016, "tick"), (0.05, "heard"), (0.06, "tick")], PING, id="pong"
        ),
        pytest.param([(0.0, "asked"), (3.0, "tick")], PING, id="this-box-was-late"),
        pytest.param(
            [(0.0, "asked"), (0.016, "tick"), (5.0, "tick")], PING + PING, id="this-box-was-away"
        ),
        pytest.param(
            [(0.0, "asked"), (3.0, "tick"), (3.045, "tick")], PING + SILENT, id="late-then-silent"
        ),
    ],
)
def test_owner_watch(events: list[tuple[float, str]], expected: list[WatchCommand]) -> None:
    watch = OwnerWatch()
    commands: list[WatchCommand] = []
    for now, event in events:
        if event == "asked":
            watch.request_sent("o", now)
        elif event == "heard":
            watch.message_received("o")
        else:
            commands += watch.tick(now)
    assert commands == expected
