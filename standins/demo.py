"""Show a whole query on this machine.

Usage:
  demo [--once]

Options:
  --once  Print one answer, stop everything and exit.
"""

import time
from pathlib import Path

from docopt import docopt

from standins.fleet import SmallFleet
from trackwheel.cli import main as trackwheel

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = ROOT / "examples" / "tafelsuche.ini"
PLACES = [
    ("halle-muc", "halle-muc-a"),
    ("halle-nue", "halle-nue-a"),
    ("halle-aug", "halle-aug-b"),
]
KEY = "coordinators-key"


def show_one_answer(fleet: SmallFleet) -> int:
    """Apply the example file and ask one question; return an exit code."""
    box = fleet.boxes[0]
    applied = trackwheel(["apply", str(EXAMPLE), f"--box={box.operators}", "--by=demo"])
    if applied != 0:
        return applied
    key_file = fleet.folder / "key"
    key_file.write_text(KEY)
    return trackwheel(
        ["query", "verteilplan", f"--key-file={key_file}", f"--callers={box.callers}"]
    )


def main() -> int:
    """Run the demonstration."""
    arguments = docopt(__doc__ or "")
    options = [] if not arguments["--once"] else ["--services=verteilplan,etikett"]
    print("Starting stand-ins and three boxes ...")
    with SmallFleet(PLACES, [EXAMPLE], target_options=options) as fleet:
        code = show_one_answer(fleet)
        if arguments["--once"] or code != 0:
            return code
        box = fleet.boxes[1]
        print("\nThe boxes stay up; stop them with Ctrl-C. Try:")
        key = fleet.folder / "key"
        print(f"  trackwheel query spendeneingang --key-file={key} --callers={box.callers}")
        print(f"  trackwheel show --box={box.operators}")
        print(f"  trackwheel burn --box={box.operators}")
        try:
            while True:
                time.sleep(1.0)
        except KeyboardInterrupt:
            return 0


if __name__ == "__main__":
    raise SystemExit(main())
