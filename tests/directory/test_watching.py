"""Which boxes read the store."""

import pytest

from trackwheel.directory.const import START_WAIT_S, UNHEARD_S
from trackwheel.directory.watching import Watching


@pytest.mark.parametrize(
    ("first", "chosen", "heard", "now", "watches"),
    [
        pytest.param(True, False, [], 0.0, True, id="seed-reads-at-once"),
        pytest.param(False, False, [], 0.0, False, id="others-wait-for-peers"),
        pytest.param(False, False, [], START_WAIT_S, True, id="but-not-for-long"),
        pytest.param(True, False, [(0.1, True)], 0.2, False, id="trusts-a-watcher-in-step"),
        pytest.param(True, False, [(0.1, False)], 0.2, True, id="not-one-out-of-step"),
        pytest.param(True, True, [(0.1, True)], 0.2, True, id="chosen-reads-always"),
        pytest.param(
            True, False, [(0.1, True)], 0.1 + UNHEARD_S, True, id="reads-when-watchers-fall-silent"
        ),
        pytest.param(
            True,
            False,
            [(0.1, True), (1.0, False), (2.0, False)],
            0.1 + UNHEARD_S,
            True,
            id="reads-when-the-store-turned-all-watchers-away",
        ),
    ],
)
def test_few_boxes_read_the_store(
    first: bool, chosen: bool, heard: list[tuple[float, bool]], now: float, watches: bool
) -> None:
    watching = Watching(0.0, first)
    watching.set_chosen(chosen)
    for at, synced in heard:
        watching.heard(synced, at)
    assert watching.watches(now) is watches
