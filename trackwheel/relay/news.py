"""News of targets that refuse connections, among the boxes beside them, decided without I/O."""

from typing import NamedTuple

from trackwheel.relay.board import Board
from trackwheel.relay.const import NEWS_AGAIN_S, NEWS_DISTRUST_S, TOLD_DOWN_S
from trackwheel.relay.models import Incarnation, Outcome, Target
from trackwheel.units import MILLISECONDS


class TargetDown(NamedTuple):
    """Tell that a target could not be connected to, so long before this was sent (ms).

    `born_ms` is when it started (Unix milliseconds); of a later start this says nothing.
    """

    instance: str
    age_ms: float
    born_ms: int = 0

    @property
    def life(self) -> Incarnation:
        """Return which target, and which start of it, this is about."""
        return self.instance, self.born_ms


NEWS_MESSAGES = (TargetDown,)


class _Teller(NamedTuple):
    """Remember who called a target down, since when, and until when that counts."""

    box: str
    failed_at: float
    until: float


class TargetNews:
    """Decide what to tell of failed connections, and what to believe of what others tell.

    The load: a third of a fleet's targets end or are replaced at once. Each of the boxes that ask
    them found each of them for itself: 2,031 failed connections in a day on 195 boxes, 42 of which
    ask targets. Only what a box met itself is told, never what it was told, so that false news die
    with their source; they make a target a last resort for a second at most. A box is not believed
    for a while after a target that it called down answered here: it may be cut off itself.
    """

    def __init__(self, board: Board) -> None:
        self._board = board
        self._told_at_by_life: dict[Incarnation, float] = {}
        self._teller_by_life: dict[Incarnation, _Teller] = {}
        self._distrusted_until_by_box: dict[str, float] = {}
        self._next_clean_up = 0.0

    def ended(
        self, target: Target, outcome: Outcome, sent_at: float, now: float
    ) -> TargetDown | None:
        """Take how a request of this box ended; return what to tell the others, if anything."""
        if outcome is Outcome.OK:
            self._contradict(target.incarnation, sent_at)
            return None
        if outcome is not Outcome.NOT_SENT:
            return None
        self._teller_by_life.pop(target.incarnation, None)
        if now - self._told_at_by_life.get(target.incarnation, float("-inf")) < NEWS_AGAIN_S:
            return None
        self._forget(now)
        self._told_at_by_life[target.incarnation] = now
        return TargetDown(target.instance, 0.0, target.born_ms)

    def told(self, box: str, news: TargetDown, now: float) -> bool:
        """Take what another box tells; return whether that changes what is believed here."""
        if self._distrusted_until_by_box.get(box, 0.0) > now:
            return False
        failed_at = now - max(0.0, news.age_ms) / MILLISECONDS
        until = failed_at + TOLD_DOWN_S
        if until <= now or not self._board.told_down(news.life, failed_at, until):
            return False
        self._forget(now)
        self._told_at_by_life[news.life] = now
        self._teller_by_life[news.life] = _Teller(box, failed_at, until)
        return True

    def _contradict(self, life: Incarnation, sent_at: float) -> None:
        """Doubt the box that called a target down which answers a request sent after that."""
        teller = self._teller_by_life.get(life)
        if teller is None or not teller.failed_at <= sent_at < teller.until:
            return
        del self._teller_by_life[life]
        self._distrusted_until_by_box[teller.box] = sent_at + NEWS_DISTRUST_S

    def _forget(self, now: float) -> None:
        """Drop, once a second, what no longer decides anything."""
        if now < self._next_clean_up:
            return
        self._next_clean_up = now + 1.0
        self._told_at_by_life = {
            life: at for life, at in self._told_at_by_life.items() if now - at < NEWS_AGAIN_S
        }
        self._teller_by_life = {
            life: teller for life, teller in self._teller_by_life.items() if teller.until > now
        }
        self._distrusted_until_by_box = {
            box: until for box, until in self._distrusted_until_by_box.items() if until > now
        }
