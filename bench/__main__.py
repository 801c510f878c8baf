"""Run one measurement.

Usage:
  measure NAME [--long]
  measure --list

Options:
  --long  Take more samples than fit into the usual 50 s.
"""

from collections.abc import Callable
from importlib import import_module
from typing import Final

from docopt import docopt

from bench.report import Report, write_report

NAMES: Final = (
    "client",
    "path",
    "tail",
    "fairness",
    "overload",
    "drain",
    "owners",
    "config",
    "fleet",
    "slopes",
    "memory",
    "batch",
    "policy",
    "policy_shifted",
    "soak",
)


def main() -> int:
    """Run the command line."""
    arguments = docopt(__doc__ or "")
    name = arguments["NAME"]
    if arguments["--list"] or name not in NAMES:
        print("\n".join(NAMES))
        return 0 if arguments["--list"] else 2
    measure: Callable[[bool], Report] = import_module(f"bench.{name}").measure
    print(f"measure {name}")
    write_report(measure(bool(arguments["--long"])))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
