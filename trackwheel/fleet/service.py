"""The task that runs the membership protocol, and its interface for the other services."""

from collections.abc import Callable
from functools import partial
from heapq import nsmallest
from typing import Final

import anyio
from returns.result import Success

from trackwheel.clock import steady_now
from trackwheel.files.models import ServiceSpec
from trackwheel.fleet.const import (
    ALONE_PERIOD_S,
    BOX_LIST_PERIOD_S,
    UNREACHABLE_S,
    WATCHERS_PER_DOMAIN,
)
from trackwheel.fleet.members import ring_position
from trackwheel.fleet.membership import Membership, Timing
from trackwheel.fleet.models import (
    FLEET_MESSAGES,
    FleetCommand,
    LeavingTarget,
    LeavingTargetsLearned,
    Member,
    MembersChanged,
    PeerRevision,
    Rejoined,
    Send,
    Status,
)
from trackwheel.fleet.ownership import OwnerMap, may_own, reachable_members
from trackwheel.inbox import Inbox
from trackwheel.peers.hub import Hub
from trackwheel.peers.models import PeerIdentity
from trackwheel.storage.models import BoxListClient
from trackwheel.telemetry.logs import Log

LOG = Log("fleet")

MAX_RING_POSITION: Final = 2**64 - 1
"""Largest position on a ring: where no box of a domain can watch, all of them count as watchers."""

FleetEvent = Callable[[float], list[FleetCommand]]
"""An event: called with the current time, it changes the membership."""


class FleetService:
    """Run the membership protocol and answer which box owns which target."""

    def __init__(
        self,
        hub: Hub,
        own: Member,
        timing: Timing,
        box_list: BoxListClient,
        seed: int,
        watchers_per_domain: int = WATCHERS_PER_DOMAIN,
    ) -> None:
        self._hub = hub
        self._box_list = box_list
        self._watchers_per_domain = watchers_per_domain
        self._membership = Membership(own, timing, seed)
        self._inbox: Inbox[FleetEvent] = Inbox()
        self._owners = OwnerMap()
        self._reachable_until = 0.0
        self._unreachable_until_by_address: dict[str, float] = {}
        self._on_members: list[Callable[[tuple[Member, ...]], None]] = []
        self._on_revision: list[Callable[[str, int], None]] = []
        self._on_leaving_targets: list[Callable[[tuple[LeavingTarget, ...]], None]] = []
        self.members: tuple[Member, ...] = (own,)
        self._member_by_address = {own.address: own}
        self.own = own
        self.rejoins = 0
        for message_type in FLEET_MESSAGES:
            hub.register(message_type, self._receive)
        hub.on_link_lost(self._link_lost)

    @property
    def monitored(self) -> tuple[str, ...]:
        """Return the boxes that this box probes and sends updates to."""
        return self._membership.monitored

    def on_members(self, handler: Callable[[tuple[Member, ...]], None]) -> None:
        """Call a handler whenever the view of the fleet changes."""
        self._on_members.append(handler)

    def on_revision(self, handler: Callable[[str, int], None]) -> None:
        """Call a handler with each revision that a peer has in force."""
        self._on_revision.append(handler)

    def on_leaving_targets(self, handler: Callable[[tuple[LeavingTarget, ...]], None]) -> None:
        """Call a handler with targets that are leaving."""
        self._on_leaving_targets.append(handler)

    def set_files_revision(self, revision: int) -> None:
        """Set the revision that this box has in force."""
        self._membership.set_files_revision(revision)

    def leave(self) -> None:
        """Announce to the fleet that this box is leaving."""
        self._inbox.put(lambda now: self._membership.leave())

    def report_leaving(self, leaving_target: LeavingTarget) -> None:
        """Announce to the fleet that a target is leaving."""
        self._inbox.put(lambda now: self._membership.announce_leaving_target(leaving_target, now))

    def boot_address(self, boot: str) -> str | None:
        """Return the address of the member with a boot, None if there is none."""
        return next((m.address for m in self.members if m.boot == boot), None)

    def owner(self, service: ServiceSpec, target: str) -> Member | None:
        """Return the box that owns a target, None if there is none."""
        if steady_now() >= self._reachable_until:
            self._owners.set_members(self._reachable())
        return self._owners.owner(service, target)

    def pass_over(self, address: str) -> None:
        """Assign the targets of an unreachable box to others for a while, as seen from here."""
        if address == self.own.address:
            return
        self._unreachable_until_by_address[address] = steady_now() + UNREACHABLE_S
        self._owners.set_members(self._reachable())

    def is_watcher(self) -> bool:
        """Return whether this box is one of the few in its domain that watch the store."""
        return not self.watcher_predecessors(self.own)

    def watchers(self) -> tuple[Member, ...]:
        """Return the boxes that watch the store, as seen from here."""
        positions_by_domain: dict[str, list[int]] = {}
        for member in self.members:
            if may_own(member):
                positions = positions_by_domain.setdefault(member.failure_domain, [])
                positions.append(ring_position(member.address))
        last_position_by_domain = {
            domain: max(nsmallest(self._watchers_per_domain, positions))
            for domain, positions in positions_by_domain.items()
        }
        return tuple(
            member
            for member in self.members
            if ring_position(member.address)
            <= last_position_by_domain.get(member.failure_domain, MAX_RING_POSITION)
        )

    def domain_peers(self) -> list[str]:
        """Return the other boxes of the own failure domain."""
        domain = self.own.failure_domain
        return [
            member.address
            for member in self.members
            if member.failure_domain == domain and member.address != self.own.address
        ]

    def remote_watchers(self) -> list[str]:
        """Return the boxes of other failure domains that watch the store, as seen from here."""
        domain = self.own.failure_domain
        return [member.address for member in self.watchers() if member.failure_domain != domain]

    def watcher_predecessors(self, subject: Member) -> list[str]:
        """Return the boxes that precede a member in the order of watchers of its domain.

        Empty for the watchers themselves; a box that leaves stays a watcher until it stops.
        """
        if subject.status is Status.LEAVING and subject.address == self.own.address:
            return []
        position = ring_position(subject.address)
        before = [
            member.address
            for member in self.members
            if member.failure_domain == subject.failure_domain
            and may_own(member)
            and ring_position(member.address) < position
        ]
        return before if len(before) >= self._watchers_per_domain else []

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_box_list)
            while True:
                events = await self._inbox.take(self._membership.next_wake())
                now = steady_now()
                commands = [command for event in events for command in event(now)]
                commands += self._membership.tick(now)
                self._perform(commands)

    def _receive(self, sender: PeerIdentity, message: object) -> None:
        address = sender.address
        self._inbox.put(lambda now: self._membership.receive(address, message, now))

    def _link_lost(self, address: str) -> None:
        self.pass_over(address)
        self._inbox.put(lambda now: self._membership.link_lost(address, now))

    def _reachable(self) -> tuple[Member, ...]:
        """Return the members among which targets are owned, as seen from here."""
        now = steady_now()
        until = self._unreachable_until_by_address
        for address in [address for address, end in until.items() if end <= now]:
            del until[address]
        self._reachable_until = min(until.values(), default=float("inf"))
        return reachable_members(self.members, until)

    def _perform(self, commands: list[FleetCommand]) -> None:
        for command in commands:
            match command:
                case Send(address, message):
                    self._hub.send(address, message)
                case MembersChanged(members):
                    self.apply_members(members)
                case PeerRevision(address, revision):
                    for on_revision in self._on_revision:
                        on_revision(address, revision)
                case LeavingTargetsLearned(leaving_targets):
                    for on_leaving_targets in self._on_leaving_targets:
                        on_leaving_targets(leaving_targets)
                case Rejoined(paused_s):
                    self.rejoins += 1
                    LOG.warning(
                        f"This box was away for {paused_s:.1f} s. It joins the fleet again."
                    )

    def apply_members(self, members: tuple[Member, ...]) -> None:
        """Set the current view of the fleet and notify the other services."""
        self._log_changes(members)
        self.members = members
        self.own = self._membership.own
        self._owners.set_members(self._reachable())
        for on_members in self._on_members:
            on_members(members)

    def _log_changes(self, members: tuple[Member, ...]) -> None:
        """Log which members joined, left or changed; unchanged record objects are skipped."""
        before = self._member_by_address
        changed = [member for member in members if before.get(member.address) is not member]
        after = self._member_by_address = {member.address: member for member in members}
        for address in before.keys() - after.keys():
            LOG.warning(f"Box {before[address].box_id} at {address} was removed from the fleet.")
        for member in changed:
            old = before.get(member.address)
            if old is None or old.boot != member.boot:
                LOG.info(f"Box {member.box_id} at {member.address} has joined the fleet.")
            elif old.status is not member.status:
                status = member.status.name.lower()
                LOG.info(f"Box {member.box_id} at {member.address} is {status}.")

    async def _read_box_list(self) -> None:
        """Read the platform's box list while this box is alone or a watcher."""
        while True:
            if len(self.members) == 1 or self.is_watcher():
                result = await self._box_list.read()
                match result:
                    case Success(boxes):
                        seeds = tuple(boxes.live) + tuple(boxes.leaving)
                        self._inbox.put(partial(self._set_seeds, seeds))
            await anyio.sleep(BOX_LIST_PERIOD_S if len(self.members) > 1 else ALONE_PERIOD_S)

    def _set_seeds(self, seeds: tuple[str, ...], now: float) -> list[FleetCommand]:
        self._membership.set_seeds(seeds)
        return self._membership.tick(now)
