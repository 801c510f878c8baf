"""The directory of targets: merges updates of any source in any order, without I/O."""

from collections.abc import Iterable

from trackwheel.directory.const import ENTRY_PROPAGATION_S, ENTRY_RETURN_S, LAST_RESORT_S
from trackwheel.directory.digest import EntriesDigest
from trackwheel.directory.models import EntryRemoved, TargetEntry, TargetsPush, TargetsRead
from trackwheel.directory.revisions import era_of
from trackwheel.directory.target_record import TargetRecord, is_older_write
from trackwheel.relay.models import Place, Target


class TargetDirectory:
    """Hold the latest state of each target; the revision of an entry decides which is newer.

    Entries that expired while the store was unavailable stay in use for as long as live targets
    need to write them again: all of them may have expired at once, and queries would find no target
    for any shard. An entry that is still missing then was removed.
    """

    def __init__(self, region_by_failure_domain: dict[str, str]) -> None:
        self._region_by_failure_domain = region_by_failure_domain
        self._record_by_instance: dict[str, TargetRecord] = {}
        self._removal_by_instance: dict[str, EntryRemoved] = {}
        self._store_unavailable = False
        self._store_regained_at = float("-inf")
        self.digest = EntriesDigest()
        """Digest of the entries that are present; removed and expired ones are not included."""
        self._unconfirmed_revisions: set[int] = set()
        """Revisions of changes that were read while earlier changes may still be missing."""
        self.known_revision = 0
        """The revision up to which all changes are known here; only this one is announced to peers.

        The pages of a read are taken at different times. A later page may hold changes that are
        newer than changes of earlier pages, which only the next watch returns. A box that announced
        the newest change it had seen never passed those on, and a leaving target got requests for
        as long as it lived.
        """
        self._first_complete_revision = 0
        """The revision at which this box first knew everything. Earlier removals are unknown here,
        so a peer that knows less is sent everything."""

    @property
    def is_loaded(self) -> bool:
        """Return whether targets have been received, possibly from a stale copy."""
        return self.known_revision > 0 or bool(self._record_by_instance)

    def awaits_returns(self, now: float) -> bool:
        """Return whether entries that expired while the store was unavailable may still return."""
        return self._outage_return_s(now) > 0.0

    def store_lost(self) -> None:
        """Record that the store does not answer: entries of live targets may expire."""
        self._store_unavailable = True

    def store_regained(self, now: float) -> None:
        """Record that the store answers again."""
        if self._store_unavailable:
            self._store_unavailable = False
            self._store_regained_at = now

    def apply(self, read: TargetsRead, now: float) -> bool:
        """Apply a read or changes of the store; return whether the targets changed."""
        self._detect_restore(read.as_of, now)
        changed = [
            self._track_change(self._merge(entry, now), entry.revision) for entry in read.entries
        ]
        changed += [
            self._track_change(
                self._remove(self._with_return_time(removal, now), now), removal.revision
            )
            for removal in read.removed
        ]
        if read.since is None:
            listed = {entry.instance for entry in read.entries}
            dropped = self._remove_missing(listed, read.as_of, self._outage_return_s(now), now)
            changed += [self._track_change(was_present, read.as_of) for was_present in dropped]
            self._advance_to(read.as_of)
        self._confirm_up_to(read.as_of)
        return any(changed)

    def apply_copy(self, entries: Iterable[TargetEntry], now: float) -> bool:
        """Apply entries that may be old; return whether the targets changed.

        The pages of a copy may be of different ages, so it is complete up to no revision: the
        answer of a peer brings all changes again.
        """
        return any([self._merge(entry, now) for entry in entries])

    def apply_push(self, push: TargetsPush, now: float) -> bool:
        """Apply an update of a peer; return whether the targets changed."""
        self._detect_restore(push.known_revision, now)
        changed = [self._merge(entry, now) for entry in push.entries]
        changed += [self._remove(removal, now) for removal in push.removed]
        if push.since == 0:
            listed = {entry.instance for entry in push.entries}
            changed += self._remove_missing(listed, push.known_revision, push.may_return_s, now)
        if self.known_revision >= push.since:
            self._advance_to(push.known_revision)
        return any(changed)

    def _detect_restore(self, revision: int, now: float) -> None:
        """Detect that the store was restored from a copy: what that lacks is written again soon."""
        if self.known_revision and era_of(revision) > era_of(self.known_revision):
            self._store_regained_at = now

    def _track_change(self, is_change: bool, revision: int) -> bool:
        """Track the revision of a change; an entry without changes is none."""
        if is_change:
            self._unconfirmed_revisions.add(revision)
        return is_change

    def _confirm_up_to(self, as_of: int) -> None:
        """Record that everything up to a revision has been read."""
        confirmed = {revision for revision in self._unconfirmed_revisions if revision <= as_of}
        self._unconfirmed_revisions -= confirmed
        self._advance_to(max(confirmed, default=0))

    def _advance_to(self, revision: int) -> None:
        """Record that all changes up to a revision are known."""
        if self.known_revision == 0:
            self._first_complete_revision = revision
        self.known_revision = max(self.known_revision, revision)

    def changes_since(self, since: int, now: float) -> TargetsPush:
        """Return all changes after a revision, for a peer that knows those up to it.

        A peer that knows less than this box did at first is sent everything: neither may know of
        the removals between.
        """
        if since < self._first_complete_revision:
            since = 0
        entries = [
            record.entry
            for record in self._record_by_instance.values()
            if record.present and record.changed_revision > since
        ]
        removed = [
            removed._replace(may_return_s=self._removal_return_s(removed.instance, now))
            for removed in self._removal_by_instance.values()
            if removed.revision > since
        ]
        return TargetsPush(since, self.known_revision, entries, removed, self._outage_return_s(now))

    def expire(self, now: float) -> bool:
        """Drop targets whose time as a last resort is over; return whether there were any."""
        expired = [
            instance
            for instance, record in self._record_by_instance.items()
            if not record.present and record.remove_at <= now
        ]
        for instance in expired:
            self._drop(instance)
        return bool(expired)

    def next_expiry(self) -> float:
        """Return when `expire` is due next (monotonic seconds)."""
        times = (
            record.remove_at for record in self._record_by_instance.values() if not record.present
        )
        return min(times, default=float("inf"))

    def targets_by_service(
        self, evacuated: frozenset[str] = frozenset()
    ) -> dict[str, tuple[Target, ...]]:
        """Return the targets of each service for the target selection.

        Targets in evacuated failure domains are excluded.
        """
        found: dict[str, list[Target]] = {}
        for record in self._record_by_instance.values():
            entry = record.entry
            region = self._region_by_failure_domain.get(entry.failure_domain, "")
            target = Target(
                instance=entry.instance,
                service=entry.service,
                address=entry.address,
                place=Place(region, entry.failure_domain),
                slots=entry.slots,
                excluded=entry.leaving or entry.failure_domain in evacuated,
                presumed_gone=not record.present and not record.may_return,
                cold_until=record.warmup_until,
                born_ms=entry.born_ms,
            )
            found.setdefault(entry.service, []).append(target)
        return {service: tuple(targets) for service, targets in found.items()}

    def _merge(self, entry: TargetEntry, now: float) -> bool:
        removal = self._removal_by_instance.get(entry.instance)
        if removal is not None and (
            removal.revision >= entry.revision or is_older_write(entry, removal)
        ):
            return False
        record = self._record_by_instance.get(entry.instance)
        if record is not None and record.present:
            if record.entry.revision >= entry.revision:
                return False
            if is_older_write(entry, record.entry):
                self._replace_entry(record, record.entry._replace(revision=entry.revision))
                return False
            entry = record.keep_leaving(entry)
            if record.same_state(entry) and not record.warms_up_longer(entry, now):
                self._replace_entry(record, entry)
                return False
        self._removal_by_instance.pop(entry.instance, None)
        self._replace_record(TargetRecord(entry, entry.revision, now + entry.warmup_left_s))
        return True

    def _with_return_time(self, removal: EntryRemoved, now: float) -> EntryRemoved:
        """Return a removal read from the store, with the time in which the entry may return."""
        return removal._replace(may_return_s=self._outage_return_s(now))

    def _outage_return_s(self, now: float) -> float:
        """Return how long entries that expired in an outage may still return (seconds)."""
        returns_until = self._store_regained_at + ENTRY_RETURN_S + ENTRY_PROPAGATION_S
        return max(0.0, returns_until - now)

    def _removal_return_s(self, instance: str, now: float) -> float:
        """Return how long a removed entry may still return, as far as is known here."""
        record = self._record_by_instance.get(instance)
        return max(0.0, record.remove_at - now) if record is not None and record.may_return else 0.0

    def _remove(self, removal: EntryRemoved, now: float) -> bool:
        """Apply the removal of an entry; return whether the targets changed."""
        record = self._record_by_instance.get(removal.instance)
        if record is not None and record.entry.revision > removal.revision:
            return False
        self._record_removal(removal, record)
        if record is None or not record.present:
            return False
        if record.entry.leaving:
            self._drop(removal.instance)
            return True
        may_return = removal.may_return_s > 0.0
        self._replace_record(
            record._replace(
                present=False,
                remove_at=now + (removal.may_return_s if may_return else LAST_RESORT_S),
                may_return=may_return,
            )
        )
        return True

    def _record_removal(self, removal: EntryRemoved, record: TargetRecord | None) -> None:
        """Keep the revision of a removal and the last write of the target."""
        known = self._removal_by_instance.get(removal.instance)
        if known is not None and known.revision >= removal.revision:
            return
        writes = [
            (write.born_ms, write.sequence) for write in (removal, known) if write is not None
        ]
        if record is not None:
            writes.append((record.entry.born_ms, record.entry.sequence))
        born_ms, sequence = max(writes)
        self._removal_by_instance[removal.instance] = EntryRemoved(
            removal.instance, removal.revision, 0.0, born_ms, sequence
        )

    def _replace_record(self, record: TargetRecord) -> None:
        """Replace the record of a target."""
        self._drop(record.entry.instance)
        self._record_by_instance[record.entry.instance] = record
        if record.present:
            self.digest.add(record.entry)

    def _replace_entry(self, record: TargetRecord, entry: TargetEntry) -> None:
        """Replace an entry by one of the same state, which leaves the digest unchanged."""
        self._record_by_instance[entry.instance] = record._replace(entry=entry)

    def _drop(self, instance: str) -> None:
        """Delete the record of a target, if there is one."""
        record = self._record_by_instance.pop(instance, None)
        if record is not None and record.present:
            self.digest.remove(record.entry)

    def _remove_missing(
        self, listed: set[str], as_of: int, may_return_s: float, now: float
    ) -> list[bool]:
        """Remove what a complete list up to a revision lacks, unless it is newer."""
        missing = [
            record.entry.instance
            for record in self._record_by_instance.values()
            if record.entry.instance not in listed and record.present
        ]
        return [
            self._remove(EntryRemoved(instance, as_of, may_return_s), now) for instance in missing
        ]
