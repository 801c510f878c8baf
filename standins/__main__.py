"""Run stand-ins in one process.

Usage:
  standins platform --key-value=ADDRESS --box-list=ADDRESS [--boxes=ADDRESSES]
  standins targets FILE [--services=NAMES] [--part=PART] [--service-ms=MS]

Options:
  --key-value=ADDRESS  Where the key-value service listens.
  --box-list=ADDRESS   Where the box list listens.
  --boxes=ADDRESSES    The boxes that the list names at first, with commas [default: ].
  --services=NAMES     Only these services' targets, with commas.
  --part=PART          Only every n-th target, written I/N [default: 0/1].
  --service-ms=MS      How long a target works on a query [default: 4].
"""

from pathlib import Path
from typing import Any

from docopt import docopt

from standins.box_list import StandinBoxList
from standins.http import run_forever
from standins.key_value import StandinKeyValue
from standins.target import Faults, StandinTarget, one_shard
from trackwheel.files.parse import parse_file


async def start_platform(arguments: dict[str, Any]) -> None:
    """Start the key-value service and the box list."""
    boxes = [address for address in arguments["--boxes"].split(",") if address]
    await StandinKeyValue().start(arguments["--key-value"])
    await StandinBoxList(boxes).start(arguments["--box-list"])


async def start_targets(arguments: dict[str, Any]) -> None:
    """Start the targets that an operators' file names."""
    path = Path(arguments["FILE"])
    file = parse_file(str(path), path.read_bytes())
    wanted = arguments["--services"].split(",") if arguments["--services"] else None
    part, parts = (int(number) for number in arguments["--part"].split("/"))
    number = 0
    for service in file.service_by_name.values():
        if wanted is not None and service.name not in wanted:
            continue
        map_size = len(service.targets_by_instance)
        for instance, targets in enumerate(service.targets_by_instance):
            for target in targets:
                number += 1
                if number % parts != part:
                    continue
                faults = Faults(
                    service_s=float(arguments["--service-ms"]) / 1000,
                    slots=service.slots,
                    new_connection_s=service.new_connection_s,
                )
                shards = one_shard(instance, map_size, service.name)
                await StandinTarget(shards, faults).start(target.address)


def main() -> None:
    """Run the command line."""
    arguments = docopt(__doc__ or "")
    if arguments["platform"]:
        run_forever(lambda: start_platform(arguments))
    else:
        run_forever(lambda: start_targets(arguments))


if __name__ == "__main__":
    main()
