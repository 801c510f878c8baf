"""The decisions of membership: whom to probe, whom to suspect, and what to believe."""

import random
from typing import NamedTuple

from trackwheel.fleet.const import (
    AWAY_FACTOR,
    HEARSAY_FACTOR,
    INDIRECT_PROBES,
    INSISTENT_PROBES,
    NOTE_LIFETIME_S,
    RUMOUR_SENDS_PER_DOUBLING,
    SEED_PERIOD_S,
    SYNC_AFTER_MISMATCHES,
    SYNC_BUCKETS,
    TOMBSTONE_S,
)
from trackwheel.fleet.members import MemberTable, supersedes
from trackwheel.fleet.models import (
    Ack,
    FleetCommand,
    LeavingTarget,
    LeavingTargetsLearned,
    Member,
    MembersChanged,
    PeerRevision,
    Probe,
    ProbeReport,
    ProbeRequest,
    Rejoined,
    Send,
    Status,
    SyncReply,
    SyncRequest,
)
from trackwheel.fleet.probes import Probes
from trackwheel.fleet.rumours import Rumours


class Timing(NamedTuple):
    """Hold the periods of the protocol (seconds), and how often each rumour is told.

    `rumour_sends` counts the sends of one rumour for each doubling of the fleet.
    """

    probe_period_s: float
    probe_timeout_s: float
    suspicion_s: float
    gossip_sends: int = RUMOUR_SENDS_PER_DOUBLING


class Membership:
    """Decide, from messages and the time, what this box believes of the fleet."""

    def __init__(self, own: Member, timing: Timing, seed: int) -> None:
        self._own = own
        self._timing = timing
        self._random = random.Random(seed)
        self._table = MemberTable()
        self._table.merge(own)
        self._rumours: Rumours[str, Member] = Rumours(timing.gossip_sends)
        self._rumours.add(own.address, own)
        self._note_rumours: Rumours[str, LeavingTarget] = Rumours(timing.gossip_sends)
        self._note_expiry_by_note: dict[LeavingTarget, float] = {}
        self._seeds: tuple[str, ...] = ()
        self._files_revision = 0
        self._sequence = 0
        self._probes = Probes(timing.probe_timeout_s)
        self._suspected_until_by_address: dict[str, float] = {}
        self._died_at_by_address: dict[str, float] = {}
        self._mismatches_by_address: dict[str, int] = {}
        self._next_probe_at = 0.0
        self._next_seed_at = 0.0
        self._next_insistence_at = 0.0
        self._last_tick: float | None = None
        self._commands: list[FleetCommand] = []
        self._changed = True
        self._monitored_cache: list[str] | None = None

    @property
    def own(self) -> Member:
        """Return this box's own record."""
        return self._own

    @property
    def members(self) -> tuple[Member, ...]:
        """Return all members that are not dead."""
        return tuple(self._table.present())

    @property
    def monitored(self) -> tuple[str, ...]:
        """Return the addresses of the boxes that this box probes."""
        return tuple(self._monitored())

    def set_seeds(self, addresses: tuple[str, ...]) -> None:
        """Take the addresses of the platform's box list."""
        self._seeds = tuple(address for address in addresses if address != self._own.address)

    def set_files_revision(self, revision: int) -> None:
        """Take the revision that this box has in force."""
        self._files_revision = revision

    def leave(self) -> list[FleetCommand]:
        """Say to the fleet that this box is leaving."""
        self._renew_own(Status.LEAVING, self._own.incarnation)
        for address in self._monitored():
            self._send_probe(address)
        return self._flush()

    def announce_leaving_target(self, note: LeavingTarget, now: float) -> list[FleetCommand]:
        """Tell the fleet that a target is leaving, the monitored members at once.

        Another box that may ask it sends it work until it hears this. With the next probes alone
        the last of six boxes heard of it after 0.48 s in the middle, 0.79 s at most (twenty runs in
        virtual time, a probe each half second); told at once, after 0.28 s and 0.48 s.
        """
        if note in self._note_expiry_by_note:
            return self._flush()
        self._learn_notes([note], now)
        for address in self._monitored():
            self._send_probe(address)
        return self._flush()

    def link_lost(self, address: str, now: float) -> list[FleetCommand]:
        """Probe a member at once whose link broke."""
        member = self._table.member_by_address.get(address)
        if member is None or member.status is Status.DEAD or address not in self._monitored():
            return []
        self._start_probe(address, now)
        return self._flush()

    def next_wake(self) -> float:
        """Return when `tick` is next needed (seconds)."""
        times = [self._next_probe_at, self._next_seed_at]
        times.append(self._probes.next_wake())
        if self._suspected_until_by_address:
            times.extend(self._suspected_until_by_address.values())
            times.append(self._next_insistence_at)
        return min(times)

    def tick(self, now: float) -> list[FleetCommand]:
        """Do what is due."""
        self._notice_absence(now)
        self._last_tick = now
        self._follow_probes(now)
        self._insist(now)
        self._bury(now)
        self._forget(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._timing.probe_period_s
            for address in self._monitored():
                self._start_probe(address, now)
        if now >= self._next_seed_at:
            self._next_seed_at = now + SEED_PERIOD_S
            self._greet_seed()
        return self._flush()

    def receive(self, sender: str, message: object, now: float) -> list[FleetCommand]:
        """Take one message from a box at an address."""
        self._notice_absence(now)
        if isinstance(message, Probe):
            self._learn(sender, message, now)
            self._send(sender, self._ack(message.sequence))
        elif isinstance(message, Ack):
            self._learn(sender, message, now)
            self._take_ack(sender, message.sequence, now)
        elif isinstance(message, ProbeRequest):
            self._help(sender, message, now)
        elif isinstance(message, ProbeReport):
            self._probes.answered(message.sequence)
        elif isinstance(message, SyncRequest):
            self._answer_sync(sender, message, now)
        elif isinstance(message, SyncReply):
            self._take_sync(sender, message, now)
        return self._flush()

    def _notice_absence(self, now: float) -> None:
        """Forget what was under way when this box was frozen, and come back as new."""
        if self._last_tick is None:
            return
        paused_s = now - self._last_tick
        if paused_s <= AWAY_FACTOR * self._timing.probe_period_s + self._timing.probe_timeout_s:
            return
        self._last_tick = now
        self._probes.clear()
        self._suspected_until_by_address = {
            address: now + self._timing.suspicion_s for address in self._suspected_until_by_address
        }
        self._renew_own(self._own.status, self._own.incarnation + 1)
        self._commands.append(Rejoined(paused_s))

    def _renew_own(self, status: Status, incarnation: int) -> None:
        self._own = self._own._replace(status=status, incarnation=incarnation)
        self._table.merge(self._own)
        self._rumours.add(self._own.address, self._own)
        self._changed = True

    def _monitored(self) -> list[str]:
        """Return the members that this box probes: its successor on each of a few rings."""
        if self._monitored_cache is None:
            self._monitored_cache = self._table.successors(self._own.address)
        return self._monitored_cache

    def _start_probe(self, address: str, now: float) -> None:
        self._probes.begin(self._send_probe(address), address, now)

    def _send_probe(self, address: str) -> int:
        self._sequence += 1
        digest = self._table.digest
        rumours, notes = self._take_rumours(address)
        probe = Probe(self._sequence, self._own, digest, self._files_revision, rumours, notes)
        self._send(address, probe)
        return self._sequence

    def _ack(self, sequence: int) -> Ack:
        rumours, notes = self._take_rumours("")
        return Ack(sequence, self._own, self._table.digest, self._files_revision, rumours, notes)

    def _take_rumours(self, address: str) -> tuple[list[Member], list[LeavingTarget]]:
        size = len(self._table.member_by_address)
        rumours = self._rumours.take(size)
        told = self._table.member_by_address.get(address)
        if told is not None and told.status is not Status.ALIVE and told not in rumours:
            # Whoever is doubted must hear of it, so that it can contradict.
            rumours.append(told)
        return rumours, self._note_rumours.take(size)

    def _send(
        self,
        address: str,
        message: Probe | Ack | ProbeRequest | ProbeReport | SyncRequest | SyncReply,
    ) -> None:
        self._commands.append(Send(address, message))

    def _flush(self) -> list[FleetCommand]:
        commands, self._commands = self._commands, []
        if self._changed:
            self._changed = False
            self._monitored_cache = None
            commands.append(MembersChanged(self.members))
        return commands

    def _learn(self, sender: str, message: Probe | Ack, now: float) -> None:
        self._merge(message.sender, now)
        for member in message.rumours:
            self._merge(member, now)
        self._learn_notes(message.notes, now)
        self._commands.append(PeerRevision(sender, message.files_revision))
        self._compare(sender, message.digest)

    def _learn_notes(self, notes: list[LeavingTarget], now: float) -> None:
        fresh = tuple(note for note in notes if note not in self._note_expiry_by_note)
        for note in fresh:
            self._note_expiry_by_note[note] = now + NOTE_LIFETIME_S
            self._note_rumours.add(note.address, note)
        if fresh:
            self._commands.append(LeavingTargetsLearned(fresh))

    def _compare(self, sender: str, digest: int) -> None:
        """Ask for the records that differ when a difference lasts longer than rumours do."""
        if digest == self._table.digest:
            self._mismatches_by_address.pop(sender, None)
            return
        count = self._mismatches_by_address.get(sender, 0) + 1
        self._mismatches_by_address[sender] = count
        if count >= SYNC_AFTER_MISMATCHES:
            self._mismatches_by_address[sender] = 0
            self._send(sender, self._sync_request())

    def _sync_request(self) -> SyncRequest:
        notes = list(self._note_expiry_by_note)
        return SyncRequest(self._own, list(self._table.bucket_digests), notes)

    def _answer_sync(self, sender: str, message: SyncRequest, now: float) -> None:
        self._merge(message.sender, now)
        self._learn_notes(message.notes, now)
        if len(message.bucket_digests) != SYNC_BUCKETS:
            return
        pairs = zip(message.bucket_digests, self._table.bucket_digests, strict=True)
        differing = {bucket for bucket, (theirs, own) in enumerate(pairs) if theirs != own}
        notes = list(self._note_expiry_by_note)
        reply = SyncReply(self._table.in_buckets(differing), sorted(differing), notes)
        self._send(sender, reply)

    def _take_sync(self, sender: str, message: SyncReply, now: float) -> None:
        for member in message.members:
            self._merge(member, now, tell=False)
        self._learn_notes(message.notes, now)
        if message.wanted_buckets:
            wanted = self._table.in_buckets(set(message.wanted_buckets))
            self._send(sender, SyncReply(wanted, [], []))

    def _merge(self, member: Member, now: float, tell: bool = True) -> None:
        """Take a record; what came in an exchange of tables is not told on as news."""
        if member.address == self._own.address:
            self._contradict(member)
            return
        old = self._table.member_by_address.get(member.address)
        if old is None and member.status is Status.DEAD:
            return
        if not self._table.merge(member):
            return
        if tell:
            self._rumours.add(member.address, member)
        self._changed = True
        self._monitored_cache = None
        self._suspected_until_by_address.pop(member.address, None)
        self._died_at_by_address.pop(member.address, None)
        if member.status is Status.SUSPECT:
            self._suspected_until_by_address[member.address] = self._burial_time(
                member.address, now
            )
        elif member.status is Status.DEAD:
            self._died_at_by_address[member.address] = now

    def _burial_time(self, address: str, now: float) -> float:
        """Return when a suspect counts as dead here unless it contradicts.

        Boxes that do not probe it leave that to those that do, which hear from it directly.
        """
        if address in self._monitored():
            return now + self._timing.suspicion_s
        return now + HEARSAY_FACTOR * self._timing.suspicion_s

    def _contradict(self, member: Member) -> None:
        """Answer a record about this box that is newer than its own."""
        if supersedes(member, self._own):
            self._renew_own(self._own.status, member.incarnation + 1)

    def _take_ack(self, sender: str, sequence: int, now: float) -> None:
        self._probes.answered(sequence)
        if sender in self._suspected_until_by_address:
            # It lives; its word against the suspicion is still on its way.
            self._suspected_until_by_address[sender] = self._burial_time(sender, now)
        helping = self._probes.helped(sequence)
        if helping is not None and helping.subject == sender:
            self._send(helping.asker, ProbeReport(helping.asked_sequence, sender))

    def _help(self, sender: str, message: ProbeRequest, now: float) -> None:
        sequence = self._send_probe(message.subject)
        self._probes.help(sequence, sender, message.sequence, message.subject, now)

    def _follow_probes(self, now: float) -> None:
        for sequence, address in self._probes.take_late(now):
            self._ask_helpers(sequence, address)
        for address in self._probes.take_unanswered(now):
            self._suspect(address, now)

    def _ask_helpers(self, sequence: int, subject: str) -> None:
        excluded = (subject, self._own.address)
        others = [m.address for m in self._table.present() if m.address not in excluded]
        for helper in self._random.sample(others, min(INDIRECT_PROBES, len(others))):
            self._send(helper, ProbeRequest(sequence, subject))

    def _suspect(self, address: str, now: float) -> None:
        member = self._table.member_by_address.get(address)
        if member is None or member.status in (Status.SUSPECT, Status.DEAD):
            return
        if member.status is Status.LEAVING:
            self._merge(member._replace(status=Status.DEAD), now)
            return
        self._merge(member._replace(status=Status.SUSPECT), now)

    def _insist(self, now: float) -> None:
        """Probe suspects again and again, so that lost messages alone bury nobody."""
        if not self._suspected_until_by_address or now < self._next_insistence_at:
            return
        self._next_insistence_at = now + self._timing.suspicion_s / INSISTENT_PROBES
        for address in self._monitored():
            if address in self._suspected_until_by_address:
                self._send_probe(address)

    def _bury(self, now: float) -> None:
        for address, until in list(self._suspected_until_by_address.items()):
            if now >= until:
                del self._suspected_until_by_address[address]
                member = self._table.member_by_address[address]
                self._merge(member._replace(status=Status.DEAD), now)

    def _forget(self, now: float) -> None:
        for address, died_at in list(self._died_at_by_address.items()):
            if now >= died_at + TOMBSTONE_S:
                del self._died_at_by_address[address]
                self._table.remove(address)
                self._mismatches_by_address.pop(address, None)
        for note, expiry in list(self._note_expiry_by_note.items()):
            if now >= expiry:
                del self._note_expiry_by_note[note]

    def _greet_seed(self) -> None:
        """Speak to one listed box that is not known as present, so that splits heal."""
        known = {*self._seeds, *self._died_at_by_address}
        unknown = sorted(address for address in known if not self._table.is_present(address))
        if unknown:
            self._send(self._random.choice(unknown), self._sync_request())
