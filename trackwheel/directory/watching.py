"""Whether this box reads the store itself, decided without I/O."""

from trackwheel.directory.const import START_WAIT_S, UNHEARD_S


class Watching:
    """Decide from the own place in the fleet and from what watchers say.

    Few boxes watch. Every other one trusts a watcher whom the store answers, and reads the
    store itself as soon as it has heard from none for a while.
    """

    def __init__(self, now: float, first: bool) -> None:
        self._heard_at = now - UNHEARD_S + (0.0 if first else START_WAIT_S)
        self._chosen = False

    def set_chosen(self, chosen: bool) -> None:
        """Take whether the fleet's view makes this box a watcher."""
        self._chosen = chosen

    def heard(self, synced: bool, now: float) -> None:
        """Take a watcher's word on whether the store answers it."""
        if synced:
            self._heard_at = now

    def watches(self, now: float) -> bool:
        """Return whether this box reads the store now."""
        return self._chosen or now - self._heard_at >= UNHEARD_S
