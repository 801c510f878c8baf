"""Scatter-gather queries: groups, hedged requests, retries, target latency and failure."""

from collections.abc import Callable

import pytest

from tests.relay.conftest import HERE, OLD, ROUTE, THERE, target_result
from trackwheel.delegation.grouping import GroupPlanner
from trackwheel.delegation.peers import PeerBox, PeerTracker
from trackwheel.gathering.gather import Gather
from trackwheel.gathering.gather_models import (
    CancelGroup,
    CancelPart,
    Declined,
    GatherCommand,
    Gathered,
    GatherFailed,
    GatherPlan,
    GroupPlan,
    PeerSilent,
    Regrouper,
    SendGroup,
    SendPart,
)
from trackwheel.relay.causes import Cause
from trackwheel.relay.models import OPEN_GATE, Outcome, Part, SendGate
from trackwheel.selection.budget import RetryBudget, RetryBudgetLimits
from trackwheel.selection.const import MAX_SENDS
from trackwheel.selection.target_selector import TargetSelector

SHARDS = tuple(f"s{number}" for number in range(10))
ANSWER_AT = 0.18
END_AT = 1.0
TOP_K = 3
GROUP = GroupPlan("peer:1", HERE, ("s0", "s1", "s2"), 0.06, 0.08)


class SinglePeerRegrouper:
    """Delegate all shards to one peer and record which targets were tried before."""

    def __init__(self) -> None:
        self.tried_by_shard: dict[str, frozenset[str]] = {}

    def regroup(
        self,
        tried_by_shard: dict[str, frozenset[str]],
        plan: GatherPlan,
        repeat: bool,
        now: float,
    ) -> tuple[GroupPlan, ...]:
        self.tried_by_shard = tried_by_shard
        if not tried_by_shard:
            return ()
        shards = tuple(tried_by_shard)
        return (GroupPlan("other:1", THERE, shards, now + 0.05, now + 0.08, repeat),)


class Session:
    """Run one query and record its commands."""

    def __init__(
        self,
        selector: TargetSelector,
        budget: RetryBudget,
        least: float = 0.8,
        groups: tuple[GroupPlan, ...] = (),
        max_attempts: int = 2,
        partial: bool = False,
        repeat: bool = False,
        regrouper: Regrouper | None = None,
        gate: SendGate = OPEN_GATE,
    ) -> None:
        plan = GatherPlan(
            ROUTE,
            SHARDS,
            TOP_K,
            groups,
            least,
            max_attempts,
            ANSWER_AT,
            END_AT,
            partial,
            repeat,
            gate,
        )
        self.gather = Gather(plan, selector, budget, regrouper)
        self.open: dict[int, SendPart] = {}
        self.sent: list[SendPart] = []
        self.groups: list[SendGroup] = []
        self.other: list[CancelGroup | PeerSilent | Declined] = []
        self.end: Gathered | GatherFailed | None = None
        self.take(self.gather.start(0.0))

    def take(self, commands: list[GatherCommand]) -> None:
        for command in commands:
            match command:
                case SendPart():
                    self.open[command.token] = command
                    self.sent.append(command)
                case CancelPart(token):
                    del self.open[token]
                case SendGroup():
                    self.groups.append(command)
                case CancelGroup() | PeerSilent() | Declined():
                    self.other.append(command)
                case Gathered() | GatherFailed():
                    assert self.end is None
                    self.end = command

    def answer(self, shard: str, now: float = 0.02, where: str = "") -> None:
        token = self.token(shard, where)
        del self.open[token]
        part = Part(f"sig-{shard}".encode(), [shard.encode().ljust(16)])
        self.take(self.gather.part_ended(token, target_result(Outcome.OK), part, now))

    def fail(self, shard: str, outcome: Outcome, now: float = 0.02) -> None:
        token = self.token(shard, "")
        del self.open[token]
        self.take(self.gather.part_ended(token, target_result(outcome), None, now))

    def token(self, shard: str, where: str) -> int:
        return next(
            token
            for token, sent in self.open.items()
            if sent.shard == shard and where in sent.target.instance
        )

    def parts(
        self,
        shards: list[str],
        final: bool,
        now: float = 0.05,
        number: int = 0,
        ran: bool = True,
        not_run: tuple[str, ...] = (),
    ) -> None:
        signatures = {shard: f"peer{number}-{shard}".encode() for shard in shards}
        records = [b"peer".ljust(16)]
        self.take(self.gather.group_parts(number, signatures, records, final, ran, now, 0, not_run))

    def tick(self, now: float) -> None:
        self.take(self.gather.tick(now))


def refuse_connection(selector: TargetSelector, session: Session, shard: str, now: float) -> None:
    """End the request for a shard as the transport does when its target refuses connections."""
    token = session.token(shard, "")
    target = session.open[token].target
    selector.sent(target, token, ROUTE, now)
    selector.ended(target, token, Outcome.NOT_SENT, None, now)
    session.fail(shard, Outcome.NOT_SENT, now)


def test_whole_answer_comes_with_the_last_shard(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    session = Session(selector, budget)
    assert [sent.target.instance for sent in session.sent] == [f"{s}-near" for s in SHARDS]
    for shard in SHARDS[:-1]:
        session.answer(shard)
    assert session.end is None
    session.answer(SHARDS[-1])
    assert isinstance(session.end, Gathered)
    assert session.end.missing == 0
    assert set(session.end.signature_by_shard) == set(SHARDS)
    assert len(session.end.record_lists) == len(SHARDS)


def test_late_shard_is_asked_of_a_second_target(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    session = Session(selector, budget)
    for shard in SHARDS[1:]:
        session.answer(shard)
    session.tick(session.gather.next_wake())
    hedge = session.sent[-1]
    assert (hedge.shard, hedge.target.instance, hedge.reason) == ("s0", "s0-far", "hedge")
    session.answer("s0", 0.15, "far")
    assert isinstance(session.end, Gathered)
    assert not session.open


def test_answer_at_the_target_latency_lists_missing_shards(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    session = Session(selector, budget, max_attempts=1)
    for shard in SHARDS[2:]:
        session.answer(shard)
    session.tick(ANSWER_AT)
    assert isinstance(session.end, Gathered)
    assert (session.end.missing, session.end.reason) == (2, "aim")
    assert not session.open


def test_least_coverage_suffices_after_the_target_latency(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    session = Session(selector, budget, max_attempts=1)
    for shard in SHARDS[3:]:
        session.answer(shard)
    session.tick(ANSWER_AT)
    assert session.end is None
    session.answer("s0", 0.3)
    assert isinstance(session.end, Gathered)
    assert session.end.missing == 2


def test_time_is_up(selector: TargetSelector, budget: RetryBudget) -> None:
    session = Session(selector, budget, max_attempts=1)
    session.answer("s0")
    session.tick(END_AT)
    assert isinstance(session.end, GatherFailed)
    assert session.end[:3] == (True, True, "time is up")
    assert session.end.lacking.startswith("s1: waiting for s1-near; s2: waiting")
    assert not session.open


@pytest.mark.parametrize(
    ("outcome", "ran"),
    [
        pytest.param(Outcome.NOT_RUN, False, id="shed"),
        pytest.param(Outcome.ELSEWHERE, False, id="elsewhere"),
        pytest.param(Outcome.NOT_SENT, False, id="no-connection"),
        pytest.param(Outcome.FAILED, True, id="failed"),
        pytest.param(Outcome.BROKEN, True, id="broken"),
        pytest.param(Outcome.OVERSIZED, True, id="oversized"),
    ],
)
def test_query_that_cannot_succeed_fails_at_once(
    selector: TargetSelector, no_budget: RetryBudget, outcome: Outcome, ran: bool
) -> None:
    """A failure reports that nothing ran only if no target can have run a shard."""
    session = Session(selector, no_budget, least=0.1)
    while session.end is None:
        session.fail(next(iter(session.open.values())).shard, outcome)
    assert isinstance(session.end, GatherFailed)
    assert session.end.ran is ran
    assert not session.open
    assert len(session.sent) <= MAX_SENDS * len(SHARDS)


def test_shards_that_are_out_may_have_run(selector: TargetSelector, no_budget: RetryBudget) -> None:
    session = Session(selector, no_budget, least=1.0)
    session.fail("s0", Outcome.NOT_RUN)
    assert isinstance(session.end, GatherFailed)
    assert session.end[:3] == (True, False, "too few shards can answer")
    assert session.end.lacking.startswith("s0: not_run at s0-near")


def test_failed_connections_do_not_enlarge_the_budget(selector: TargetSelector) -> None:
    """A request that could not be sent counts as one first request, however often it is tried."""
    budget = RetryBudget(RetryBudgetLimits(0.2, 10.0, 0.0), 0.0)
    for _ in range(10):
        session = Session(selector, budget)
        while session.end is None:
            session.fail(next(iter(session.open.values())).shard, Outcome.NOT_SENT)
    repeats = 0
    while budget.try_spend("s0", 0.5):
        repeats += 1
    assert repeats <= 2


def test_address_of_another_target_is_not_asked_again(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    session = Session(selector, budget)
    session.fail("s0", Outcome.ELSEWHERE)
    session.fail("s0", Outcome.ELSEWHERE)
    assert [sent.target.instance for sent in session.sent if sent.shard == "s0"] == [
        "s0-near",
        "s0-far",
    ]


def test_nothing_is_known(budget: RetryBudget) -> None:
    session = Session(TargetSelector(HERE, 1), budget)
    assert isinstance(session.end, GatherFailed)
    assert session.end[:3] == (False, False, "too few shards can answer")
    assert session.end.lacking.startswith("s0: no target")


@pytest.mark.parametrize(
    "outcome",
    [Outcome.NOT_RUN, Outcome.FAILED, Outcome.BROKEN, Outcome.OVERSIZED, Outcome.ELSEWHERE],
)
def test_failed_shard_is_asked_again_at_once(
    selector: TargetSelector, budget: RetryBudget, outcome: Outcome
) -> None:
    session = Session(selector, budget)
    session.fail("s0", outcome)
    assert session.sent[-1].target.instance == "s0-far"
    assert session.sent[-1].reason == outcome.value


def test_no_more_targets_run_a_shard_than_allowed(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    session = Session(selector, budget, max_attempts=1)
    session.fail("s0", Outcome.FAILED)
    assert len(session.sent) == len(SHARDS)
    session.fail("s1", Outcome.NOT_RUN)
    assert session.sent[-1].target.instance == "s1-far"


def test_empty_budget_allows_no_repeat(selector: TargetSelector, no_budget: RetryBudget) -> None:
    session = Session(selector, no_budget)
    session.fail("s0", Outcome.FAILED)
    session.tick(session.gather.next_wake())
    assert len(session.sent) == len(SHARDS)


class TestHeldBack:
    """Shards that may not be requested now but will be retried."""

    @pytest.mark.parametrize("rounds", [1, 2], ids=["refused-once", "refused-again"])
    def test_shard_that_all_targets_refused_is_asked_again_within_the_aim(
        self, selector: TargetSelector, budget: RetryBudget, rounds: int
    ) -> None:
        """Guards against giving up early on overloaded targets.

        With targets that shed six in ten requests, queries failed after 3 to 42 ms although the
        client's deadline was 3 s.
        """
        session = Session(selector, budget, least=1.0)
        now = 0.01
        for _ in range(rounds):
            while "s0" in {sent.shard for sent in session.open.values()}:
                session.fail("s0", Outcome.NOT_RUN, now)
            assert session.end is None
            assert "s0" not in {sent.shard for sent in session.open.values()}
            now = session.gather.next_wake()
            session.tick(now)
            assert session.sent[-1].reason == "held_back"
        assert now < ANSWER_AT

    def test_each_refusal_doubles_the_rest(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        session = Session(selector, budget, least=1.0)
        rests, now = [], 0.0
        session.fail("s0", Outcome.NOT_RUN, now)
        for _ in range(3):
            session.fail("s0", Outcome.NOT_RUN, now)
            refused_at = now
            while "s0" not in {sent.shard for sent in session.open.values()}:
                now = session.gather.next_wake()
                session.tick(now)
            rests.append(now - refused_at)
        assert rests[0] < rests[1] < rests[2]

    def test_shard_whose_targets_are_down_is_asked_seldom(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        """All targets of a shard refuse connections immediately, to each query."""
        session = Session(selector, budget, least=1.0)
        for number in range(1, 10):
            session.answer(f"s{number}", 0.0)
        now = 0.0
        while session.end is None:
            if session.open:
                refuse_connection(selector, session, "s0", now)
                continue
            now = session.gather.next_wake()
            session.tick(now)
        asked = [sent for sent in session.sent if sent.shard == "s0"]
        assert 2 < len(asked) < MAX_SENDS
        assert isinstance(session.end, GatherFailed)
        assert ANSWER_AT <= now < END_AT
        next_one = Session(selector, budget, least=1.0)
        assert len([sent for sent in next_one.sent if sent.shard == "s0"]) <= 1

    def test_target_that_is_back_before_the_aim_serves(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        session = Session(selector, budget, least=1.0)
        refuse_connection(selector, session, "s0", 0.0)
        refuse_connection(selector, session, "s0", 0.0)
        for number in range(1, 10):
            session.answer(f"s{number}", 0.01)
        while "s0" not in {sent.shard for sent in session.open.values()}:
            session.tick(session.gather.next_wake())
        session.answer("s0", 0.1)
        assert isinstance(session.end, Gathered)

    def test_needed_shard_waits_for_an_allowance(self, selector: TargetSelector) -> None:
        budget = RetryBudget(RetryBudgetLimits(0.2, 10.0, 0.0), OLD)
        session = Session(selector, budget, least=1.0)
        session.fail("s0", Outcome.FAILED)
        session.tick(session.gather.next_wake())
        assert session.end is None and len(session.sent) == len(SHARDS)
        for _ in range(20):
            budget.count_first("s0", 0.05)
        session.tick(0.1)
        assert session.sent[-1].shard == "s0"

    def test_query_that_waits_in_vain_ends_with_its_time(self, selector: TargetSelector) -> None:
        budget = RetryBudget(RetryBudgetLimits(0.2, 10.0, 0.0), OLD)
        session = Session(selector, budget, least=1.0)
        session.fail("s0", Outcome.FAILED)
        for number in range(1, 10):
            session.answer(f"s{number}")
        session.tick(END_AT)
        assert isinstance(session.end, GatherFailed)
        assert session.end[:3] == (True, True, "time is up")
        assert session.end.lacking == "s0: failed at s0-near, held back (retry_budget)"

    def test_shards_that_may_lack_leave_a_reserve(self, selector: TargetSelector) -> None:
        """Two of ten shards may be missing; the reserved repeat goes to the third that fails."""
        budget = RetryBudget(RetryBudgetLimits(0.0, 10.0, 1.25), OLD)
        budget.set_members(1, 0.0)
        session = Session(selector, budget, least=0.8)
        for name in ("s0", "s1", "s2"):
            session.fail(name, Outcome.FAILED)
        assert [sent.shard for sent in session.sent[len(SHARDS) :]] == ["s2"]

    @pytest.mark.parametrize(
        ("shards", "least"), [(3, 1.0), (5, 0.8), (10, 0.8)], ids=["few", "half", "all"]
    )
    def test_peer_may_leave_out_its_part_of_what_may_lack(
        self, selector: TargetSelector, budget: RetryBudget, shards: int, least: float
    ) -> None:
        group = GROUP._replace(shards=SHARDS[:shards])
        session = Session(selector, budget, least=0.8, groups=(group,))
        assert session.groups[0].least_coverage == pytest.approx(least)


class TestGroups:
    """Shards that are delegated to a peer."""

    def test_merged_parts_count(self, selector: TargetSelector, budget: RetryBudget) -> None:
        session = Session(selector, budget, groups=(GROUP,))
        assert {sent.shard for sent in session.sent} == set(SHARDS[3:])
        for shard in SHARDS[3:]:
            session.answer(shard)
        session.parts(["s0", "s1"], final=False)
        session.parts(["s2"], final=True)
        assert isinstance(session.end, Gathered)
        assert session.end.missing == 0
        assert session.end.signature_by_shard["s0"] == b"peer0-s0"

    def test_peer_and_this_box_share_the_attempt_limit(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        """Of two attempts the peer gets one; the other goes to a target elsewhere, once."""
        session = Session(selector, budget, groups=(GROUP,))
        assert session.gather.plan.peer_attempts == 1
        session.parts(["s0", "s1"], final=False)
        session.parts([], final=True)
        session.tick(ANSWER_AT)
        asked = [sent.target.instance for sent in session.sent if sent.shard == "s2"]
        assert asked == ["s2-far"]

    def test_single_attempt_is_left_to_the_peer(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        session = Session(selector, budget, groups=(GROUP,), max_attempts=1)
        session.parts(["s0", "s1"], final=True)
        assert not [sent for sent in session.sent if sent.shard == "s2"]

    def test_what_the_peer_lacks_is_asked_directly(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        session = Session(selector, budget, groups=(GROUP,))
        session.parts(["s0", "s1"], final=True)
        assert (session.sent[-1].shard, session.sent[-1].reason) == ("s2", "lacking")

    @pytest.mark.parametrize("accepted", [False, True], ids=["not-accepted", "accepted-then-mute"])
    def test_shards_of_a_silent_peer_are_requested_elsewhere(
        self, selector: TargetSelector, budget: RetryBudget, accepted: bool
    ) -> None:
        session = Session(selector, budget, groups=(GROUP,))
        if accepted:
            session.gather.group_accepted(0)
        session.tick(0.07)
        if accepted:
            session.tick(0.1)
        assert session.other[0] == PeerSilent("peer:1", accepted)
        asked = [sent.shard for sent in session.sent if sent.shard in GROUP.shards]
        assert asked == ["s0", "s1", "s2"]

    def test_shards_of_a_lost_peer_are_requested_elsewhere(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        session = Session(selector, budget, groups=(GROUP,))
        session.take(session.gather.group_lost(0, 0.01))
        assert [sent.shard for sent in session.sent[-3:]] == ["s0", "s1", "s2"]

    def test_requests_around_a_peer_are_repeats(
        self, selector: TargetSelector, no_budget: RetryBudget
    ) -> None:
        """The peer may have asked the targets, so the requests count against the budget."""
        session = Session(selector, no_budget, groups=(GROUP,))
        session.take(session.gather.group_lost(0, 0.01))
        assert isinstance(session.end, GatherFailed)

    def test_no_shard_counts_twice(self, selector: TargetSelector, budget: RetryBudget) -> None:
        """A part received directly is replaced by the peer's merged records, which contain it."""
        session = Session(selector, budget, groups=(GROUP,))
        session.gather.group_accepted(0)
        session.tick(0.1)
        session.answer("s0", 0.12)
        session.parts(["s0", "s1"], final=False, now=0.13)
        session.answer("s2", 0.14)
        for shard in SHARDS[3:]:
            session.answer(shard, 0.15)
        assert isinstance(session.end, Gathered)
        assert session.end.signature_by_shard["s0"] == b"peer0-s0"
        assert len(session.end.signature_by_shard) == len(SHARDS)
        # One list from the peer for two shards, and one for each of the other eight.
        assert len(session.end.record_lists) == 9

    @pytest.mark.parametrize(
        "shards", [["s0", "s9"], ["s0", "unknown"]], ids=["not-its-shard", "unknown-shard"]
    )
    def test_parts_of_shards_that_were_not_asked_are_dropped(
        self, selector: TargetSelector, budget: RetryBudget, shards: list[str]
    ) -> None:
        session = Session(selector, budget, groups=(GROUP,))
        session.parts(shards, final=False)
        assert not session.gather.parts.gathered().signature_by_shard

    def test_peer_is_told_when_the_query_ends_without_it(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        session = Session(selector, budget, least=0.5, groups=(GROUP,))
        for shard in SHARDS[3:]:
            session.answer(shard)
        session.gather.group_accepted(0)
        session.tick(ANSWER_AT)
        assert isinstance(session.end, Gathered)
        assert CancelGroup(0, "peer:1") in session.other


def test_partial_gather_gives_what_is_in(selector: TargetSelector, budget: RetryBudget) -> None:
    session = Session(selector, budget, least=0.0, partial=True)
    session.answer("s0")
    first, _ = session.gather.parts.pop_unreported()
    session.answer("s1")
    second, _ = session.gather.parts.pop_unreported()
    assert (list(first), list(second)) == (["s0"], ["s1"])
    session.tick(ANSWER_AT)
    assert session.end is None, "parts received after the target latency are still reported"
    session.tick(END_AT)
    assert isinstance(session.end, Gathered)
    assert session.end.missing == 8


def test_client_that_left_takes_everything_back(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    session = Session(selector, budget, groups=(GROUP,))
    session.take(session.gather.cancel())
    assert not session.open
    assert session.other == [CancelGroup(0, "peer:1")]


class TestElsewhere:
    """Late shards are delegated to a peer in the failure domain of other targets."""

    def test_what_a_report_lacks_goes_in_one_group(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        regrouper = SinglePeerRegrouper()
        session = Session(selector, budget, groups=(GROUP,), regrouper=regrouper)
        session.parts(["s0"], final=False)
        assert session.groups[-1].group[:3] == ("other:1", THERE, ("s1", "s2"))
        assert regrouper.tried_by_shard == {"s1": {"s1-near"}, "s2": {"s2-near"}}
        assert {sent.shard for sent in session.sent} == set(SHARDS[3:])

    def test_late_direct_shards_go_in_one_group(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        session = Session(selector, budget, regrouper=SinglePeerRegrouper())
        for shard in SHARDS[4:]:
            session.answer(shard)
        session.tick(session.gather.next_wake())
        assert [command.group.shards for command in session.groups] == [("s0", "s1", "s2", "s3")]
        assert len(session.sent) == len(SHARDS)

    def test_no_shard_is_asked_more_often_than_allowed(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        session = Session(
            selector, budget, least=1.0, groups=(GROUP,), regrouper=SinglePeerRegrouper()
        )
        for shard in SHARDS[3:]:
            session.answer(shard)
        session.parts(["s0"], final=False)
        session.parts([], final=True, number=1)
        assert session.end is None
        session.parts([], final=True)
        assert isinstance(session.end, GatherFailed)
        assert len(session.groups) == 2
        assert not [sent for sent in session.sent if sent.shard in ("s1", "s2")]

    @pytest.mark.parametrize("first", [0, 1], ids=["merged-first", "single-first"])
    def test_part_that_came_twice_counts_once(
        self, selector: TargetSelector, budget: RetryBudget, first: int
    ) -> None:
        """The merged records contain the shard's, so that its single part is dropped."""
        session = Session(selector, budget, groups=(GROUP,), regrouper=SinglePeerRegrouper())
        session.parts([], final=False)
        for number in (first, 1 - first):
            session.parts(["s0", "s1"] if number == 0 else ["s0"], False, number=number)
        gathered = session.gather.parts.gathered()
        assert gathered.signature_by_shard == {"s0": b"peer0-s0", "s1": b"peer0-s1"}
        assert len(gathered.record_lists) == 1

    @pytest.mark.parametrize("lost", [False, True], ids=["silent", "link-lost"])
    def test_shards_of_a_lost_peer_go_to_another_one(
        self, selector: TargetSelector, budget: RetryBudget, lost: bool
    ) -> None:
        """The lost peer may not have asked its targets, so that they may be asked again."""
        regrouper = SinglePeerRegrouper()
        session = Session(selector, budget, groups=(GROUP,), regrouper=regrouper)
        if lost:
            session.take(session.gather.group_lost(0, 0.01))
        else:
            session.tick(GROUP.accept_by)
        assert session.groups[-1].group.shards == GROUP.shards
        assert regrouper.tried_by_shard == dict.fromkeys(GROUP.shards, frozenset())

    def test_second_peer_asks_beside_itself_and_pays(
        self, selector: TargetSelector, budget: RetryBudget, no_budget: RetryBudget
    ) -> None:
        session = Session(selector, budget, least=0.0, max_attempts=1, partial=True, repeat=True)
        assert {sent.target.place for sent in session.sent} == {HERE}
        session.fail("s0", Outcome.FAILED)
        assert len(session.sent) == len(SHARDS)
        assert not Session(selector, no_budget, least=0.0, partial=True, repeat=True).sent


@pytest.mark.parametrize(
    ("events", "ran"),
    [
        pytest.param("refused", False, id="peer-says-nothing-ran"),
        pytest.param("ran", True, id="peer-says-some-may-have"),
        pytest.param("lost", True, id="lost-peer-told-nothing"),
    ],
)
def test_failure_reports_whether_a_peer_may_have_run_it(
    selector: TargetSelector, no_budget: RetryBudget, events: str, ran: bool
) -> None:
    group = GroupPlan("peer:1", HERE, SHARDS, 0.06, 0.08)
    session = Session(selector, no_budget, groups=(group,), max_attempts=1)
    if events == "lost":
        session.take(session.gather.group_lost(0, 0.01))
    else:
        session.parts([], final=True, ran=events == "ran")
    assert isinstance(session.end, GatherFailed)
    assert session.end.ran is ran


class TestDeclined:
    """A peer whose targets are slow declines their shards."""

    def test_peer_declines_what_is_better_elsewhere(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        make_slow(selector, "s0-near")
        session = Session(selector, budget, least=0.0, partial=True)
        assert session.other == [Declined(("s0",))]
        assert {sent.shard for sent in session.sent} == set(SHARDS[1:])

    def test_where_all_are_slow_nothing_is_declined(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        """Under overload boxes would otherwise send their shards to each other."""
        for number, shard in enumerate(SHARDS * 20):
            near = selector.targets(shard)[0]
            selector.sent(near, number, ROUTE, -1.0)
            selector.ended(near, number, Outcome.OK, None, -0.6)
        session = Session(selector, budget, least=0.0, partial=True)
        assert session.other == []

    def test_repeat_is_never_declined(self, selector: TargetSelector, budget: RetryBudget) -> None:
        make_slow(selector, "s0-near")
        session = Session(selector, budget, least=0.0, partial=True, repeat=True)
        assert session.sent[0].target.instance == "s0-near"

    def test_repeat_that_may_not_be_paid_is_given_back(
        self, selector: TargetSelector, no_budget: RetryBudget
    ) -> None:
        """No target has received it, so that it must not count as one of the shard's attempts."""
        session = Session(selector, no_budget, least=0.0, partial=True, repeat=True)
        assert session.other == [Declined(SHARDS)]

    def test_shard_that_peers_decline_is_retried(self, selector: TargetSelector) -> None:
        """The retry budget of some boxes is exhausted while others have theirs left.

        Guards against queries that failed with most of their time left because their last attempt
        was delegated to a peer without budget for it.
        """
        exhausted = RetryBudget(RetryBudgetLimits(0.2, 10.0, 0.0), OLD)
        session = Session(selector, exhausted, least=1.0, regrouper=SinglePeerRegrouper())
        session.fail("s0", Outcome.FAILED)
        for number in range(1, 10):
            session.answer(f"s{number}")
        declined, now = 0, 0.0
        while declined < 4:
            if len(session.groups) > declined:
                session.take(session.gather.group_declined(declined, ["s0"], now))
                declined += 1
                continue
            now = session.gather.next_wake()
            session.tick(now)
        assert session.end is None
        assert now < END_AT
        assert {command.group.repeat for command in session.groups} == {True}
        while len(session.groups) == declined:
            session.tick(session.gather.next_wake())
        session.parts(["s0"], final=True, now=0.9, number=declined)
        assert isinstance(session.end, Gathered)

    def test_declined_shards_go_elsewhere_and_are_no_repeats(
        self, selector: TargetSelector, no_budget: RetryBudget
    ) -> None:
        regrouper = SinglePeerRegrouper()
        session = Session(selector, no_budget, groups=(GROUP,), regrouper=regrouper)
        session.take(session.gather.group_declined(0, ["s1"], 0.01))
        assert session.groups[-1].group[:3] == ("other:1", THERE, ("s1",))
        assert not session.groups[-1].group.repeat
        assert regrouper.tried_by_shard == {"s1": {"s1-near"}}

    def test_shard_that_all_decline_is_asked_directly(
        self, selector: TargetSelector, no_budget: RetryBudget
    ) -> None:
        session = Session(selector, no_budget, groups=(GROUP,))
        session.take(session.gather.group_declined(0, ["s1"], 0.01))
        assert (session.sent[-1].shard, session.sent[-1].reason) == ("s1", "declined")

    def test_declined_shard_is_not_asked_again_for_the_peers_report(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        session = Session(selector, budget, groups=(GROUP,), regrouper=SinglePeerRegrouper())
        session.take(session.gather.group_declined(0, ["s1"], 0.01))
        session.parts(["s0"], final=True)
        assert [command.group.shards for command in session.groups[1:]] == [("s1",), ("s2",)]

    def test_own_slow_target_leaves_its_shard_to_a_peer(
        self, selector: TargetSelector, budget: RetryBudget
    ) -> None:
        make_slow(selector, "s0-near")
        session = Session(selector, budget, regrouper=SinglePeerRegrouper())
        assert [command.group.shards for command in session.groups] == [("s0",)]
        assert {sent.shard for sent in session.sent} == set(SHARDS[1:])


def test_own_slow_target_is_passed_over_with_the_real_planner(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    planner = GroupPlanner(HERE, "own:1", selector, PeerTracker())
    planner.set_peers((PeerBox("there:1", THERE),), True)
    make_slow(selector, "s0-near")
    session = Session(selector, budget, regrouper=planner)
    assert [command.group[:3] for command in session.groups] == [("there:1", THERE, ("s0",))]
    assert {sent.shard for sent in session.sent} == set(SHARDS[1:])


def test_late_shards_are_asked_for_records_that_can_count(
    selector: TargetSelector, budget: RetryBudget
) -> None:
    session = Session(selector, budget, groups=(GROUP,), regrouper=SinglePeerRegrouper())
    for shard in SHARDS[3:]:
        session.answer(shard)
    session.parts(["s0"], final=False)
    assert session.groups[0].floor == b""
    assert session.groups[-1].floor == b"s7".ljust(16)


def make_slow(selector: TargetSelector, instance: str) -> None:
    """Make a target answer ten times as slowly as others."""
    service = instance.split("-", maxsplit=1)[0]
    slow = next(found for found in selector.targets(service) if found.instance == instance)
    quick = selector.targets("s9")[0]
    for number, (found, ended_at) in enumerate([(quick, -0.96)] * 64 + [(slow, -0.6)] * 4):
        selector.sent(found, number, ROUTE, -1.0)
        selector.ended(found, number, Outcome.OK, None, ended_at)


@pytest.mark.parametrize(
    "end",
    [
        pytest.param(lambda gather: gather.tick(END_AT), id="time-is-up"),
        pytest.param(lambda gather: gather.stop(0.05), id="box-stops"),
    ],
)
def test_group_that_ends_with_requests_at_targets_says_that_they_may_have_run(
    selector: TargetSelector, budget: RetryBudget, end: Callable[[Gather], list[GatherCommand]]
) -> None:
    """A peer reported that nothing had run, and its sender told the client so with a 503."""
    session = Session(selector, budget, partial=True)
    session.take(end(session.gather))
    assert isinstance(session.end, Gathered)
    assert session.end.missing == len(SHARDS)
    assert session.gather.may_have_run


@pytest.mark.parametrize(
    ("received", "answered"), [(8, True), (7, False)], ids=["coverage-reached", "too-few"]
)
def test_query_of_a_stopping_box_ends_with_what_it_has(
    selector: TargetSelector, budget: RetryBudget, received: int, answered: bool
) -> None:
    """A query in flight was cut off with its box, though it had enough shards for an answer."""
    session = Session(selector, budget)
    for shard in SHARDS[:received]:
        session.answer(shard)
    session.take(session.gather.stop(0.05))
    assert session.open == {}
    if answered:
        assert isinstance(session.end, Gathered)
        assert session.end.missing == len(SHARDS) - received
    else:
        assert isinstance(session.end, GatherFailed)
        assert (session.end.ran, session.end.cause) == (True, Cause.STOPPING)
