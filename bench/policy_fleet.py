"""The real decisions of some boxes about queries over many shards, in virtual time.

Each box has the product's own selector, budget, planner and gathers; this module is their shell:
links with delays, messages between boxes, a processor each. It knows nothing of membership and the
store.
"""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Final, NamedTuple

from bench.agenda import Action, Agenda, Processor
from bench.policy_targets import QUIET, Habits, ModelTarget
from trackwheel.delegation.gatherers import choose_gatherers
from trackwheel.delegation.grouping import GroupPlanner
from trackwheel.delegation.peers import PeerBox, PeerTracker
from trackwheel.gathering.gather import Gather
from trackwheel.gathering.gather_models import (
    CancelGroup,
    CancelPart,
    Declined,
    Gathered,
    GatherFailed,
    GatherPlan,
    PeerSilent,
    SendGroup,
    SendPart,
)
from trackwheel.relay.models import Load, Outcome, Part, Place, RouteKey, Target, TargetResult
from trackwheel.selection.budget import RetryBudget, RetryBudgetLimits
from trackwheel.selection.down_reports import DownReports, TargetDown
from trackwheel.selection.target_selector import TargetSelector

SEND_S: Final = 0.0004
"""Processor time of one request to a target and its answer, for one core."""
MESSAGE_S: Final = 0.0003
"""Processor time of one message between boxes at either end."""
OPEN_S: Final = 0.003
"""The same for a link that is opened."""
DELAYS_S: Final = (0.0002, 0.0009, 0.008)
"""One way within a failure domain, between those of a region, between regions."""
RETURN_S: Final = 0.0105
"""Time kept for the way back to a caller."""
EXTRA: Final = 430.0


class Kind(NamedTuple):
    """One kind of query: rate (per second), aim and deadline (seconds), what it may lack."""

    name: str
    rate: float
    work_s: float
    aim_s: float
    deadline_s: float
    least_coverage: float
    worth: float
    homes: frozenset[str] = frozenset()


class Tally:
    """Count how the queries of one kind ended."""

    def __init__(self) -> None:
        self.asked = self.in_time = self.late = self.failed = 0
        self.credit = 0.0
        self.left_out = 0

    @property
    def credit_share(self) -> float:
        """Return the part of the credit that was earned."""
        return self.credit / max(1, self.asked)


def credit_share(kinds: list[Kind], tally_by_kind: dict[str, Tally]) -> float:
    """Return the part of the credit earned over all kinds, each by its worth."""
    owed = sum(tally_by_kind[kind.name].asked * kind.worth for kind in kinds)
    earned = sum(tally_by_kind[kind.name].credit * kind.worth for kind in kinds)
    return earned / owed


def delay_s(one: Place, other: Place) -> float:
    """Return the time of one way between two places."""
    if one == other:
        return DELAYS_S[0]
    return DELAYS_S[1 if one.region == other.region else 2]


class ModelBox:
    """One box: the product's decisions with a processor of its own."""

    def __init__(self, fleet: "ModelFleet", peer: PeerBox, seed: int) -> None:
        self.fleet = fleet
        self.peer = peer
        self.place = peer.place
        self.processor = Processor(fleet.agenda, peer.speed)
        self.selector = TargetSelector(peer.place, seed)
        self.budget = RetryBudget(RetryBudgetLimits(0.2, 10.0, fleet.extra), -100.0)
        self.links: set[str] = set()
        self.peer_tracker = PeerTracker(self.links.__contains__)
        self.planner = GroupPlanner(peer.place, peer.address, self.selector, self.peer_tracker)
        self.reports = DownReports(self.selector)
        self.told: tuple[str, ...] = ()

    def tell(self, address: str, action: Callable[["ModelBox"], None]) -> None:
        """Let another box do something once a message has reached it."""
        other = self.fleet.box_by_address[address]
        way_s = delay_s(self.place, other.place)
        work_s = MESSAGE_S
        if address not in self.links:
            self.links.add(address)
            other.links.add(self.peer.address)
            way_s *= 7.0  # three ways there and back before the message itself
            work_s += OPEN_S
        self.fleet.messages += 1
        agenda = self.fleet.agenda

        def arrive() -> None:
            other.processor.do(work_s, lambda: action(other))

        self.processor.do(work_s, lambda: agenda.at(agenda.now + way_s, arrive))

    def ask(self, who: Target, run: "GatherRun", token: int) -> None:
        """Send a request to a target."""
        agenda, key = self.fleet.agenda, (run, token)
        way_s = delay_s(self.place, who.place)
        server = self.fleet.target_by_instance[who.instance]
        sent_at = agenda.now
        self.selector.sent(who, key, run.gather.plan.route, agenda.now)

        def ended(outcome: Outcome, load: Load | None) -> None:
            agenda.at(
                agenda.now + way_s, lambda: self.processor.do(SEND_S / 2, come_back(outcome, load))
            )

        def come_back(outcome: Outcome, load: Load | None) -> Action:
            return lambda: self._ended(who, run, token, sent_at, outcome, load)

        def arrive() -> None:
            if token in run.tokens:
                server.ask(key, run.kind.work_s, ended)

        self.processor.do(SEND_S / 2, lambda: agenda.at(agenda.now + way_s, arrive))

    def _ended(
        self,
        who: Target,
        run: "GatherRun",
        token: int,
        sent_at: float,
        outcome: Outcome,
        load: Load | None,
    ) -> None:
        if token not in run.tokens:
            return
        now = self.fleet.agenda.now
        self.selector.ended(who, (run, token), outcome, load, now)
        news = self.reports.request_ended(who, outcome, sent_at, now)
        if news is not None and self.fleet.tells_news:
            for address in self.told:
                self.tell(address, lambda box: self._hear(box, news))
        run.part_ended(token, outcome)

    def _hear(self, box: "ModelBox", news: TargetDown) -> None:
        box.reports.receive(self.peer.address, news, self.fleet.agenda.now)


class GatherRun:
    """Carry out the commands of one gather at one box."""

    def __init__(
        self, box: ModelBox, kind: Kind, gather: Gather, on_end: Callable[[Any], None]
    ) -> None:
        self.box = box
        self.kind = kind
        self.gather = gather
        self.tokens: dict[int, str] = {}
        self.groups: dict[int, TakenGroup] = {}
        self._on_end = on_end
        self.on_part: Callable[[], None] = lambda: None
        self.on_declined: Callable[[tuple[str, ...]], None] = lambda shards: None

    def perform(self, commands: list[Any]) -> None:
        """Carry out some commands and wait for what comes next."""
        for command in commands:
            self._perform(command)
        if not self.gather.ended:
            wake_at = self.gather.next_wake()
            self.box.fleet.agenda.at(wake_at, lambda: self._tick(wake_at))

    def part_ended(self, token: int, outcome: Outcome) -> None:
        """Take the end of a request."""
        shard = self.tokens.pop(token)
        part = None
        if outcome is Outcome.OK:
            part = Part(shard.encode(), [shard.encode().ljust(16)])
        end = TargetResult(outcome, None, b"", None, outcome.value)
        self.perform(self.gather.part_ended(token, end, part, self.box.fleet.agenda.now))
        if part is not None:
            self.on_part()

    def cancel(self) -> None:
        """Take everything back."""
        self.perform(self.gather.cancel())

    def _tick(self, due_at: float) -> None:
        if not self.gather.ended and self.gather.next_wake() <= due_at:
            self.perform(self.gather.tick(self.box.fleet.agenda.now))

    def _perform(self, command: Any) -> None:
        match command:
            case SendPart(token, shard, who, _):
                self.tokens[token] = shard
                self.box.ask(who, self, token)
            case CancelPart(token, who):
                del self.tokens[token]
                key = (self, token)
                self.box.selector.withdrawn(who, key, self.box.fleet.agenda.now)
                self.box.fleet.target_by_instance[who.instance].withdraw(key)
            case SendGroup(number, group):
                self.groups[number] = TakenGroup(self, command)
                self.box.tell(group.address, self.groups[number].start)
            case CancelGroup(number):
                self.box.tell(self.groups[number].address, lambda box: self.groups[number].cancel())
            case Declined(shards):
                self.on_declined(shards)
            case PeerSilent(address, accepted):
                if not accepted:
                    self.box.peer_tracker.record_failure(address, self.box.fleet.agenda.now)
            case Gathered() | GatherFailed():
                self._on_end(command)


class TakenGroup:
    """A group of shards at a peer, and what its sender is told."""

    def __init__(self, sender: GatherRun, command: SendGroup) -> None:
        self._sender = sender
        self._command = command
        self.address = command.group.address
        self._asked_at = sender.box.fleet.agenda.now
        self._run: GatherRun | None = None
        self._tells_at_once = command.group.repeat

    def start(self, box: ModelBox) -> None:
        """Begin at the peer."""
        agenda, group, plan = box.fleet.agenda, self._command.group, self._sender.gather.plan
        self._to_sender(box, self._accepted)
        way_s = delay_s(box.place, self._sender.box.place)
        part = GatherPlan(
            plan.route,
            group.shards,
            plan.top_k,
            (),
            self._command.least_coverage,
            1 if group.repeat else self._sender.gather.plan.peer_attempts,
            plan.answer_at - way_s,
            plan.end_at,
            True,
            group.repeat,
        )
        self._run = GatherRun(
            box,
            self._sender.kind,
            Gather(part, box.selector, box.budget),
            lambda end: self._report(True),
        )
        self._run.on_part = self._part_came
        self._run.on_declined = self._declined
        agenda.at(group.report_by - way_s, lambda: self._report(False))
        agenda.at(plan.answer_at - way_s - 0.003, self._last_report)
        self._run.perform(self._run.gather.start(agenda.now))

    def cancel(self) -> None:
        """Stop since nobody waits any more."""
        if self._run is not None and not self._run.gather.ended:
            self._run.cancel()

    def _part_came(self) -> None:
        if self._tells_at_once:
            self._report(False)

    def _last_report(self) -> None:
        self._tells_at_once = True
        self._report(False)

    def _report(self, final: bool) -> None:
        if self._run is None or (self._run.gather.ended and not final):
            return
        signatures, records = self._run.gather.parts.pop_unreported()
        if self._command.group.repeat:
            for (name, signature), part in zip(signatures.items(), records, strict=True):
                self._send({name: signature}, part, False)
            signatures, records = {}, []
        if final or signatures or not self._tells_at_once:
            self._send(signatures, [record for part in records for record in part], final)

    def _send(self, signatures: dict[str, bytes], records: list[bytes], final: bool) -> None:
        assert self._run is not None, "only a group that was started reports"
        number = self._command.number

        def take(sender: GatherRun) -> None:
            now = sender.box.fleet.agenda.now
            gather = sender.gather
            sender.perform(gather.group_parts(number, signatures, records, final, True, now))

        self._to_sender(self._run.box, take)

    def _declined(self, shards: tuple[str, ...]) -> None:
        assert self._run is not None, "only a group that was started declines"
        number = self._command.number

        def take(sender: GatherRun) -> None:
            now = sender.box.fleet.agenda.now
            sender.perform(sender.gather.group_declined(number, shards, now))

        self._to_sender(self._run.box, take)

    def _accepted(self, sender: GatherRun) -> None:
        took_s = sender.box.fleet.agenda.now - self._asked_at
        sender.box.peer_tracker.record_accepted(self.address, took_s)
        sender.gather.group_accepted(self._command.number)

    def _to_sender(self, box: ModelBox, action: Callable[[GatherRun], None]) -> None:
        box.tell(self._sender.box.peer.address, lambda _: action(self._sender))


class ModelFleet:
    """All boxes, targets and callers of one play."""

    def __init__(
        self,
        boxes: list[PeerBox],
        targets: dict[str, tuple[Target, ...]],
        seed: int,
        tells_news: bool = True,
        open_links: bool = True,
        speeds_told: bool = True,
        habits: Habits = QUIET,
        extra: float = EXTRA,
    ) -> None:
        self.agenda = Agenda()
        self.extra = extra
        self._targets = targets
        self.random = Random(seed)
        self.tells_news = tells_news
        self.messages = 0
        self.shards = tuple(targets)
        self.target_by_instance = {
            target.instance: ModelTarget(self.agenda, self.random, target, habits)
            for found in targets.values()
            for target in found
        }
        self.box_by_address = {
            box.address: ModelBox(self, box, seed + number) for number, box in enumerate(boxes)
        }
        known = boxes if speeds_told else [box._replace(speed=1.0) for box in boxes]
        self._wire(known, targets, open_links)

    def _wire(
        self, boxes: list[PeerBox], targets: dict[str, tuple[Target, ...]], open_links: bool
    ) -> None:
        gatherers = choose_gatherers(boxes)
        asking = [box for box in boxes if box.address in gatherers]
        domains = {
            shard: frozenset(t.place.failure_domain for t in found)
            for shard, found in targets.items()
        }
        count_by_domain: dict[str, int] = {}
        for peer in asking:
            domain = peer.place.failure_domain
            count_by_domain[domain] = count_by_domain.get(domain, 0) + 1
        for box in self.box_by_address.values():
            own = box.peer.address
            others = tuple(peer for peer in asking if peer.address != own)
            box.selector.set_targets(targets, 0.0)
            box.planner.set_peers(others, own in gatherers)
            box.budget.set_members(len(boxes), -50.0)
            box.budget.set_gatherers(
                count_by_domain, box.place.failure_domain, own in gatherers, -50.0
            )
            box.budget.set_shards(domains)
            box.told = tuple(peer.address for peer in others if peer.place == box.place)
            if open_links:
                for address in box.planner.wanted_links():
                    box.links.add(address)
                    self.box_by_address[address].links.add(own)

    def evacuate(self, domain: str) -> None:
        """Let no new request go to the targets of a failure domain from any box."""
        excluded = {
            shard: tuple(t._replace(excluded=t.place.failure_domain == domain) for t in found)
            for shard, found in self._targets.items()
        }
        for box in self.box_by_address.values():
            box.selector.set_targets(excluded, self.agenda.now)

    def play(self, kinds: list[Kind], seconds: float) -> dict[str, Tally]:
        """Let callers come for some seconds and return how their queries ended."""
        tally_by_kind = {kind.name: Tally() for kind in kinds}
        for kind in kinds:
            at = 0.0
            while (at := at + self.random.expovariate(kind.rate)) < seconds:
                tally = tally_by_kind[kind.name]
                self.agenda.at(at, partial(self._begin, kind, tally))
        self.agenda.run(seconds + max(kind.deadline_s for kind in kinds))
        return tally_by_kind

    def _begin(self, kind: Kind, tally: Tally) -> None:
        box = self.random.choice(list(self.box_by_address.values()))
        now = self.agenda.now
        route = RouteKey(kind.name, kind.aim_s, kind.homes)
        answer_at, end_at = now + kind.aim_s - RETURN_S, now + kind.deadline_s - 0.02
        plan = GatherPlan(
            route,
            self.shards,
            3,
            box.planner.first_groups(self.shards, route, answer_at, now),
            kind.least_coverage,
            2,
            answer_at,
            end_at,
            False,
        )
        tally.asked += 1
        gather = Gather(plan, box.selector, box.budget, box.planner)

        def ended(end: Gathered | GatherFailed) -> None:
            _count(tally, end, self.agenda.now <= now + kind.aim_s - RETURN_S / 2, len(self.shards))

        run = GatherRun(box, kind, gather, ended)
        run.perform(gather.start(now))


def _count(tally: Tally, end: Gathered | GatherFailed, in_time: bool, shards: int) -> None:
    if isinstance(end, GatherFailed):
        tally.failed += 1
        return
    coverage = 1.0 - end.missing / shards
    tally.left_out += end.missing
    if in_time:
        tally.in_time += 1
        tally.credit += coverage**2
    else:
        tally.late += 1
        tally.credit += coverage**2 * LATE_WORTH


LATE_WORTH: Final = 0.1
"""What a late answer earns of the credit of one in time."""
