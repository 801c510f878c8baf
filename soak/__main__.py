"""Run the soak over some seeds.

Usage:
  soak [--first=SEED] [--seeds=N] [--seconds=S] [--boxes=N] [--jobs=N]

Options:
  --first=SEED  The first seed [default: 1].
  --seeds=N     How many seeds [default: 1].
  --seconds=S   Length of the load of each run [default: 16].
  --boxes=N     Boxes of the fleet [default: 4].
  --jobs=N      Runs at a time [default: 1].
"""

import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from multiprocessing import get_context

from docopt import docopt

from soak.run import Verdict, run_soak

SHOWN_LINES = 5


def main() -> int:
    """Run the command line; 1 when a promise was broken."""
    arguments = docopt(__doc__ or "")
    first, seeds = int(arguments["--first"]), int(arguments["--seeds"])
    run = partial(run_soak, seconds=float(arguments["--seconds"]), boxes=int(arguments["--boxes"]))
    failed = 0
    # Forked processes would all draw the same ports.
    fresh = get_context("spawn")
    with ProcessPoolExecutor(int(arguments["--jobs"]), mp_context=fresh) as pool:
        for verdict in pool.map(run, range(first, first + seeds)):
            failed += bool(verdict.broken)
            _print(verdict)
    print(f"{seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


def _print(verdict: Verdict) -> None:
    statuses = ", ".join(
        f"{status}: {n}" for status, n in sorted(verdict.answers_by_status.items())
    )
    state = "broken" if verdict.broken else "holds"
    print(f"seed {verdict.seed}: {state}; {verdict.faults} faults; answers {statuses}", flush=True)
    for line in verdict.broken[:SHOWN_LINES]:
        print(f"  {line}", flush=True)
    if verdict.broken:
        print(f"  {len(verdict.broken)} in all; logs: {verdict.folder}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
