"""The table of proofs: each promise by failure, the test that shows it, and how it fails first.

`script/prove [PROMISE]` runs the rows; with `--mutants` it takes each row's mechanism out of a
copy of the code and expects the row to fail. docs/PROOFS.md is written from this table.
"""

from typing import NamedTuple


class Mutant(NamedTuple):
    """Take a mechanism out of the code: replace one text in one file."""

    file: str
    old: str
    new: str


class Row(NamedTuple):
    """Name one proof."""

    part: str
    promise: str
    failure: str
    test: str
    mutant: Mutant | None = None


TRUTH, LOAD, FILES, FLEET = "truth", "load", "files", "fleet"
PLATFORM = "platform"
PARTS = (TRUTH, LOAD, FILES, FLEET, PLATFORM)

GATHER = "tests/gateway/test_gather.py::"
ONCE = "tests/gateway/test_execution.py::"
TARGETS = "tests/whole/test_target_faults.py::"
BOXES = "tests/whole/test_box_faults.py::"
TLS = "tests/whole/test_tls.py::"
WHOLE = "tests/whole/test_path.py::"
STORE = "tests/whole/test_files_faults.py::"
APPLY = "tests/files/test_apply.py::"
STORED = "tests/files/test_stored.py::"
KEEPER = "tests/files/test_keeper.py::"
LINE = "tests/dispatch/test_target_scheduler.py::"
SHARING = "tests/dispatch/test_sharing.py::"
PAUSES = "tests/dispatch/test_service_time.py::"
REPLICAS = "tests/gateway/test_target_selector.py::"
MEMBERS = "tests/fleet/test_membership.py::"
SHARDS = "tests/gathering/test_gather.py::"
HOMES = "tests/relay/test_homes.py::"
COLD = "tests/selection/test_cold.py::"
INCARNATIONS = "tests/selection/test_incarnations.py::"
ENTRIES = "tests/platform/test_entries.py::"
EVACUATED = "tests/directory/test_evacuations.py::"
PARTS_IN = "tests/gathering/test_parts.py::"
SINGLE = "tests/relay/test_single.py::"
REPEATS = "tests/selection/test_budget.py::"
CHOICE = "tests/selection/test_target_selector.py::"
HTTP_TARGET = "tests/http1/test_client.py::"
ANSWER_LIMITS = "tests/http1/test_answer_limits.py::"
HTTP_CLIENT = "tests/http1/test_server.py::"
DIRECTORY = "tests/directory/test_targets.py::"
WATCHING = "tests/directory/test_watcher_election.py::"
OUTAGE = "tests/directory/test_store_outage.py::"
DOWN_REPORTS = "tests/selection/test_down_reports.py::"
CRASHING = "tests/whole/test_crashing_request.py::"
CRASHING_QUERY = "tests/gathering/test_crashing_query.py::"
CRASH_TRACKER = "tests/quarantine/test_crash_tracker.py::"
HOLDING = "tests/quarantine/test_fleet.py::"
CLOCK = "tests/test_clock.py::"
READINGS = "tests/directory/test_readings.py::"
WIRE = "tests/platform/test_wire.py::"
START = "tests/relay/test_service.py::"
ENTRY = "tests/whole/test_entry.py::"
RETURNS = "tests/admission/test_return_times.py::"
OUTLOOKS = "tests/admission/test_outlooks.py::"
LIMITED = "a group's limit counts over all boxes, and below it nothing is refused"
LIMIT_LOADS = "tests/limits/test_loads.py::"
LIMIT_SHARES = "tests/limits/test_shares.py::"
KEYS = "tests/groups/test_keys.py::"
GROUPS = "tests/platform/test_groups.py::"
CHECKS = "tests/relay/test_entry_checks.py::"
IDENTIFIED = "tests/relay/test_identification.py::"
KEYED = "tests/whole/test_groups.py::"
STOPPED = "tests/whole/test_stopping_box.py::"
STOPPING = "tests/relay/test_stopping.py::"
EXECUTIONS = "tests/gateway/test_stopping.py::"
INBOUND = "tests/delegation/test_inbound_groups.py::"
OUTBOUND = "tests/delegation/test_outbound_groups.py::"

SERVED = "a request with time left is not given up for what passes soon"
CAUSES = "each request that is not served names its cause"
SNAPSHOT = "one snapshot"
COVERAGE = "true coverage"
OWN = "the whole answer, only to its caller"
NOT_RUN = "not run means not run"
AT_MOST_ONCE = "at most once"
AT_ONCE = "given up on: final answer at once, with when to come back"
LEAVING = "a leaving target gets no new work"
CLIENTS = "no clients can take the memory, the time or the sockets of a box"
BOUNDED = "no target and no store can take the memory of a box"
IN_TIME = "what the operator writes is in force everywhere in time"
SET_BACK = "a store that comes back from an older copy takes nothing back"
STOP = "a planned stop cuts off nothing"
SHARE = "fair shares"
IN_FORCE = "an accepted file is in force everywhere and never reverts"
MEMBERSHIP = "the fleet mends itself"
IN_HOMES = "a route's requests stay in its homes"
EVACUATION = "an evacuated failure domain gets nothing more"
COLD_BOUND = "a cold target gets no more than it bears, from all boxes together"
TOLD = "a told load is used, or its loss is told"
HELD = "a request that ends its targets goes to no more"
SUSPENDED = "a box that was suspended knows it"
ONE_LIFE = "what is believed of a target ends with its life"
FOREIGN = "an entry of another writer names no target, and the others hold"
BUDGET = "repeats stay within the budget of all boxes together"
GONE = "work of a client that left is cancelled"
IDENTITY = "a request is its key's group's, and nobody else learns the key"
RELEASED = "what a check keeps of a request is released once"
PAUSE = "a pause is no overload: work that can be done in time is not refused"

ROWS = (
    Row(
        TRUTH,
        SNAPSHOT,
        "any order of answers, versions, failures and ticks (1,500 generated sessions)",
        GATHER + "test_answers_are_consistent_for_any_event_order",
        Mutant(
            "trackwheel/gateway/snapshots.py",
            "items = self._items_by_snapshot.setdefault(snapshot, {})",
            "items = self._items_by_snapshot.setdefault(Snapshot(0, snapshot.map_size), {})",
        ),
    ),
    Row(
        TRUTH,
        SNAPSHOT,
        "a version comes to an instance whose other target is ejected, leaving or failing",
        GATHER + "test_lagging_instance_is_awaited_when_its_other_target_is_out",
        Mutant(
            "trackwheel/gateway/gather.py",
            "        self._instances[number].tried = without_version if available else set()\n",
            "        self._instances[number].tried = without_version\n",
        ),
    ),
    Row(
        TRUTH,
        SNAPSHOT,
        "versions flip three times under load",
        TARGETS + "test_versions_flip_under_load",
        Mutant(
            "trackwheel/gateway/gather.py",
            "        if not self._reselect_version(now):\n            self._await_version",
            "        if False:\n            self._await_version",
        ),
    ),
    Row(
        TRUTH,
        SNAPSHOT,
        "an index is set back to an older version",
        GATHER + "test_index_that_was_set_back_is_answered_at_its_older_version",
        Mutant(
            "trackwheel/gateway/snapshots.py",
            "known = frozenset(candidates)",
            "known = frozenset(candidates) | {self.version or 0}",
        ),
    ),
    Row(
        TRUTH,
        COVERAGE,
        "a repartition under load: shards split and move",
        TARGETS + "test_repartition_under_load",
    ),
    Row(
        TRUTH,
        COVERAGE,
        "a shard is moved to two instances, another to none",
        GATHER + "test_moved_shard_is_counted_once_and_a_lost_one_is_listed",
        Mutant(
            "trackwheel/gateway/snapshots.py",
            "total = snapshot.map_size if snapshot else instances",
            "total = len(items) if snapshot else instances",
        ),
    ),
    Row(
        TRUTH,
        COVERAGE,
        "a whole instance sheds",
        TARGETS + "test_query_with_a_shedding_instance_fails_at_once_with_its_reason",
    ),
    Row(
        TRUTH,
        OWN,
        "half, foreign, hung, slow, shed and lying targets",
        TARGETS + "test_replica_covers_for_a_faulty_target",
        Mutant(
            "trackwheel/gateway/gather.py",
            "if possible and (free or self._budget.try_spend(mandatory)):",
            "if False:",
        ),
    ),
    Row(
        TRUTH,
        OWN,
        "doubled answers and answers of other asks",
        GATHER + "test_duplicate_and_foreign_answers_are_ignored",
        Mutant(
            "trackwheel/gateway/gather.py",
            "subrequest = self._subrequest_by_nonce.pop(event.nonce, None)",
            "subrequest = self._subrequest_by_nonce.get(event.nonce)",
        ),
    ),
    Row(
        TRUTH,
        OWN,
        "an answer with another nonce, without its end, in half, of a refusal",
        "tests/dispatch/test_reply_classifier.py::test_only_a_complete_answer_with_the_own_nonce_is_ok",
        Mutant(
            "trackwheel/dispatch/reply_classifier.py",
            "own = head.nonce == work.key.wire_nonce() and head.end",
            "own = True",
        ),
    ),
    Row(
        TRUTH,
        NOT_RUN,
        "refusals of a permitted request that prove nothing",
        "tests/dispatch/test_reply_classifier.py::test_only_a_refusal_with_the_own_nonce_proves_not_run",
        Mutant(
            "trackwheel/dispatch/reply_classifier.py",
            "            if refusal.nonce == work.key.wire_nonce():\n",
            "            if True:\n",
        ),
    ),
    Row(
        TRUTH,
        OWN,
        "digest, length and end mark",
        WHOLE + "test_answer_has_its_digest_length_and_end_mark",
    ),
    Row(
        TRUTH,
        OWN,
        "no key, a wrong key, another group's service",
        WHOLE + "test_invalid_requests_are_refused_with_their_error_code",
    ),
    Row(
        TRUTH,
        AT_MOST_ONCE,
        "any order of permits, runs, lost owners, repeats (3,000 generated sessions)",
        ONCE + "test_requests_run_at_most_once_for_any_event_order",
        Mutant(
            "trackwheel/gateway/ledger.py",
            "        if record.permitted:\n            return False\n",
            "",
        ),
    ),
    Row(
        TRUTH,
        AT_MOST_ONCE,
        "600 requests while a box freezes, one dies, targets lose replies and shed",
        BOXES + "test_requests_run_at_most_once_while_boxes_freeze_die_and_targets_lose_replies",
    ),
    Row(
        TRUTH,
        AT_MOST_ONCE,
        "a caller repeats at another box",
        WHOLE + "test_repeated_id_returns_the_first_answer_at_any_box",
        Mutant(
            "trackwheel/gateway/ledger.py",
            "        if record.outcome is not None:\n            return Decision(Verdict.FINAL",
            "        if False:\n            return Decision(Verdict.FINAL",
        ),
    ),
    Row(
        TRUTH,
        NOT_RUN,
        "deadline, killed owner and refusing target, before and after the permit",
        ONCE + "test_outcome_reported_to_the_caller",
        Mutant(
            "trackwheel/gateway/execution.py",
            "        if self._permitted:\n            return self._fail",
            "        if False:\n            return self._fail",
        ),
    ),
    Row(
        TRUTH,
        NOT_RUN,
        "an owner frozen past the deadline wakes with the request queued",
        ONCE + "test_no_permit_after_an_attempt_ended_and_a_repeat_starts_another",
        Mutant(
            "trackwheel/gateway/ledger.py",
            "if record is None or not record.running or record.attempt != attempt:",
            "if record is None or record.attempt != attempt:",
        ),
    ),
    Row(
        TRUTH,
        NOT_RUN,
        "a permit that comes too late to its owner",
        LINE + "test_missing_permit_frees_the_slot",
    ),
    Row(
        TRUTH,
        AT_ONCE,
        "all replicas of a shard shed",
        GATHER + "test_query_fails_at_once_when_full_coverage_is_unreachable",
        Mutant(
            "trackwheel/gateway/gather.py",
            "if nothing_more or now >= self._hard_deadline or self._coverage_unreachable(least):",
            "if nothing_more or now >= self._hard_deadline:",
        ),
    ),
    Row(
        TRUTH,
        AT_ONCE,
        "queued work that can no longer end in time",
        LINE + "test_work_that_cannot_finish_in_time_is_dropped_before_its_deadline",
        Mutant(
            "trackwheel/dispatch/target_scheduler.py",
            "drop_before(now + self._limiter.likely_s)",
            "drop_before(now)",
        ),
    ),
    Row(
        LOAD,
        SHARE,
        "three times the capacity, five mixes of groups, one at 100 times its share",
        SHARING + "test_slot_time_follows_shares",
        Mutant(
            "trackwheel/dispatch/fair_queue.py",
            "chosen.finish = earliest + cost_s / chosen.share",
            "chosen.finish = earliest + cost_s",
        ),
    ),
    Row(
        LOAD,
        SHARE,
        "a group that was idle returns",
        SHARING + "test_idle_share_is_used_and_returned_within_a_second",
    ),
    Row(
        LOAD,
        SHARE,
        "a group that was idle for a while claims no more than its share",
        SHARING + "test_idle_group_accumulates_no_credit",
        Mutant(
            "trackwheel/dispatch/fair_queue.py",
            "start = max(self._virtual_time, queue.finish)",
            "start = queue.finish",
        ),
    ),
    Row(
        LOAD,
        SHARE,
        "slots claimed wrongly in either direction",
        SHARING + "test_limit_converges_to_the_true_slots",
        Mutant(
            "trackwheel/dispatch/limiter.py",
            "        best = self._best_concurrency()\n        if best != self.limit:",
            "        best = self.limit\n        if best != self.limit:",
        ),
    ),
    Row(
        LOAD,
        SHARE,
        "the connection cap under any load",
        SHARING + "test_connection_limit_is_never_exceeded",
        Mutant(
            "trackwheel/dispatch/limiter.py",
            "self._max_limit = max(1, connections - RESERVED_CONNECTIONS)",
            "self._max_limit = 1000",
        ),
    ),
    Row(
        LOAD,
        SHARE,
        "an index flips: thousands of asks are owed, hedges return soon",
        "tests/gateway/test_budget.py::test_hedges_resume_soon_after_a_version_switch",
        Mutant(
            "trackwheel/gateway/budget.py",
            "max(-BUDGET_MAX_DEBT, self._tokens - 1.0)",
            "self._tokens - 1",
        ),
    ),
    Row(
        LOAD,
        SHARE,
        "a target that was left out for long has started anew",
        LINE + "test_restarted_target_is_tried_at_once",
        Mutant("trackwheel/dispatch/ejection.py", "self.until = min(self.until, now)", "pass"),
    ),
    Row(
        LOAD,
        SHARE,
        "a target is slow for a second, so that nothing seems to end in time",
        SHARING + "test_target_that_was_slow_for_a_second_is_used_again",
        Mutant("trackwheel/dispatch/target_scheduler.py", "self._trial.allows(now)", "False"),
    ),
    Row(
        LOAD,
        SHARE,
        "a target stays too slow for its work",
        LINE + "test_failed_trial_is_followed_by_a_backoff",
        Mutant(
            "trackwheel/dispatch/trial.py", "self._key is None and now >= self._next_at", "True"
        ),
    ),
    Row(
        LOAD,
        SHARE,
        "a target sheds for five seconds and recovers",
        SHARING + "test_shedding_target_gets_little_work_and_recovers_within_two_seconds",
    ),
    Row(
        LOAD,
        LEAVING,
        "each of five signs",
        LINE + "test_leaving_target_gets_no_new_work",
        Mutant(
            "trackwheel/dispatch/target_scheduler.py",
            "        if self.leaving:\n            return [Refuse(work, Outcome.LEAVING",
            "        if False:\n            return [Refuse(work, Outcome.LEAVING",
        ),
    ),
    Row(
        LOAD,
        LEAVING,
        "a health page that lies, an old boot's word, a new boot",
        LINE + "test_only_a_new_boot_ends_leaving",
        Mutant(
            "trackwheel/dispatch/target_scheduler.py",
            "        if boot != self._boot:\n            if self._boot:\n",
            "        if not leaving or boot != self._boot:\n"
            "            self._leaving_boots.clear()\n            if self._boot:\n",
        ),
    ),
    Row(
        LOAD,
        LEAVING,
        "through real boxes, the health page truthful or lying",
        TARGETS + "test_leaving_target_gets_nothing_new",
    ),
    Row(
        LOAD,
        STOP,
        "a box stops under load, the balancer learns it a second late",
        BOXES + "test_planned_stop_cuts_off_nothing",
        Mutant("trackwheel/app.py", "        await _drain(box)\n", ""),
    ),
    Row(
        LOAD,
        STOP,
        "work of 300 ms in flight",
        BOXES + "test_planned_stop_finishes_a_slow_query_in_flight",
    ),
    Row(
        LOAD,
        STOP,
        "queries that take longer than the drain time",
        BOXES + "test_planned_stop_answers_what_its_drain_time_is_too_short_for",
        Mutant("trackwheel/app.py", "    box.end_requests()\n", "    pass\n"),
    ),
    Row(
        LOAD,
        STOP,
        "a leaving box waits for the box that issued a request's id",
        BOXES + "test_planned_stop_awaits_the_box_that_a_request_was_forwarded_to",
        Mutant("trackwheel/app.py", "            or self.forwarder.waiting\n", ""),
    ),
    Row(
        LOAD,
        STOP,
        "requests that run at most once, here and forwarded, when a box has to end",
        EXECUTIONS + "test_stop_settles_what_is_in_progress",
        Mutant(
            "trackwheel/gateway/execution_runner.py",
            "            self._apply(attempt, attempt.execution.expire())\n",
            "            pass\n",
        ),
    ),
    Row(
        LOAD,
        MEMBERSHIP,
        "reads while a box is killed, frozen, frozen and woken",
        BOXES + "test_queries_survive_a_lost_box",
    ),
    Row(
        FILES,
        IN_FORCE,
        "any order of news, stale pushes and contents (800 generated sessions)",
        KEEPER + "test_no_order_of_news_reverts_or_mixes",
        Mutant(
            "trackwheel/files/keeper.py",
            "        if not is_newer(manifest, self.manifest):\n            return []\n",
            "",
        ),
    ),
    Row(
        FILES,
        IN_FORCE,
        "up to ten operators race, replies lost, writes landing late (600 generated races)",
        APPLY + "test_racing_operators",
        Mutant(
            "trackwheel/files/apply.py",
            "        if wish.apply_id in manifest.recent_apply_ids:\n"
            "            return ApplyEnded(ApplyOutcome.ACCEPTED, manifest, None)\n",
            "",
        ),
    ),
    Row(
        FILES,
        IN_FORCE,
        "four writers and two readers of one page in any order, calls lost (400 generated orders)",
        STORED + "test_no_order_of_steps_loses_a_page_or_an_apply",
        Mutant(
            "trackwheel/files/stored.py",
            "generation.digest == committed or generation.base >= new.base",
            "generation.digest == committed",
        ),
    ),
    Row(
        FILES,
        IN_FORCE,
        "a slow reader finds its page gone since the manifest moved on",
        STORED + "test_page_that_moved_on_while_a_slow_reader_read_is_not_called_lost",
        Mutant("trackwheel/files/stored.py", "again.unwrap().revision == revision", "True"),
    ),
    Row(
        FILES,
        IN_FORCE,
        "a page is lost from the store",
        STORED + "test_lost_page_is_told_from_a_newer_head_and_can_be_written_again",
    ),
    Row(
        FILES,
        IN_FORCE,
        "3,300 files: no value near the store's megabyte",
        STORED + "test_manifest_of_thousands_of_files_fits_and_a_change_moves_little",
        Mutant(
            "trackwheel/files/const.py", "MANIFEST_PAGES: Final = 128", "MANIFEST_PAGES: Final = 1"
        ),
    ),
    Row(
        FILES,
        IN_FORCE,
        "the box that applies is killed at each step of a slow store",
        STORE + "test_apply_is_atomic_when_its_box_is_killed",
    ),
    Row(
        FILES,
        IN_FORCE,
        "ten operators race at real boxes",
        STORE + "test_ten_concurrent_applies_do_not_overwrite_each_other",
    ),
    Row(
        FILES,
        IN_FORCE,
        "one, two and three lost replies",
        STORE + "test_lost_store_replies_do_not_fail_an_apply",
    ),
    Row(
        FILES,
        IN_FORCE,
        "an older store is restored",
        STORE + "test_store_restored_from_an_older_copy_is_updated",
    ),
    Row(
        FILES,
        IN_FORCE,
        "the store is down and all boxes but one are replaced",
        STORE + "test_box_restarted_during_a_store_outage_gets_the_files_from_its_peers",
    ),
    Row(
        FILES,
        IN_FORCE,
        "a box freezes, a file is applied, the box wakes",
        STORE + "test_resumed_box_with_old_files_catches_up",
    ),
    Row(
        FILES,
        IN_FORCE,
        "two manifests of one revision after a store was set back",
        KEEPER + "test_two_manifests_of_one_revision_end_as_the_same_everywhere",
        Mutant(
            "trackwheel/files/keeper.py",
            "return manifest_digest(new) > manifest_digest(old)",
            "return True",
        ),
    ),
    Row(
        FLEET,
        MEMBERSHIP,
        "a killed box, seven boxes",
        MEMBERS + "test_killed_box_is_removed_everywhere_within_two_seconds",
        Mutant("trackwheel/fleet/membership.py", "        self._declare_dead(now)\n", ""),
    ),
    Row(
        FLEET,
        MEMBERSHIP,
        "one message in ten, and one in five, is lost for five minutes: no false death",
        MEMBERS + "test_no_false_death_while_messages_are_lost",
        Mutant("trackwheel/fleet/membership.py", "        self._probe_suspects(now)\n", ""),
    ),
    Row(
        FLEET,
        MEMBERSHIP,
        "a frozen box returns",
        MEMBERS + "test_paused_box_is_removed_then_rejoins_as_itself",
        Mutant(
            "trackwheel/fleet/membership.py",
            "        self._commands.append(Rejoined(paused_s))\n",
            "",
        ),
    ),
    Row(
        FLEET,
        MEMBERSHIP,
        "a suspect that lives contradicts",
        MEMBERS + "test_no_false_death_while_messages_are_lost",
        Mutant(
            "trackwheel/fleet/membership.py",
            "            self._update_own(self._own.status, member.incarnation + 1)",
            "            pass",
        ),
    ),
    Row(
        FLEET,
        MEMBERSHIP,
        "a region is cut off, past all tombstones, and heals",
        MEMBERS + "test_partitioned_fleet_heals",
        Mutant(
            "trackwheel/fleet/membership.py",
            "            self._contact_seed()\n",
            "",
        ),
    ),
    Row(
        FLEET,
        MEMBERSHIP,
        "a link is cut one way",
        MEMBERS + "test_one_way_partition_does_not_spread_a_false_death",
        Mutant(
            "trackwheel/fleet/membership.py",
            "            self._request_indirect_probes(sequence, address)\n",
            "pass",
        ),
    ),
    Row(
        FLEET,
        MEMBERSHIP,
        "a lost box through real processes, killed and frozen",
        BOXES + "test_lost_box_is_detected_within_two_seconds",
    ),
    Row(
        FLEET,
        MEMBERSHIP,
        "a stranger without a certificate",
        STORE + "test_peer_without_a_certificate_receives_no_message",
        Mutant("trackwheel/tls.py", "ssl.CERT_REQUIRED", "ssl.CERT_NONE"),
    ),
    Row(
        FLEET,
        MEMBERSHIP,
        "a box with a sound certificate calls itself another one",
        TLS + "test_peer_id_must_match_its_certificate",
        Mutant("trackwheel/peers/certificate.py", "identity.box_id not in names", "False"),
    ),
    Row(
        FLEET,
        MEMBERSHIP,
        "the authority is replaced while the fleet runs, an old certificate is shown",
        TLS + "test_authority_is_replaced_without_a_restart",
        Mutant("trackwheel/tls.py", "connection.context = self._current", "pass"),
    ),
    Row(
        FLEET,
        MEMBERSHIP,
        "a certificate cannot be read at a hang-up",
        TLS + "test_unreadable_certificate_keeps_the_old_one",
        Mutant(
            "trackwheel/tls.py",
            "            except LOAD_ERRORS as error:",
            "            except KeyError as error:",
        ),
    ),
    Row(
        FLEET,
        MEMBERSHIP,
        "an operator without a certificate, or without TLS",
        TLS + "test_operators_need_a_certificate",
        Mutant("trackwheel/tls.py", "            self.verify_mode = ssl.CERT_REQUIRED\n", ""),
    ),
    Row(
        PLATFORM,
        OWN,
        "a part comes directly and again among a peer's merged ones",
        SHARDS + "test_no_shard_counts_twice",
        Mutant("trackwheel/gathering/parts.py", "self._part_by_shard.pop(shard, None)", "pass"),
    ),
    Row(
        PLATFORM,
        OWN,
        "a peer brings parts of shards that it was not asked for",
        SHARDS + "test_parts_of_shards_that_were_not_asked_are_dropped",
        Mutant("trackwheel/gathering/parts.py", "shards - set(asked) or ", ""),
    ),
    Row(
        PLATFORM,
        OWN,
        "a part comes by itself from a second peer, and merged from the first",
        PARTS_IN + "test_shards_that_come_twice_count_once",
        Mutant("trackwheel/gathering/parts.py", "if shard not in self:", "if True:"),
    ),
    Row(
        PLATFORM,
        OWN,
        "late parts leave out records that cannot count",
        PARTS_IN + "test_floor_is_the_least_record_that_can_count",
        Mutant("trackwheel/gathering/parts.py", "if shard not in self._merged_by_peer", "if True"),
    ),
    Row(
        PLATFORM,
        COVERAGE,
        "shards are late at a peer: they go beside other targets",
        SHARDS + "test_what_a_report_lacks_goes_in_one_group",
        Mutant(
            "trackwheel/gathering/gather.py",
            "delegated = self._delegate_elsewhere(missing, True, now)",
            "delegated: set[str] = set()",
        ),
    ),
    Row(
        PLATFORM,
        COVERAGE,
        "the targets beside a peer are slow: it leaves their shards to others",
        SHARDS + "test_declined_shards_go_elsewhere_and_are_no_repeats",
        Mutant(
            "trackwheel/gathering/gather.py",
            "delegated = self._delegate_elsewhere(declined, repeat, now)",
            "delegated = self._delegate_elsewhere(declined, True, now)",
        ),
    ),
    Row(
        PLATFORM,
        NOT_RUN,
        "a peer is lost before it told whether targets ran its shards",
        SHARDS + "test_failure_reports_whether_a_peer_may_have_run_it",
        Mutant("trackwheel/gathering/gather.py", "        self._peers_ran = True\n", ""),
    ),
    Row(
        PLATFORM,
        BUDGET,
        "a second peer is handed what a first one has",
        SHARDS + "test_no_shard_is_asked_more_often_than_allowed",
        Mutant(
            "trackwheel/selection/attempts.py",
            "        self._tried |= targets\n        self._runs += 1\n",
            "        self._tried |= targets\n",
        ),
    ),
    Row(
        PLATFORM,
        BUDGET,
        "a box asks targets in the place of another one that used its part",
        REPEATS + "test_new_gatherer_has_no_share_for_a_window",
        Mutant(
            "trackwheel/selection/allowance_sharers.py",
            " or self._is_new(self._gathers_since, now)",
            "",
        ),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "a push of changes is lost with its link",
        DIRECTORY + "test_push_after_a_lost_one_leaves_a_gap_that_is_asked_for",
        Mutant(
            "trackwheel/directory/targets.py", "if self.known_revision >= push.since:", "if True:"
        ),
    ),
    Row(
        PLATFORM,
        OWN,
        "surplus answers, foreign answers, answers cut short, a reset instead of an end",
        HTTP_TARGET + "test_answers",
        Mutant(
            "trackwheel/http1/client.py",
            "mismatch = self._check(answer)",
            'mismatch = ""',
        ),
    ),
    Row(
        PLATFORM,
        OWN,
        "a late surplus answer stands where the next one is due",
        HTTP_TARGET + "test_late_surplus_answer_is_not_taken_for_the_next_one",
        Mutant(
            "trackwheel/http1/client.py",
            "mismatch = self._check(answer)",
            'mismatch = ""',
        ),
    ),
    Row(
        PLATFORM,
        COVERAGE,
        "shards that stay silent, at the aim and after it",
        SHARDS + "test_answer_at_the_target_latency_lists_missing_shards",
    ),
    Row(
        PLATFORM,
        COVERAGE,
        "a shard without an answer, through real processes",
        ENTRY + "test_slow_shard_is_reported_missing_at_the_target_latency",
    ),
    Row(
        PLATFORM,
        COVERAGE,
        "a peer that does not accept, or accepts and falls silent",
        SHARDS + "test_shards_of_a_silent_peer_are_requested_elsewhere",
        Mutant(
            "trackwheel/gathering/delegated.py",
            "if group.check_at <= now]",
            "if group.check_at < 0]",
        ),
    ),
    Row(
        PLATFORM,
        COVERAGE,
        "a peer is frozen, through real processes",
        ENTRY + "test_query_survives_a_frozen_peer",
    ),
    Row(
        PLATFORM,
        AT_MOST_ONCE,
        "a target that failed or broke off may have run the request",
        SINGLE + "test_request_that_may_have_run_is_not_sent_again",
        Mutant(
            "trackwheel/relay/single.py",
            "may_repeat = self.plan.repeatable or not self._attempts.ran",
            "may_repeat = True",
        ),
    ),
    Row(
        PLATFORM,
        AT_MOST_ONCE,
        "a target resets the connection, through real processes",
        ENTRY + "test_unsafe_request_is_not_retried_after_a_reset",
    ),
    Row(
        PLATFORM,
        NOT_RUN,
        "every target sheds, is elsewhere or cannot be reached",
        SINGLE + "test_failure_reports_that_nothing_ran",
        Mutant(
            "trackwheel/relay/single.py",
            "ran = self._attempts.ran or bool(self._attempts.target_by_token)",
            "ran = True",
        ),
    ),
    Row(
        PLATFORM,
        NOT_RUN,
        "a target broke off, another one sheds",
        SINGLE + "test_request_that_ran_once_is_never_called_not_run",
        Mutant(
            "trackwheel/relay/single.py",
            "ran = self._attempts.ran or bool(self._attempts.target_by_token)",
            "ran = False",
        ),
    ),
    Row(
        PLATFORM,
        NOT_RUN,
        "a target's own refusal after it ran",
        WIRE + "test_answers_to_clients",
        Mutant(
            "trackwheel/platform/wire.py",
            "if answer.status in NOT_RUN_STATUSES:",
            "if answer.status < 0:",
        ),
    ),
    Row(
        PLATFORM,
        AT_ONCE,
        "so many shards failed that the least coverage cannot be reached",
        SHARDS + "test_query_that_cannot_succeed_fails_at_once",
        Mutant("trackwheel/gathering/gather.py", "elif self._cannot_succeed():", "elif False:"),
    ),
    Row(
        PLATFORM,
        BUDGET,
        "1 to 60 boxes at three rates, every window",
        REPEATS + "test_all_boxes_together_stay_within_the_limit",
        Mutant(
            "trackwheel/selection/budget.py",
            "return allowance / members",
            "return allowance",
        ),
    ),
    Row(
        PLATFORM,
        BUDGET,
        "boxes are killed and come back, each thinking that it is alone",
        REPEATS + "test_restarted_boxes_stay_within_the_limit",
        Mutant(
            "trackwheel/selection/allowance_sharers.py",
            "0 if self._is_new(self._started_at, now) else ",
            "",
        ),
    ),
    Row(
        PLATFORM,
        BUDGET,
        "a target's address was given to another service",
        CHOICE + "test_target_replaced_at_its_address_gets_no_requests",
        Mutant(
            "trackwheel/selection/record.py",
            "self.ejected_until = self.gone_until = now + REPLACED_EJECT_S",
            "pass",
        ),
    ),
    Row(
        PLATFORM,
        BUDGET,
        "targets refuse connections",
        SHARDS + "test_failed_connections_do_not_enlarge_the_budget",
        Mutant(
            "trackwheel/selection/attempts.py",
            "if not self._first_counted:",
            "if self._deliveries == 0:",
        ),
    ),
    Row(
        PLATFORM,
        BUDGET,
        "a peer and this box ask for the same shard",
        SHARDS + "test_peer_and_this_box_share_the_attempt_limit",
        Mutant(
            "trackwheel/gathering/gather_models.py",
            "return max(1, self.max_attempts - 1)",
            "return self.max_attempts",
        ),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "news of targets in every order, and twice",
        DIRECTORY + "test_updates_converge_in_any_order",
        Mutant(
            "trackwheel/directory/targets.py",
            "removal.revision >= entry.revision or is_older_write(entry, removal)",
            "False",
        ),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "entries lapse while the store is away",
        DIRECTORY + "test_entries_that_expired_in_an_outage_are_used_until_they_return",
        Mutant(
            "trackwheel/directory/targets.py",
            "presumed_gone=not record.present and not record.may_return",
            "presumed_gone=not record.present",
        ),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "a box that is behind hears late of a target that lapsed for good",
        DIRECTORY + "test_expiry_learned_late_is_a_removal",
        Mutant(
            "trackwheel/directory/targets.py",
            "return max(0.0, record.remove_at - now) "
            "if record is not None and record.may_return else 0.0",
            "return 2.0",
        ),
    ),
    Row(
        PLATFORM,
        MEMBERSHIP,
        "the store goes for all boxes, at 6 to 198 of them",
        OUTAGE + "test_callers_of_an_unavailable_store_do_not_grow_with_the_fleet",
        Mutant(
            "trackwheel/directory/watcher_election.py",
            "TAKEOVER_DELAY_S * 2.0**doublings",
            "TAKEOVER_DELAY_S",
        ),
    ),
    Row(
        PLATFORM,
        IN_FORCE,
        "the store turns one, all or a third of the watchers away; one dies or freezes",
        OUTAGE + "test_box_in_sync_is_heard_of_again_within_seconds",
        Mutant(
            "trackwheel/directory/sync_status.py",
            'return self._address if self.peer_age_s(now) < BEACON_LIFETIME_S else ""',
            'return ""',
        ),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "a box starts by a copy of the store that is older than a target's notice",
        DIRECTORY + "test_stale_copy_is_used_but_counts_as_incomplete",
        Mutant(
            "trackwheel/directory/targets.py",
            "return any([self._merge(entry, now) for entry in entries])",
            "return any([self._track_change(self._merge(entry, now), 99) for entry in entries])",
        ),
    ),
    Row(
        PLATFORM,
        MEMBERSHIP,
        "all boxes start at once, each knowing no other one yet",
        "tests/directory/test_service.py::"
        "test_starting_box_uses_a_stale_copy_and_gets_the_rest_from_a_watcher",
        Mutant(
            "trackwheel/directory/watcher_election.py",
            "now + (0.0 if first else START_SETTLE_S)",
            "now",
        ),
    ),
    Row(
        PLATFORM,
        MEMBERSHIP,
        "a target dies; false, old and repeated news of it",
        DOWN_REPORTS + "test_reports_of_other_boxes",
        Mutant(
            "trackwheel/selection/target_selector.py",
            "if record.answered_at >= failed_at or record.reported_down_until >= until:",
            "if record.reported_down_until >= until:",
        ),
    ),
    Row(
        PLATFORM,
        AT_ONCE,
        "a peer that may not pay for a repeat gives it back",
        SHARDS + "test_shard_that_peers_decline_is_retried",
        Mutant(
            "trackwheel/gathering/gather.py",
            "self._shards[name].attempts.undo_repeat()",
            "pass",
        ),
    ),
    Row(
        PLATFORM,
        AT_ONCE,
        "all targets of a shard refuse connections",
        SHARDS + "test_shard_whose_targets_are_down_is_asked_seldom",
        Mutant(
            "trackwheel/selection/attempts.py",
            "reachable = [choice for choice in choices if choice.rests_until <= now]",
            "reachable = choices",
        ),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "the watch of the targets has gone silent, that of the routes is answered",
        "tests/directory/test_service.py::"
        "test_peer_that_is_ahead_is_asked_while_the_own_watch_is_silent",
        Mutant(
            "trackwheel/directory/sync_status.py",
            "return not in_sync or now - self._behind_since >= self._timeout_s",
            "return not in_sync",
        ),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "a connection to the store goes silent for good",
        "tests/platform/test_store.py::test_silent_connection_is_met_only_once",
        Mutant(
            "trackwheel/http1/call.py",
            "        async with asyncio.timeout(timeout_s):\n            return await result\n",
            "        return await result\n",
        ),
    ),
    Row(
        PLATFORM,
        MEMBERSHIP,
        "links between boxes go silent for good",
        "tests/peers/test_hub.py::test_link_that_is_not_acknowledged_breaks",
        Mutant(
            "trackwheel/peers/hub.py",
            "        set_tcp_options(socket.transport, LINK_USER_TIMEOUT_MS)\n",
            "",
        ),
    ),
    Row(
        PLATFORM,
        MEMBERSHIP,
        "connections to a target go silent for good",
        "tests/http1/test_client.py::test_idle_connections_are_closed_after_a_timeout",
        Mutant(
            "trackwheel/http1/pool.py",
            "            elif connection.timed_out:\n                self._close_idle()\n",
            "",
        ),
    ),
    Row(
        PLATFORM,
        AT_ONCE,
        "all targets of a shard refuse it, with time left",
        SHARDS + "test_shard_that_all_targets_refused_is_asked_again_within_the_aim",
        Mutant(
            "trackwheel/gathering/shard_requester.py",
            "elif refusal is Refusal.NOT_NOW and not self._plan.repeat:",
            "elif False:",
        ),
    ),
    Row(
        PLATFORM,
        BUDGET,
        "repeats that only add coverage meet those without which an answer fails",
        SHARDS + "test_shards_that_may_lack_leave_a_reserve",
        Mutant(
            "trackwheel/selection/budget.py",
            "            allowed *= 1.0 - BUDGET_RESERVE_SHARE\n",
            "            pass\n",
        ),
    ),
    Row(
        PLATFORM,
        STOP,
        "a hang-up or a second signal comes after a planned stop began",
        ENTRY + "test_planned_stop_finishes_requests_in_flight",
        Mutant(
            "trackwheel/entry/run.py",
            "            await _drain(box, client_server, earliest_stop or steady_now())\n",
            "        await _drain(box, client_server, earliest_stop or steady_now())\n",
        ),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "a leaving target, through real processes",
        ENTRY + "test_leaving_target_gets_nothing_new",
    ),
    Row(
        PLATFORM,
        IN_FORCE,
        "a new configuration at real boxes",
        ENTRY + "test_new_configuration_is_in_force_at_every_box",
    ),
    Row(
        PLATFORM,
        IN_FORCE,
        "a box restarts while the store is down",
        ENTRY + "test_box_restarted_during_a_store_outage_learns_from_peers",
        Mutant(
            "trackwheel/directory/service.py",
            "if self.table is not None and ask.routes_version < self.version:",
            "if False:",
        ),
    ),
    Row(
        PLATFORM,
        IN_FORCE,
        "the store forgets its history between two changes",
        ENTRY + "test_truncated_watch_history_loses_no_change",
    ),
    Row(
        PLATFORM,
        IN_FORCE,
        "watchers fall silent, or the store turns them away",
        WATCHING + "test_few_boxes_read_the_store",
        Mutant("trackwheel/directory/watcher_election.py", "if not synced_via:", "if False:"),
    ),
    Row(
        PLATFORM,
        STOP,
        "requests under way and on a kept connection at a planned stop",
        ENTRY + "test_planned_stop_finishes_requests_in_flight",
        Mutant(
            "trackwheel/entry/run.py",
            "while (left_s := answer_by - steady_now()) > 0.0:",
            "while (left_s := 0.0) > 0.0:",
        ),
    ),
    Row(
        PLATFORM,
        STOP,
        "new connections reach a stopping box until its process is gone",
        STOPPED + "test_request_at_a_stopping_box_is_answered_though_its_process_ends",
        Mutant("trackwheel/entry/box.py", "        self.stop_deadline.set(answer_by)\n", ""),
    ),
    Row(
        PLATFORM,
        STOP,
        "a request takes longer than the grace time of its box",
        STOPPED + "test_request_longer_than_the_grace_time_is_answered_at_its_end",
        Mutant("trackwheel/entry/run.py", "    box.end_requests()\n", "    pass\n"),
    ),
    Row(
        PLATFORM,
        STOP,
        "a request that would take longer than its box runs, first sent or sent again",
        STOPPING + "test_stopping_box_sends_only_what_its_target_can_answer_in_time",
        Mutant(
            "trackwheel/relay/single.py",
            "fits=self._fit_check(now) if self.plan.stop.is_set else None,",
            "fits=None,",
        ),
    ),
    Row(
        PLATFORM,
        STOP,
        "requests that wait in a box for its configuration or a check while it stops",
        STOPPING + "test_request_that_waits_in_a_stopping_box_is_refused_at_the_end",
        Mutant("trackwheel/relay/service.py", "exchange.on_stop = stop", "pass"),
    ),
    Row(
        PLATFORM,
        STOP,
        "a peer delegates shards to a box in its last moments",
        INBOUND + "test_stopping_box_declines_a_group_that_it_cannot_gather_in_time",
        Mutant(
            "trackwheel/delegation/inbound_groups.py",
            "if not self._stop.leaves_time(self._selector.high_s(route, far=False), now):",
            "if False:",
        ),
    ),
    Row(
        PLATFORM,
        STOP,
        "a box ends while it gathers shards for a peer",
        INBOUND + "test_stopping_box_reports_what_it_has_gathered_for_a_peer",
        Mutant(
            "trackwheel/delegation/inbound_groups.py",
            "            self._run.stop()\n",
            "            pass\n",
        ),
    ),
    Row(
        PLATFORM,
        STOP,
        "a stop signal comes while a box starts",
        "tests/entry/test_run.py::"
        "test_grace_period_counts_from_a_signal_that_came_while_the_box_started",
        Mutant(
            "trackwheel/entry/run.py",
            "    answer_by = stopped_at + box",
            "    answer_by = steady_now() + box",
        ),
    ),
    Row(
        PLATFORM,
        STOP,
        "pipelined requests wait behind the one in progress",
        HTTP_CLIENT + "test_stopping_server_answers_pipelined_requests_before_it_closes",
        Mutant(
            "trackwheel/http1/server.py",
            "(behind or not self._state.stopping)",
            "not self._state.stopping",
        ),
    ),
    Row(
        PLATFORM,
        STOP,
        "a request is half read when its box has to end",
        HTTP_CLIENT + "test_request_that_is_half_read_at_the_end_of_a_stop_is_refused",
        Mutant(
            "trackwheel/http1/server.py",
            "            connection.refuse_unread(retry_after_s)",
            "            connection.close()",
        ),
    ),
    Row(
        PLATFORM,
        STOP,
        "a query is in flight when its box has to end",
        SHARDS + "test_query_of_a_stopping_box_ends_with_what_it_has",
        Mutant(
            "trackwheel/gathering/gather.py",
            "if self.plan.partial or self._is_coverage_reached():",
            "if self.plan.partial:",
        ),
    ),
    Row(
        PLATFORM,
        NOT_RUN,
        "a group ends at a peer while its targets are at work",
        SHARDS + "test_group_that_ends_with_requests_at_targets_says_that_they_may_have_run",
        Mutant(
            "trackwheel/gathering/gather.py",
            "        self._ran_before_end = self.may_have_run\n",
            "",
        ),
    ),
    Row(
        PLATFORM,
        NOT_RUN,
        "a box ends while a request is at its target, or still waits for a connection to it",
        STOPPING + "test_request_in_flight_at_the_end_says_truly_whether_it_may_have_run",
        Mutant("trackwheel/relay/single.py", "for token in unsent:", "for token in ():"),
    ),
    Row(
        PLATFORM,
        GONE,
        "a client leaves, through real processes",
        ENTRY + "test_client_disconnect_cancels_the_request",
        Mutant(
            "trackwheel/http1/server.py",
            "            current.notify_disconnect()",
            "            pass",
        ),
    ),
    Row(
        PLATFORM,
        IN_HOMES,
        "targets in homes and outside, at the first choice",
        HOMES + "test_only_targets_in_the_homes_are_ranked",
        Mutant(
            "trackwheel/selection/target_selector.py",
            "            if route.allows(target.place.region)\n            if self._may_ask",
            "            if self._may_ask",
        ),
    ),
    Row(
        PLATFORM,
        IN_HOMES,
        "peers in homes and outside, for first groups",
        HOMES + "test_no_group_goes_outside_the_homes",
        Mutant("trackwheel/delegation/grouping.py", "if not route.homes:", "if True:"),
    ),
    Row(
        PLATFORM,
        IN_HOMES,
        "every send fails and every peer is silent",
        HOMES + "test_whole_query_keeps_to_the_homes",
    ),
    Row(
        PLATFORM,
        IN_HOMES,
        "through real processes, a home without targets too",
        ENTRY + "test_allowed_regions_are_respected_at_every_box",
        Mutant(
            "trackwheel/platform/decode.py",
            "homes=frozenset(route.allowed_regions or ())",
            "homes=frozenset()",
        ),
    ),
    Row(
        PLATFORM,
        EVACUATION,
        "8, 60, 195 boxes; messages lost; watchers and a third of the boxes turned away",
        EVACUATED + "test_evacuation_is_in_force_at_every_box",
        Mutant(
            "trackwheel/directory/service.py",
            "        self._merge_evacuations(beacon.evacuations, sender.box_id)\n",
            "",
        ),
    ),
    Row(
        PLATFORM,
        EVACUATION,
        "words in any order",
        EVACUATED + "test_updates_converge_in_any_order",
        Mutant(
            "trackwheel/directory/evacuations.py",
            "known.revision >= evacuation.revision",
            "False",
        ),
    ),
    Row(
        PLATFORM,
        EVACUATION,
        "a box starts, by a copy or by a peer",
        EVACUATED + "test_box_that_starts_knows_the_evacuation_with_its_targets",
        Mutant(
            "trackwheel/directory/service.py",
            '        self._merge_evacuations(operator_state.evacuations, "copy")\n',
            "",
        ),
    ),
    Row(
        PLATFORM,
        EVACUATION,
        "through real processes, taken back",
        ENTRY + "test_evacuated_domain_gets_nothing_until_the_evacuation_ends",
        Mutant(
            "trackwheel/directory/targets.py",
            "entry.leaving or entry.failure_domain in evacuated",
            "entry.leaving",
        ),
    ),
    Row(
        PLATFORM,
        EVACUATION,
        "requests wait for a connection to a target that is barred meanwhile",
        "tests/http1/test_pool.py::" "test_refusing_waiting_exchanges_sends_none_of_them",
        Mutant(
            "trackwheel/http1/pool.py",
            "        while self._waiting:\n            job =",
            "        while False:\n            job =",
        ),
    ),
    Row(
        PLATFORM,
        COLD_BOUND,
        "two hundred requests a second from each of several boxes",
        COLD + "test_all_boxes_together_keep_the_limit_in_every_second",
        Mutant(
            "trackwheel/selection/cold.py",
            "return len(self._recent_sends(target, now)) < self.share(target, now)",
            "return True",
        ),
    ),
    Row(
        PLATFORM,
        COLD_BOUND,
        "all cuts of up to eight boxes in two, with all views that each half may have",
        COLD + "test_partitioned_fleet_keeps_the_limit",
        Mutant(
            "trackwheel/selection/cold.py",
            "MAX_FLEET_VIEWS: Final = 2",
            "MAX_FLEET_VIEWS: Final = 1",
        ),
    ),
    Row(
        PLATFORM,
        COLD_BOUND,
        "boxes restart or take over four times in a row",
        COLD + "test_new_gatherers_have_no_share_while_earlier_ones_may_have_used_it",
        Mutant(
            "trackwheel/selection/allowance_sharers.py",
            "return now - since < self._window_s",
            "return False",
        ),
    ),
    Row(
        PLATFORM,
        COLD_BOUND,
        "an evacuation is taken back, and targets started anew in it",
        COLD + "test_targets_are_cold_after_an_evacuation_ends",
        Mutant(
            "trackwheel/selection/target_selector.py",
            "            self._assume_returned_cold(chain.from_iterable(before.values()), now)\n",
            "            pass\n",
        ),
    ),
    Row(
        PLATFORM,
        TOLD,
        "loads of three figures and more, and none that can be read",
        WIRE + "test_load_header",
        Mutant(
            "trackwheel/platform/load.py",
            "max(MIN_FIELDS, len(fields))",
            "MIN_FIELDS or len(fields) != MIN_FIELDS",
        ),
    ),
    Row(
        PLATFORM,
        ONE_LIFE,
        "a target fails in each way and starts again under its name",
        INCARNATIONS + "test_failures_of_an_earlier_incarnation_do_not_count",
        Mutant(
            "trackwheel/relay/models.py",
            "return self.instance, self.born_ms",
            "return self.instance, 0",
        ),
    ),
    Row(
        PLATFORM,
        ONE_LIFE,
        "entries of two lives in any order",
        INCARNATIONS + "test_newest_incarnation_wins_in_any_order_of_updates",
    ),
    Row(
        PLATFORM,
        ONE_LIFE,
        "news of the earlier life, before and after the new entry",
        INCARNATIONS + "test_reports_on_an_earlier_incarnation_do_not_affect_the_new_one",
        Mutant(
            "trackwheel/selection/down_reports.py",
            "return self.instance, self.born_ms",
            "return self.instance, 9_000",
        ),
    ),
    Row(
        PLATFORM,
        FOREIGN,
        "fields of other types, unnamed states",
        ENTRIES + "test_field_of_wrong_type_or_value_is_rejected",
        Mutant(
            "trackwheel/platform/decode.py", 'state: Literal["ready", "draining"]', "state: str"
        ),
    ),
    Row(
        PLATFORM,
        FOREIGN,
        "4,000 generated entries",
        ENTRIES + "test_any_bytes_are_decoded_or_rejected",
        Mutant(
            "trackwheel/platform/decode.py",
            "    except (msgspec.DecodeError, ValueError, RecursionError) as error:\n"
            '        return Failure(store_error("bad_entry"',
            "    except RecursionError as error:\n"
            '        return Failure(store_error("bad_entry"',
        ),
    ),
    Row(
        PLATFORM,
        FOREIGN,
        "beside sound entries, in a reading and in a watch",
        ENTRIES + "test_invalid_entry_removes_its_key_and_keeps_the_others",
        Mutant(
            "trackwheel/platform/store.py",
            "TargetsRead(after, entries, gone + unusable,",
            "TargetsRead(after, entries, gone,",
        ),
    ),
    Row(
        PLATFORM,
        HELD,
        "a query, a look-up, one that may run only once, sent again at each box",
        CRASHING + "test_request_that_crashed_three_targets_is_refused",
        Mutant("trackwheel/relay/service.py", "if retry_after_s <= 0.0:", "if True:"),
    ),
    Row(
        PLATFORM,
        HELD,
        "one query over all shards: how many targets it ends",
        CRASHING + "test_crashing_query_spares_the_second_replica_of_each_shard",
        Mutant(
            "trackwheel/gathering/gather.py",
            "self._closed_connections.has_any and not len(self.parts)",
            "False and not len(self.parts)",
        ),
    ),
    Row(
        PLATFORM,
        HELD,
        "one box or all boxes are lost",
        CRASHING + "test_restarted_boxes_know_held_requests",
        Mutant(
            "trackwheel/quarantine/service.py",
            "self._tracker.handle_requests_held(RequestsHeld(rows), steady_now())",
            "pass",
        ),
    ),
    Row(
        PLATFORM,
        HELD,
        "a box starts while the store is down",
        CRASHING + "test_box_restarted_during_a_store_outage_learns_held_requests_from_peers",
        Mutant(
            "trackwheel/quarantine/service.py",
            "self._broadcast(self._tracker.held_requests(now))",
            "pass",
        ),
    ),
    Row(
        PLATFORM,
        HELD,
        "two such requests at the same targets",
        CRASHING + "test_two_crashing_requests_at_the_same_targets_are_both_held",
    ),
    Row(
        PLATFORM,
        HELD,
        "four others at every target that ended are served once targets are back",
        CRASHING + "test_bystanders_are_served_once_targets_have_restarted",
        Mutant(
            "trackwheel/quarantine/crash_tracker.py",
            "if len(tied) == 1 or self._is_on_trial(one, now)",
            "if True",
        ),
    ),
    Row(
        PLATFORM,
        HELD,
        "any order of ends, answers, news, of one request and of those beside it",
        CRASH_TRACKER + "test_held",
        Mutant(
            "trackwheel/quarantine/crash_tracker.py",
            "            evidence.remove_attributed(incarnations)\n",
            "",
        ),
    ),
    Row(
        PLATFORM,
        HELD,
        "fleets of 6, 60 and 195 boxes, a tenth of the messages lost",
        HOLDING + "test_every_box_holds_the_request_in_time",
        Mutant(
            "trackwheel/quarantine/crash_tracker.py",
            "self._commands.append(Broadcast(CrashReport(rows)))",
            "pass",
        ),
    ),
    Row(
        PLATFORM,
        HELD,
        "an answer at one box, before and after its ends are told",
        HOLDING + "test_answer_at_one_box_clears_the_request_at_all",
        Mutant(
            "trackwheel/quarantine/crash_tracker.py",
            "self._commands.append(Broadcast(RequestsAnswered(answered)))",
            "pass",
        ),
    ),
    Row(
        PLATFORM,
        HELD,
        "second targets of a query under which the first ones ended",
        CRASHING_QUERY + "test_second_targets_are_spared_while_nothing_has_answered",
        Mutant("trackwheel/gathering/gather.py", "self._closed_connections.own_count += 1", "pass"),
    ),
    Row(
        LOAD,
        HELD,
        "queries and requests that may run only once, at boxes of the product's own path",
        "tests/whole/test_crashing_query.py::test_request_that_crashed_three_targets_is_refused",
        Mutant("trackwheel/dispatch/guard.py", "case TargetClosedError():", "case MemoryError():"),
    ),
    Row(
        PLATFORM,
        HELD,
        "own path: a target crashes a second time before its new boot was read",
        LINE + "test_boot_of_a_target_is_known_before_it_gets_work_after_a_crash",
        Mutant(
            "trackwheel/dispatch/target_scheduler.py",
            "[] if event.target_boot else self._reread_health_page(now)",
            "[]",
        ),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "targets leave while a box reads all of them page by page, at its peers",
        "tests/whole/test_leaving_target.py::"
        "test_target_that_leaves_during_a_full_read_gets_nothing_after_its_drain_time",
        Mutant("trackwheel/directory/targets.py", "if revision <= as_of}", "}"),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "thirty seeds of changes between the pages of a reading, at its peers",
        READINGS + "test_peers_hold_what_the_store_holds_whatever_changes_between_pages",
        Mutant("trackwheel/directory/targets.py", "if revision <= as_of}", "}"),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "an entry goes while the box that reads starts anew and half of its news are lost",
        READINGS + "test_peers_drop_targets_removed_while_another_box_read",
        Mutant("trackwheel/directory/targets.py", "if push.since == 0:", "if False:"),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "a box has lost a change in a way that nobody knows of",
        READINGS + "test_box_that_lost_a_change_for_any_reason_is_told_everything",
        Mutant("trackwheel/directory/service.py", "self._divergence.record_mismatch(now)", "False"),
    ),
    Row(
        PLATFORM,
        OWN,
        "a box restarts while a peer gathers shards for it",
        OUTBOUND + "test_parts_for_an_earlier_boot_of_a_box_are_not_used",
        Mutant(
            "trackwheel/delegation/outbound_groups.py",
            'f"{self._hub.identity.boot}-{next(self._numbers)}"',
            "str(next(self._numbers))",
        ),
    ),
    Row(
        PLATFORM,
        LIMITED,
        "a box restarts while a grant of tokens is on its way to it",
        "tests/limits/test_boots.py::test_grant_to_an_earlier_boot_of_a_box_is_not_used",
        Mutant("trackwheel/limits/entry_limiter.py", "self._ask_ids = seed", "self._ask_ids = 0"),
    ),
    Row(
        PLATFORM,
        LIMITED,
        "a counting box restarts while a gift is on its way to it",
        "tests/limits/test_boots.py::test_gift_to_an_earlier_boot_of_a_counting_box_is_not_used",
        Mutant("trackwheel/limits/counting_box.py", "self._ask_ids = life", "self._ask_ids = 0"),
    ),
    Row(
        FLEET,
        MEMBERSHIP,
        "one of two links to a peer ends",
        "tests/peers/test_link.py::test_message_is_sent_over_the_newest_link_that_is_left",
        Mutant(
            "trackwheel/peers/link.py",
            "            del self._wakeup_by_link[link]\n            self._wake_newest()\n",
            "            pass\n",
        ),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "an entry goes without notice while requests wait for a connection to its target",
        "tests/relay/test_transport.py::test_waiting_request_is_not_sent_to_a_target_that_is_gone",
        Mutant(
            "trackwheel/relay/transport.py",
            "            pool.refuse_waiting()\n            pool.close()\n",
            "            pool.close()\n",
        ),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "the box that reads the store for a failure domain loses the store and the other domains",
        "tests/directory/test_cut_off_watcher.py::"
        "test_box_in_touch_learns_of_a_leaving_target_in_time",
        Mutant(
            "trackwheel/directory/service.py",
            "address = self._remote_watchers.due(age_s, now)",
            'address = ""',
        ),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "two of three watchers of other failure domains do not answer",
        "tests/directory/test_targets_age.py::test_two_of_three_remote_watchers_may_be_silent",
        Mutant(
            "trackwheel/directory/const.py",
            "REMOTE_ASK_PERIOD_FRACTION: Final = 0.1",
            "REMOTE_ASK_PERIOD_FRACTION: Final = 0.3",
        ),
    ),
    Row(
        PLATFORM,
        BOUNDED,
        "an answer without end, in each part of a head or a body",
        ANSWER_LIMITS + "test_answer_without_end_is_ended_at_once",
        Mutant(
            "trackwheel/http1/client.py",
            "elif exceeded := self._exceeded_limit():",
            'elif exceeded := "":',
        ),
    ),
    Row(
        PLATFORM,
        BOUNDED,
        "many answers at once, each below the limit of one",
        ANSWER_LIMITS + "test_many_endless_answers_share_their_memory",
        Mutant(
            "trackwheel/http1/memory_share.py",
            "while self.held_bytes > self.limit_bytes and self._bytes_by_holder:",
            "while False:",
        ),
    ),
    Row(
        PLATFORM,
        CLIENTS,
        "eleven crowds at a real box: bodies in large and small chunks, heads, trailers, bodies "
        "behind and at a slow target, answers unread",
        "tests/whole/test_crowds.py::"
        "test_crowd_leaves_a_box_its_memory_and_others_their_answers",
    ),
    Row(
        PLATFORM,
        CLIENTS,
        "idle connections to a real box until its descriptors are used up",
        "tests/whole/test_crowds.py::" "test_idle_crowd_leaves_a_box_descriptors_for_its_own_work",
    ),
    Row(
        PLATFORM,
        CLIENTS,
        "many requests that stop short of their end, each within its own limit",
        "tests/http1/test_client_limits.py::"
        "test_unfinished_requests_over_the_limit_are_refused_and_none_has_run",
        Mutant(
            "trackwheel/http1/memory_share.py",
            "while self.held_bytes > self.limit_bytes and self._bytes_by_holder:",
            "while False:",
        ),
    ),
    Row(
        PLATFORM,
        CLIENTS,
        "large bodies fill what is there for requests in progress",
        "tests/http1/test_client_limits.py::"
        "test_requests_in_progress_leave_memory_for_small_ones",
        Mutant(
            "trackwheel/http1/memory_share.py",
            "if size > (self.limit_bytes - self._reserved_bytes) * RESERVE_SHARE_OF_REST:",
            "if False:",
        ),
    ),
    Row(
        PLATFORM,
        CLIENTS,
        "long answers that many clients do not read",
        "tests/http1/test_response_writer.py::"
        "test_answers_that_nobody_reads_are_bounded_together",
        Mutant(
            "trackwheel/http1/server.py",
            "self._state.client_limits.answers.hold(self, size)",
            "pass",
        ),
    ),
    Row(
        PLATFORM,
        CLIENTS,
        "one client sends megabytes in small chunks",
        "tests/http1/test_read_turns.py::" "test_connection_with_much_to_read_waits_for_its_turn",
        Mutant(
            "trackwheel/http1/server.py",
            "if nbytes == READ_BYTES or self._reader.chunks_read > MAX_CHUNKS_PER_READ:",
            "if False:",
        ),
    ),
    Row(
        PLATFORM,
        CLIENTS,
        "more connections than a box has sockets for",
        "tests/http1/test_connection_table.py::test_connection_of_least_use_gives_way",
        Mutant(
            "trackwheel/http1/connection_table.py",
            "if len(self._connections) >= self._limit and not self._make_room():",
            "if False:",
        ),
    ),
    Row(
        PLATFORM,
        OWN,
        "an answer whose status HTTP does not have",
        "tests/http1/test_client.py::test_answers",
        Mutant(
            "trackwheel/http1/client.py",
            "if not FIRST_STATUS <= self._status <= LAST_STATUS:",
            "if False:",
        ),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "the first boxes of a failure domain, which ask others, are all cut off",
        "tests/directory/test_cut_off_watcher.py::"
        "test_box_in_touch_learns_of_a_leaving_target_in_time",
        Mutant(
            "trackwheel/directory/const.py",
            "REMOTE_ASKER_BATCHES: Final = 2",
            "REMOTE_ASKER_BATCHES: Final = 1",
        ),
    ),
    Row(
        PLATFORM,
        LEAVING,
        "a watcher's word has an age below zero",
        "tests/directory/test_service.py::test_beacon_with_an_age_below_zero_is_ignored",
        Mutant(
            "trackwheel/directory/service.py",
            "if not (beacon.synced_ago_s >= 0.0 and beacon.targets_age_s >= 0.0):",
            "if False:",
        ),
    ),
    Row(
        PLATFORM,
        IN_TIME,
        "all boxes that read the store are turned away by it at once, in fleets of 18 to 198",
        "tests/directory/test_store_outage.py::"
        "test_next_boxes_read_in_time_when_all_watchers_lose_the_store_at_once",
        Mutant(
            "trackwheel/directory/watcher_election.py",
            "max(self._trusted_at, now - synced_ago_s)",
            "now",
        ),
    ),
    Row(
        PLATFORM,
        SET_BACK,
        "targets, evacuations, configurations and their changes, at boxes as processes",
        "tests/whole/test_store_goes_back.py::"
        "test_lost_changes_hold_until_they_are_rewritten_and_new_writes_count",
        Mutant(
            "trackwheel/directory/revisions.py",
            "(era << _ERA_SHIFT) | store_revision",
            "store_revision",
        ),
    ),
    Row(
        PLATFORM,
        SET_BACK,
        "thirty seeds of changes that are lost, written again and followed by others",
        READINGS + "test_leaving_and_lost_targets_stay_so_while_the_store_is_older_than_its_boxes",
        Mutant(
            "trackwheel/directory/target_record.py", "return after_restore and", "return False and"
        ),
    ),
    Row(
        PLATFORM,
        SET_BACK,
        "a watch from a revision that is given for the second time",
        "tests/platform/test_store.py::test_reassigned_revisions_are_later",
        Mutant("trackwheel/platform/store.py", "answer.era != era_of(after)", "False"),
    ),
    Row(
        PLATFORM,
        SET_BACK,
        "a reading whose pages are of before and after",
        "tests/platform/test_store.py::test_pages_of_two_eras_are_rejected",
        Mutant("trackwheel/platform/store.py", "era_of(page.as_of) != era_of(as_of)", "False"),
    ),
    Row(
        PLATFORM,
        SET_BACK,
        "evacuations that the copy lacks, or still has",
        "tests/directory/test_evacuations.py::" "test_restored_store_does_not_change_known_domains",
        Mutant("trackwheel/directory/evacuations.py", "if self.after_restore:", "if False:"),
    ),
    Row(
        PLATFORM,
        SET_BACK,
        "held requests that the copy lacks, or still has",
        "tests/quarantine/test_store_restored.py::"
        "test_restored_store_receives_the_held_requests",
        Mutant(
            "trackwheel/quarantine/service.py", "self._store.era > self._stored_in_era", "False"
        ),
    ),
    Row(
        PLATFORM,
        OWN,
        "a surplus answer comes late, while the same request is at the target again",
        "tests/http1/test_client.py::" "test_late_answer_to_an_earlier_attempt_is_ignored",
        Mutant(
            "trackwheel/http1/pool.py",
            "job.request_id not in connection.recent_request_ids",
            "True",
        ),
    ),
    Row(
        PLATFORM,
        SUSPENDED,
        "the clock by which each part decides",
        CLOCK + "test_clock_counts_the_time_in_which_the_machine_was_suspended",
        Mutant("trackwheel/clock.py", '"CLOCK_BOOTTIME"', '"CLOCK_MONOTONIC"'),
    ),
    Row(
        PLATFORM,
        SUSPENDED,
        "a timer that was due meanwhile",
        CLOCK + "test_timer_that_was_due_while_suspended_fires_soon_after",
        Mutant("trackwheel/relay/timer.py", "if delay_s > MAX_SLEEP_S:", "if False:"),
    ),
    Row(
        PLATFORM,
        SUSPENDED,
        "the fleet has buried it meanwhile",
        CLOCK + "test_box_that_was_suspended_joins_again",
        Mutant("trackwheel/clock.py", '"CLOCK_BOOTTIME"', '"CLOCK_MONOTONIC"'),
    ),
    Row(
        LOAD,
        PAUSE,
        "a target pauses once: what waited and what comes is done",
        PAUSES + "test_work_queued_during_a_pause_is_not_refused",
        Mutant(
            "trackwheel/stalls.py",
            "max_s = STALL_FACTOR * typical_s",
            'max_s = float("inf")',
        ),
    ),
    Row(
        LOAD,
        PAUSE,
        "two pauses of a target that got nothing between them",
        PAUSES + "test_stalls_far_apart_are_pauses",
        Mutant("trackwheel/stalls.py", "started < self._stalled_at + CONFIRM_WITHIN_S", "True"),
    ),
    Row(
        LOAD,
        PAUSE,
        "a pause delays several requests at one target: it stays in use",
        LINE + "test_requests_that_one_pause_delayed_do_not_eject_a_target",
        Mutant("trackwheel/dispatch/ejection.py", "if started < self._stalled_at:", "if False:"),
    ),
    Row(
        LOAD,
        PAUSE,
        "a target is out of use, and the shard's other one is lost",
        GATHER + "test_ejected_replica_is_asked_when_the_other_one_is_lost",
        Mutant(
            "trackwheel/gateway/gather.py",
            "if target not in instance.tried or target in instance.ejected",
            "if target not in instance.tried",
        ),
    ),
    Row(
        LOAD,
        PAUSE,
        "a replica pauses once: it gets work again",
        REPLICAS + "test_target_gets_requests_again_soon_after_a_pause",
        Mutant(
            "trackwheel/gateway/target_selector.py",
            "return self.stalls.admit(now - seconds, seconds, usual_s, now)",
            "return seconds",
        ),
    ),
    Row(
        FLEET,
        STOP,
        "all other boxes pause while a box stops",
        BOXES + "test_planned_stop_beside_paused_boxes_cuts_off_nothing",
        Mutant(
            "trackwheel/fleet/ownership.py",
            "return reachable if any(may_own(member) for member in reachable) else members",
            "return reachable",
        ),
    ),
    Row(
        FLEET,
        STOP,
        "a message to a box without a valid address",
        "tests/peers/test_hub.py::test_message_to_an_invalid_address_does_not_end_the_hub",
        Mutant(
            "trackwheel/peers/hub.py",
            "except (InvalidURI, ValueError) as error:",
            "except KeyError as error:",
        ),
    ),
    Row(
        FLEET,
        LEAVING,
        "an owner missed a restart of the target of which others say that it leaves",
        LINE + "test_leaving_report_of_an_unknown_boot_stops_new_work",
        Mutant(
            "trackwheel/dispatch/target_scheduler.py",
            "if boot in self._past_boots:\n            return []\n        self._leaving = True",
            'if self._boot not in ("", boot):\n            return []\n        self._leaving = True',
        ),
    ),
    Row(
        FLEET,
        LEAVING,
        "an answer of an earlier boot comes late",
        LINE + "test_late_answer_of_an_earlier_boot_does_not_hide_a_leaving_report",
        Mutant(
            "trackwheel/dispatch/target_scheduler.py",
            "boot = boot or self._boot\n        if boot in self._past_boots:",
            "if False:",
        ),
    ),
    Row(
        PLATFORM,
        SERVED,
        "all boxes start at once and know their configuration before the first target",
        START + "test_request_that_waits_is_not_refused_between_configuration_and_targets",
        Mutant(
            "trackwheel/relay/service.py",
            "if not self._knows_targets:\n            self._wait_for_start",
            "if False:\n            self._wait_for_start",
        ),
    ),
    Row(
        PLATFORM,
        IDENTITY,
        "credentials that are missing, double, of another scheme or odd",
        KEYS + "test_key_is_read_from_exactly_one_credential",
        Mutant("trackwheel/groups/keys.py", "if len(credentials) != 1:", "if not credentials:"),
    ),
    Row(
        PLATFORM,
        IDENTITY,
        "a client names a group, or sends a key to a public route",
        GROUPS + "test_target_is_told_the_group_by_this_box_alone",
        Mutant(
            "trackwheel/platform/wire.py",
            "if pair[0] not in (HEADER_KEY, HEADER_GROUP)",
            "if pair[0] != HEADER_KEY",
        ),
    ),
    Row(
        PLATFORM,
        SERVED,
        "a peer's target is replaced, and another target of the shard fails",
        "tests/gathering/test_not_run_at_peers.py::test_attempt_that_no_target_ran_is_given_back",
        Mutant(
            "trackwheel/gathering/gather.py",
            "            self._delegator.refund(number, not_run)\n",
            "",
        ),
    ),
    Row(
        PLATFORM,
        IDENTITY,
        "a key in two groups",
        GROUPS + "test_key_in_two_groups_belongs_to_the_first",
        Mutant(
            "trackwheel/platform/decode.py",
            "group_by_key_digest.setdefault(key_digest(key.encode().strip()), group)",
            "group_by_key_digest[key_digest(key.encode().strip())] = group",
        ),
    ),
    Row(
        PLATFORM,
        IDENTITY,
        "a group whose name would end a header",
        GROUPS + "test_configuration_with_broken_groups_is_rejected_whole",
        Mutant(
            "trackwheel/platform/decode.py",
            "    name: Annotated[str, msgspec.Meta(pattern=",
            "    name: Annotated[str, msgspec.Meta(min_length=1, description=",
        ),
    ),
    Row(
        PLATFORM,
        IDENTITY,
        "an unknown key at a box that may be behind",
        IDENTIFIED + "test_request_is_refused_at_once_for_its_key",
        Mutant(
            "trackwheel/relay/service.py",
            "if problem is KeyProblem.UNKNOWN and not self._is_current():",
            "if False:",
        ),
    ),
    Row(
        PLATFORM,
        IDENTITY,
        "requests that wait while a box starts",
        IDENTIFIED + "test_request_that_waits_for_a_configuration_is_identified_by_it",
    ),
    Row(
        PLATFORM,
        IDENTITY,
        "real boxes, peers, failing targets and a client that names another group",
        KEYED + "test_targets_learn_the_group_from_the_box_and_nobody_the_key",
        Mutant(
            "trackwheel/delegation/outbound_groups.py",
            "            group=request.group,\n",
            "",
        ),
    ),
    Row(
        PLATFORM,
        CAUSES,
        "targets are silent, fail, shed, refuse connections or have been replaced; no budget",
        "tests/gathering/test_causes.py::test_failure_names_its_cause",
        Mutant(
            "trackwheel/selection/attempts.py",
            "        self.cause = cause\n        return refusal",
            "        return refusal",
        ),
    ),
    Row(
        PLATFORM,
        IDENTITY,
        "a key is taken away under open connections, also in a storm of versions",
        KEYED + "test_key_taken_away_ends_on_open_connections",
        Mutant(
            "trackwheel/groups/keys.py",
            "return find_group(table.group_by_key_digest, key) or KeyProblem.UNKNOWN",
            "return find_group(table.group_by_key_digest, key) or next(\n"
            "        iter(table.group_by_name.values())\n    )",
        ),
    ),
    Row(
        PLATFORM,
        IN_HOMES,
        "a group with homes, at every box and at peers",
        KEYED + "test_homes_of_a_group_bind_at_every_box_and_peer",
        Mutant(
            "trackwheel/relay/service.py",
            "group.homes if group else frozenset()",
            "frozenset()",
        ),
    ),
    Row(
        PLATFORM,
        RELEASED,
        "checks that decide at once, later, twice, after the client has left",
        CHECKS + "test_each_ticket_is_released_once",
        Mutant(
            "trackwheel/relay/entry_checks.py",
            "if self._ended or decided:",
            "if self._ended:",
        ),
    ),
    Row(
        PLATFORM,
        RELEASED,
        "a request is withdrawn while its check begins",
        CHECKS + "test_ticket_of_a_request_withdrawn_during_the_check_is_released",
        Mutant(
            "trackwheel/relay/entry_checks.py",
            "                ticket.withdraw()\n",
            "                pass\n",
        ),
    ),
    Row(
        PLATFORM,
        LIMITED,
        "a delegation arrives after its sender went to another counting box",
        LIMIT_SHARES + "test_a_delegation_counts_from_its_stamp",
        Mutant(
            "trackwheel/limits/shares.py",
            "until = echo.at + DELEGATION_VALID_S",
            "until = now + DELEGATION_VALID_S",
        ),
    ),
    Row(
        PLATFORM,
        LIMITED,
        "all of a group's load comes through one box",
        LIMIT_LOADS + "test_nothing_is_refused_below_a_limit",
        Mutant(
            "trackwheel/limits/counting_box.py",
            "pause_s = max(bucket.gift_period_s, in_flight_s)",
            "pause_s = bucket.gift_period_s",
        ),
    ),
    Row(
        PLATFORM,
        LIMITED,
        "the limit is lowered far below what is sent",
        LIMIT_LOADS + "test_lowered_limit_binds_within_a_window",
        Mutant(
            "trackwheel/limits/counting_box.py", "bucket.budget = budget", "bucket.budget.capacity"
        ),
    ),
    Row(
        PLATFORM,
        LIMITED,
        "all boxes of a failure domain restart and know few others",
        LIMIT_SHARES + "test_a_young_box_counts_once_the_fleet_is_known",
        Mutant(
            "trackwheel/limits/shares.py",
            "if not (delegation.settled or settled or self._confirmed_members):",
            "if False:",
        ),
    ),
    Row(
        PLATFORM,
        AT_ONCE,
        "callers that return at once, at a target that serves one each 20 ms",
        RETURNS + "test_callers_that_are_refused_at_once_return_one_after_the_other",
        Mutant("trackwheel/admission/return_times.py", "+ ahead * outlook.pace_s", ""),
    ),
    Row(
        PLATFORM,
        AT_ONCE,
        "a shard that the answer needs sheds, or refuses connections",
        OUTLOOKS + "test_callers_return_when_the_worst_needed_shard_has_room",
        Mutant(
            "trackwheel/admission/outlooks.py",
            "max(0.0, choice.rests_until - now, choice.expected_s - choice.usual_s)",
            "0.0",
        ),
    ),
)
