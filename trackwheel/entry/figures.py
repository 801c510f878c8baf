"""Which figures a box on the platform serves."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trackwheel.entry.box import EntryBox


def add_figures(box: "EntryBox") -> None:
    """Serve what the parts of a box count, and some of its values."""
    figures, directory = box.figures, box.directory
    figures.add_counts(
        "requests_total",
        "Requests by how they ended",
        ("kind",),
        lambda: box.relay.ended_by_kind,
    )
    figures.add_counts(
        "target_sends_total",
        "Requests sent to targets, by why and how far",
        ("reason", "distance"),
        lambda: box.transport.sent_by_reason,
    )
    figures.add_counts(
        "target_ends_total",
        "Requests at targets by how they ended",
        ("outcome",),
        lambda: box.transport.ended_by_outcome,
    )
    for name, text, reading in (
        ("routes_version", "Version in force", lambda: float(directory.version)),
        ("store_in_step", "1 if the store answered lately", lambda: float(directory.synced)),
        ("store_calls", "Calls on the store", lambda: float(directory.store_calls)),
        ("members", "Boxes that are known", lambda: float(len(box.fleet.members))),
        ("repeats_denied", "Repeats without budget", lambda: float(box.budget.denied)),
        ("peer_bytes", "Bytes sent to boxes", lambda: float(box.hub.bytes_sent)),
        ("under_way", "Requests under way", lambda: float(box.clients.busy)),
        ("lines_dropped", "Log lines dropped", lambda: float(box.log.dropped)),
    ):
        figures.add_reading(name, text, reading)
