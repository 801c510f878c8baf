"""Write the example operators' files at the sizes that both users gave."""

import itertools
from pathlib import Path

from standins.file_maker import GroupShape, ServiceShape, render_file

TAFELSUCHE_POLICIES = """\
# Dock drivers need the few lots that expire first now; a part of them is of use.
[policy dock-drivers verteilplan]
deadline = 100ms
wait = 100ms
least_coverage = 0.8
"""

DALISAY_POLICIES = """\
# A payment slip that is missing leaves a farmer unpaid: clerks wait for the whole ledger.
[policy station-clerks coop-ledger]
deadline = 200ms
wait = 800ms
least_coverage = 1
"""


def tafelsuche() -> str:
    """Return the file of Tafelsuche, which weighs coverage."""
    return render_file(
        "tafelsuche",
        [
            GroupShape("coordinators", "5", "verteilplan, spendeneingang"),
            GroupShape("dock-drivers", "3", "verteilplan, tourplan"),
            GroupShape("intake-clerks", "2", "etikett, spendeneingang"),
        ],
        [
            ServiceShape("verteilplan", 20, 2, 2, 25, "6ms", "150ms", "600ms", "0.95"),
            ServiceShape("spendeneingang", 30, 2, 2, 25, "6ms", "150ms", "600ms", "0.95"),
            ServiceShape("etikett", 1, 4, 4, 100, "1ms", "100ms", "300ms", "1"),
            ServiceShape("tourplan", 1, 3, 4, 100, "1ms", "100ms", "300ms", "1"),
        ],
        itertools.count(21000),
        ("halle-muc", "halle-nue", "halle-aug"),
        TAFELSUCHE_POLICIES,
        "Tafelsuche weighs coverage: an answer waits past its deadline for missing shards.",
    )


def dalisay() -> str:
    """Return the file of Dalisay, which weighs tail latency."""
    return render_file(
        "dalisay",
        [
            GroupShape("drivers", "6", "driver-app, coop-ledger"),
            GroupShape("station-clerks", "3", "clerk-desk, coop-ledger"),
            GroupShape("sms-gateway", "1", "farmer-sms"),
        ],
        [
            ServiceShape("driver-app", 20, 2, 2, 25, "6ms", "100ms", "100ms", "0.7"),
            ServiceShape("coop-ledger", 30, 2, 2, 25, "6ms", "150ms", "200ms", "0.9"),
            ServiceShape("clerk-desk", 1, 3, 4, 40, "1ms", "100ms", "200ms", "1"),
            ServiceShape("farmer-sms", 1, 3, 4, 40, "1ms", "200ms", "500ms", "1"),
        ],
        itertools.count(22000),
        ("luzon", "visayas", "mindanao"),
        DALISAY_POLICIES,
        "Dalisay weighs tail latency: the truck cannot wait, so a part is given in time.",
    )


def main() -> None:
    """Write both files below examples/."""
    folder = Path(__file__).resolve().parent.parent / "examples"
    for name, text in (("tafelsuche", tafelsuche()), ("dalisay", dalisay())):
        (folder / f"{name}.ini").write_text(text)


if __name__ == "__main__":
    main()
