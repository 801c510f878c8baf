"""Seeds of the soak against real boxes.

With requests that end targets, with a store set back, with more than half of the boxes stopped, and
with targets that answer without end.
"""

from pathlib import Path

import pytest

from soak.run import run_soak

SECONDS = 12.0


@pytest.mark.parametrize("seed", [2, 3], ids="seed-{}".format)
def test_no_promise_is_broken(seed: int, tmp_path: Path) -> None:
    verdict = run_soak(seed, SECONDS, 4, tmp_path)
    assert verdict.broken == []
    assert verdict.faults >= 5
    assert verdict.answers_by_status[200] > 500
