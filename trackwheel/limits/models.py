"""Messages between entry boxes and counting boxes, and the commands of both."""

from typing import Final, NamedTuple


class Stamp(NamedTuple):
    """A time on the clock of one life of a counting box (monotonic seconds)."""

    life: int
    at: float


class Delegation(NamedTuple):
    """Delegate a box's part of all limits to a counting box.

    `members` boxes divide the limits. `echo` is the counting box's last stamp that the box
    received; without one the delegation is not counted. `starts`: the box brings its start part.
    A box that is not `settled` may know too few members: its part counts only beside those of
    settled boxes.
    """

    members: int
    echo: Stamp | None
    starts: bool
    settled: bool


class Delegated(NamedTuple):
    """Answer a delegation with a stamp and the groups that are short of tokens."""

    stamp: Stamp
    short_groups: list[str]


class TokenAsk(NamedTuple):
    """Ask for the tokens of waiting requests; `demand_per_s` is the box's recent demand."""

    ask_id: int
    group: str
    wanted: int
    demand_per_s: float


class TokenGrant(NamedTuple):
    """Grant tokens; `wait_s` is the time until there is one more.

    `counts` is False if the sender does not know of the group's limit.
    """

    ask_id: int
    group: str
    tokens: float
    wait_s: float
    counts: bool


class GiftAsk(NamedTuple):
    """Ask the counting box of another failure domain for tokens."""

    ask_id: int
    group: str
    tokens: float


class Gift(NamedTuple):
    """Give tokens to another counting box; `left` is what could still be given.

    `members` divide the limits as the giver knows; 0 if no box delegates to it. `starts`: the giver
    takes itself for its domain's counting box, but started lately and nothing counts there yet.
    """

    ask_id: int
    group: str
    tokens: float
    left: float
    members: int
    starts: bool


LIMIT_MESSAGES: Final = (Delegation, Delegated, TokenAsk, TokenGrant, GiftAsk, Gift)

LimitMessage = Delegation | Delegated | TokenAsk | TokenGrant | GiftAsk | Gift


class SendLimit(NamedTuple):
    """Command: send a message to a box."""

    address: str
    message: LimitMessage


class Decision(NamedTuple):
    """Command: let a waiting request pass, or refuse it until a time from now.

    `lapses_at` is when the token that it took lapses. `basis` names the grounds in logs.
    """

    request: int
    passes: bool
    wait_s: float
    lapses_at: float
    basis: str
