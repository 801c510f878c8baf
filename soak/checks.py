"""The promises, judged from what clients were told and what targets ran."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from math import inf

from soak.clients import Told, key_of
from soak.const import (
    CONTACT_S,
    CUT_SLACK_S,
    DEADLINE_S,
    DRAIN_S,
    ENDS_TO_KNOW,
    GROUP_BY_KEY,
    KEY_IN_FORCE_S,
    LATE_S,
    LEAST_COVERAGE,
    REPEATS_AFTER,
    SHARDS,
    TAKEN_KEY,
    TOP_K,
)
from soak.fleet import BOX_TROUBLE, SoakFleet
from soak.plan import OF_LINK, OF_STORE, Kind
from standins.shard_target import ShardTarget

NOT_RUN = (408, 421, 429, 503)
"""Statuses that say that a request has not run and never will."""


def check_all(fleet: SoakFleet, told: list[Told]) -> list[str]:
    """Return what was broken, a line each."""
    return [
        *_check_answers(fleet, told),
        *_check_once(fleet, told),
        *_check_times(fleet, told),
        *_check_stops(fleet, told),
        *_check_versions(fleet, told),
        *_check_drains(fleet),
        *_check_endings(fleet),
        *_check_keys(fleet, told),
    ]


def _check_answers(fleet: SoakFleet, told: Iterable[Told]) -> Iterator[str]:
    """Each answer is whole, says truly what it lacks, and belongs to its request."""
    for one in told:
        if one.status == 200:
            wrong = (
                _wrong_query(fleet.target_by_instance, one)
                if one.kind == "q"
                else _wrong_single(fleet.target_by_instance, one)
            )
            if wrong:
                yield f"answer: {wrong}: {one}"


def _wrong_query(target_by_instance: Mapping[str, ShardTarget], one: Told) -> str:
    stamps = one.headers.get("x-part-stamps", "").split(", ")
    if not all(stamp.endswith(f".{one.request_id}") for stamp in stamps):
        return "a part of another request"
    named = [target_by_instance[stamp.removesuffix(f".{one.request_id}")] for stamp in stamps]
    services = {target.service for target in named}
    missing = int(one.headers.get("x-missing-parts", "0"))
    if len(services) != len(named) or len(services) + missing != len(SHARDS):
        return "its shards do not add up"
    if len(services) < LEAST_COVERAGE * len(SHARDS):
        return "too few shards"
    records = sorted((r for target in named for r in target.records()), reverse=True)
    return "" if one.body == b"".join(records[:TOP_K]) else "other records"


def _wrong_single(target_by_instance: Mapping[str, ShardTarget], one: Told) -> str:
    instance, _, request_id = one.headers.get("x-response-stamp", "").partition(".")
    if request_id != one.request_id:
        return "the answer to another request"
    sent = b"promise" if one.kind == "o" else b""
    whole = b"".join(target_by_instance[instance].records()) + sent
    return "" if one.body == whole else "half a body"


def _check_once(fleet: SoakFleet, told: Iterable[Told]) -> Iterator[str]:
    """A request that may run only once does, and "not run" is true."""
    runs = Counter(run for target in fleet.target_by_instance.values() for run in target.runs)
    for one in told:
        if one.kind == "o" and runs[one.request_id] > 1:
            yield f"once: {runs[one.request_id]} runs: {one}"
        if one.kind == "o" and one.status in NOT_RUN and runs[one.request_id]:
            yield f"once: said not to have run, but ran: {one}"


def _check_times(fleet: SoakFleet, told: Iterable[Told]) -> Iterator[str]:
    """Nobody waits much longer than the deadline, unless the box was frozen or killed."""
    for one in told:
        late = one.ended - one.began > DEADLINE_S + LATE_S
        if late and not fleet.disturbed(one.began, one.ended, *BOX_TROUBLE, subject=one.box):
            yield f"time: {one.ended - one.began:.2f} s: {one}"


def _check_stops(fleet: SoakFleet, told: Iterable[Told]) -> Iterator[str]:
    """A request that reached a target gets an answer, though its box was told to stop."""
    ran = {run for target in fleet.target_by_instance.values() for run in target.runs}
    for one in told:
        if one.status or one.request_id not in ran:
            continue
        begin, end = one.began - CUT_SLACK_S, one.ended + CUT_SLACK_S
        if not fleet.disturbed(begin, end, *BOX_TROUBLE, subject=one.box):
            yield f"cut: {one}"


def _check_versions(fleet: SoakFleet, told: Iterable[Told]) -> Iterator[str]:
    """A box that had a version in force goes on with it until a newer one is there."""
    seen_at_by_box: dict[tuple[str, int], float] = {}
    for one in sorted(told, key=lambda one: one.ended):
        if not one.kind.startswith("v"):
            continue
        version = int(one.kind[1:])
        if one.status == 200:
            seen_at_by_box.setdefault((one.box, version), one.ended)
        replaced_at = fleet.put_at_by_version.get(version + 1, float("inf"))
        if one.status != 404 or replaced_at <= one.ended:
            continue
        seen_at = seen_at_by_box.get((one.box, version), float("inf"))
        restarts = (Kind.BOX_KILL, Kind.BOX_STOP)
        if seen_at < one.began and not fleet.disturbed(
            seen_at, one.ended, *restarts, subject=one.box
        ):
            yield f"version: back to an older one: {one}"


def _check_drains(fleet: SoakFleet) -> Iterator[str]:
    """A leaving target gets nothing new after its time, where boxes and store were in touch."""
    for instance, left_at in fleet.left_at_by_instance.items():
        target = fleet.target_by_instance[instance]
        last = max(target.run_times, default=0.0)
        trouble = (*BOX_TROUBLE, Kind.BOX_STOP, *OF_STORE, *OF_LINK)
        if last > left_at + DRAIN_S and not fleet.disturbed(left_at - CONTACT_S, last, *trouble):
            yield f"drain: {instance} got work {last - left_at:.2f} s after its notice"


def _check_keys(fleet: SoakFleet, told: Iterable[Told]) -> Iterator[str]:
    """Targets learn the group of the key, not the key, and a key that is taken away ends."""
    for target in fleet.target_by_instance.values():
        for headers in target.headers_by_run:
            key = _key(headers.get("x-attempt-id", ""))
            if headers.get("x-tenant") != GROUP_BY_KEY.get(key, "clerks"):
                yield f"key: {target.instance} was told another group: {headers}"
            if "authorization" in headers:
                yield f"key: {target.instance} was told the key: {headers}"
    taken_at = fleet.key_taken_at
    for one in told:
        may_be_refused = _key(one.request_id) == TAKEN_KEY and one.ended > taken_at
        if one.status == 401 and not may_be_refused:
            yield f"key: refused though its key is there: {one}"
    trouble = (*BOX_TROUBLE, Kind.BOX_STOP, *OF_STORE, *OF_LINK)
    for one in told:
        late = one.began > taken_at + KEY_IN_FORCE_S and _key(one.request_id) == TAKEN_KEY
        begin = one.began - KEY_IN_FORCE_S
        if late and one.status == 200 and not fleet.disturbed(begin, one.ended, *trouble):
            yield f"key: taken away {one.began - taken_at:.2f} s before and still good: {one}"


def _key(request_id: str) -> str:
    """Return the key of the client that sent a request, by its id."""
    try:
        return key_of(int(request_id[:4], 16))
    except ValueError:
        # A request that ends targets.
        return key_of(0)


def _check_endings(fleet: SoakFleet) -> Iterator[str]:
    """Requests that end targets go to few more once boxes in touch can know them."""
    trouble = (*BOX_TROUBLE, Kind.BOX_STOP, *OF_STORE, *OF_LINK)
    for path, ran_at in _ran_ending_by_path(fleet).items():
        enough = ran_at[:ENDS_TO_KNOW]
        known_at = enough[-1] + CONTACT_S if len(enough) == ENDS_TO_KNOW else inf
        later = [
            at
            for at in ran_at
            if at > known_at and not fleet.disturbed(at - CONTACT_S, at, *trouble)
        ]
        if len(later) > REPEATS_AFTER:
            yield f"endings: {path} ran {len(later)} times more, {len(ran_at)} in all"


def _ran_ending_by_path(fleet: SoakFleet) -> dict[str, list[float]]:
    """Return when requests that end targets began to run, in order of time."""
    ran_at_by_path: dict[str, list[float]] = {}
    for target in fleet.target_by_instance.values():
        for path, ran_at in target.ran_ending_by_path.items():
            ran_at_by_path.setdefault(path, []).extend(ran_at)
    return {path: sorted(ran_at) for path, ran_at in ran_at_by_path.items()}
