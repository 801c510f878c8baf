"""Work out the table of docs/CAPACITY.md from what `script/measure` last wrote.

Usage:
  python -m bench.capacity
"""

from pathlib import Path
from typing import Final, NamedTuple

import msgspec

from bench.report import FOLDER

PAGE: Final = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- figures begin -->", "<!-- figures end -->"

DAEMONS: Final = 3_300
TARGETS: Final = 79_000
QUERIES: Final = 4_100_000
FAN_OUT: Final = 230
CHANGES_PER_S: Final = 34_000 / 86_400
EVENTS_PER_S: Final = 12_410 / 86_400
RECORDS_AN_EVENT: Final = 4
"""A restart makes four records: leaving, dead, here again, and now and then a suspicion."""
BUSY_GROUPS: Final = 20
TARGETS_A_FILE: Final = 24
TARGETS_A_SERVICE: Final = 2 * FAN_OUT
BATCH: Final = 12
"""Sub-requests for one target that meet within a millisecond at the size to design for."""

MOST_CORE: Final = 0.011
MOST_MB: Final = 32
WATCHED_BYTES: Final = 20_100
"""What a change makes a watcher read: 15.1 KB of head and page, a third more in base64."""

Figures = dict[str, float]


class _Written(msgspec.Struct):
    commit: str
    figures: Figures


class Line(NamedTuple):
    """Hold one line of the table."""

    role: str
    state: str
    messages: str
    cpu: str
    memory: str
    mechanism: str


def read(name: str) -> _Written:
    """Return what a measurement last wrote."""
    return msgspec.json.decode((FOLDER / f"{name}.json").read_bytes(), type=_Written)


def at(figures: Figures, name: str, size: float) -> float:
    """Return a fitted line's value at a size."""
    return figures[f"{name}_intercept"] + figures[name] * size


def core(cpu_us_per_s: float) -> str:
    """Return microseconds a second as a part of one core."""
    return f"{cpu_us_per_s / 1e6:.2%} of a core"


def cores(cpu_us_per_s: float) -> str:
    """Return microseconds a second as a number of cores."""
    return f"{cpu_us_per_s / 1e6:.1f} cores"


def fleet_bytes(slopes: Figures) -> float:
    """Return what membership sends from each daemon (bytes a second)."""
    return at(slopes, "fleet_bytes_per_s_by_members", DAEMONS)


def control_lines(slopes: Figures) -> tuple[list[Line], float, float]:
    """Return the lines of control, its part of a core and its megabytes."""
    services = TARGETS / TARGETS_A_SERVICE
    probes_us = at(slopes, "fleet_cpu_us_per_s_by_members", DAEMONS)
    view_us = at(slopes, "fleet_view_cpu_us_by_members", DAEMONS)
    fleet_us = probes_us + EVENTS_PER_S * RECORDS_AN_EVENT * view_us
    fleet_mb = at(slopes, "fleet_memory_bytes_by_members", DAEMONS) / 1e6
    wire_bytes = fleet_bytes(slopes)
    change_us = at(slopes, "ownership_cpu_us_by_services", services)
    ownership_us = EVENTS_PER_S * 2 * change_us
    ownership_mb = at(slopes, "ownership_memory_bytes_by_services", services) / 1e6
    files = TARGETS / TARGETS_A_FILE
    files_us = CHANGES_PER_S * at(slopes, "files_cpu_us_by_files", files)
    files_mb = at(slopes, "files_memory_bytes_by_files", files) / 1e6
    lines = [
        Line(
            "membership",
            f"{DAEMONS:,} records, rumours",
            f"6 probes and answers a second each way, {wire_bytes / 1000:.1f} KB/s",
            f"{core(fleet_us)} (probes {core(probes_us)}, "
            f"{EVENTS_PER_S * RECORDS_AN_EVENT:.2f} new records a second of "
            f"{view_us / 1000:.1f} ms each)",
            f"{fleet_mb:.1f} MB",
            "probing along three rings; rumours with a bounded number of sends",
        ),
        Line(
            "ownership",
            f"owners of {services:.0f} services",
            "none",
            f"{core(ownership_us)} ({EVENTS_PER_S * 2:.2f} changes a second, "
            f"{change_us / 1000:.1f} ms each)",
            f"{ownership_mb:.1f} MB",
            "rendezvous hashing; a change moves only the targets that the box had or now wins",
        ),
        Line(
            "files in force",
            f"{files:,.0f} files of {TARGETS_A_FILE} targets",
            f"{CHANGES_PER_S:.2f} changes a second: 3 pushes of the changed entry, contents by "
            "digest from the sender",
            core(files_us),
            f"{files_mb:.1f} MB",
            "changed entries pushed along the rings; two watchers a failure domain",
        ),
    ]
    return lines, (fleet_us + ownership_us + files_us) / 1e6, fleet_mb + ownership_mb + files_mb


def query_lines(slopes: Figures, client_us: float) -> tuple[list[Line], float, float]:
    """Return the lines of the queries' own cost, today's cores and those with batches."""
    queries = QUERIES / DAEMONS
    subs = queries * FAN_OUT
    gateway = queries * at(slopes, "gateway_cpu_us_by_fan_out", FAN_OUT)
    link = subs * slopes["link_cpu_us_by_batch"]
    owner = subs * at(slopes, "owner_cpu_us_by_groups", BUSY_GROUPS)
    client = subs * client_us
    line_mb = at(slopes, "owner_memory_bytes_by_targets", TARGETS / DAEMONS) / 1e6
    lines = [
        Line(
            "gateway",
            f"{queries:,.0f} queries a second, 70 ms each",
            f"{queries:,.0f} scatters to a few owners",
            cores(gateway),
            f"{queries * 0.07 * FAN_OUT * 600 / 1e6:.0f} MB under way (600 B an ask, estimated)",
            "one scatter to each owner; few owners a service",
        ),
        Line(
            "links",
            "frames",
            f"{subs:,.0f} sub-requests a second, 64 to a frame",
            cores(link),
            "",
            "several messages to a frame",
        ),
        Line(
            "owner",
            f"{TARGETS / DAEMONS:.0f} targets, {BUSY_GROUPS} busy groups each",
            f"{subs:,.0f} sub-requests a second",
            cores(owner),
            f"{line_mb:.2f} MB",
            "one owner a target",
        ),
        Line(
            "target client",
            "kept connections",
            f"{subs / (TARGETS / DAEMONS):,.0f} a second to each target",
            cores(client),
            "",
            f"not built: {BATCH} sub-requests that meet in a millisecond in one exchange "
            f"would leave {cores(client / BATCH)}",
        ),
    ]
    total = gateway + link + owner + client
    return lines, total / 1e6, (total - client + client / BATCH) / 1e6


def table(lines: list[Line]) -> str:
    """Return lines as a table."""
    rows = ["| role | state | messages | processor time | memory | mechanism |"]
    rows.append("|---|---|---|---|---|---|")
    rows += [f"| {' | '.join(line)} |" for line in lines]
    return "\n".join(rows)


def render() -> str:
    """Return the worked-out part of the page."""
    slopes, client, path = read("slopes"), read("client"), read("path")
    base_us = 1e3 * path.figures["tier_cpu_ms"] / 30
    client_us = client.figures["chosen_cpu_us"]
    control, part, megabytes = control_lines(slopes.figures)
    queries, today, batched = query_lines(slopes.figures, client_us)
    fitted = [name for name in slopes.figures if f"{name}_fit_residual" in slopes.figures]
    fits = [
        f"| `{name}` | {slopes.figures[name]:.4g} | {slopes.figures[f'{name}_intercept']:.4g} "
        f"| {slopes.figures[f'{name}_fit_residual']:.0%} |"
        for name in fitted
    ]
    return "\n".join(
        [
            f"Slopes of commit {slopes.commit}, client of {client.commit}, path of {path.commit}.",
            "",
            "### Control, for each daemon",
            "",
            table(control),
            "",
            f"Together **{part:.2%} of a core against {MOST_CORE:.1%}** "
            f"({part / MOST_CORE:.2f} times the budget) and **{megabytes:.0f} MB against "
            f"{MOST_MB} MB**; on the wire {fleet_bytes(slopes.figures) / 1000:.1f} KB/s "
            f"and, at the 26 watchers only, {CHANGES_PER_S * WATCHED_BYTES / 1000:.1f} KB/s more "
            "from the store, against 11 KB/s.",
            "",
            "### The queries' own cost, for each daemon",
            "",
            table(queries),
            "",
            f"Together **{today:.0f} cores a daemon** by slopes; with batches to targets "
            f"**{batched:.0f} cores**. Measured end to end today, a sub-request costs "
            f"{base_us:.0f} us over all boxes (`script/measure path`), links, sockets and the "
            f"callers' HTTP included: {QUERIES / DAEMONS * FAN_OUT * base_us / 1e6:.0f} cores.",
            "",
            "### Slopes",
            "",
            "| slope | each | fixed | largest residual |",
            "|---|---|---|---|",
            *fits,
        ]
    )


def main() -> None:
    """Write the worked-out part between the marks of the page."""
    text = PAGE.read_text()
    before, _, rest = text.partition(BEGIN)
    after = rest.partition(END)[2]
    PAGE.write_text(f"{before}{BEGIN}\n{render()}\n{END}{after}")


if __name__ == "__main__":
    main()
