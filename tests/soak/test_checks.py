"""Each promise, broken on purpose, is noticed; the same under a fault that excuses it is not."""

from pathlib import Path

import pytest

from soak.checks import check_all
from soak.clients import Told
from soak.const import CLIENTS, SHARDS, TOP_K
from soak.fleet import SoakFleet, Span
from soak.plan import Kind
from standins.shard_target import ShardTarget

BOX = "box-0"


@pytest.fixture
def fleet(tmp_path: Path) -> SoakFleet:
    """Return a fleet that was never started, with a target a shard and two lookups."""
    fleet = SoakFleet(["a"], tmp_path)
    for shard in SHARDS:
        fleet.target_by_instance[shard] = ShardTarget(shard, shard)
    for number in range(2):
        name = f"lookup-{number}"
        fleet.target_by_instance[name] = ShardTarget(name, "lookup")
    fleet.put_at_by_version = {1: 0.0, 2: 50.0}
    return fleet


def told(kind: str, status: int, began: float = 10.0, took: float = 0.1, **more: object) -> Told:
    headers: dict[str, str] = {}
    body = b""
    if kind == "q" and status == 200:
        headers = {"x-part-stamps": ", ".join(f"{shard}.id" for shard in SHARDS)}
        records = sorted((r for s in SHARDS for r in ShardTarget(s, s).records()), reverse=True)
        body = b"".join(records[:TOP_K])
    elif status == 200:
        headers = {"x-response-stamp": "lookup-0.id"}
        body = b"".join(ShardTarget("lookup-0", "lookup").records())
        body += b"promise" if kind == "o" else b""
    answer = Told("id", kind, BOX, began, began + took, status, headers, body)
    return answer._replace(**more)  # type: ignore[arg-type]


@pytest.mark.parametrize("kind", ["q", "l", "o", "v1"])
def test_sound_answers_break_nothing(fleet: SoakFleet, kind: str) -> None:
    assert check_all(fleet, [told(kind, 200)]) == []


@pytest.mark.parametrize(
    ("answer", "found"),
    [
        pytest.param(told("q", 200, body=b"other"), "answer: other records", id="records"),
        pytest.param(
            told("q", 200, headers={"x-part-stamps": f"{SHARDS[0]}.id"}),
            "answer: its shards do not add up",
            id="missing-shards-untold",
        ),
        pytest.param(
            told("q", 200, headers={"x-part-stamps": f"{SHARDS[0]}.other"}),
            "answer: a part of another request",
            id="foreign-part",
        ),
        pytest.param(
            told("l", 200, headers={"x-response-stamp": "lookup-0.other"}),
            "answer: the answer to another request",
            id="foreign-answer",
        ),
        pytest.param(told("l", 200, body=b"half"), "answer: half a body", id="half"),
        pytest.param(told("l", 502, took=3.0), "time: 3.00 s", id="late"),
    ],
)
def test_wrong_answers_are_found(fleet: SoakFleet, answer: Told, found: str) -> None:
    (line,) = check_all(fleet, [answer])
    assert line.startswith(found)


@pytest.mark.parametrize(
    ("status", "runs", "found"),
    [(200, 2, "once: 2 runs"), (503, 1, "once: said not to have run"), (200, 1, ""), (503, 0, "")],
)
def test_requests_that_may_run_once(fleet: SoakFleet, status: int, runs: int, found: str) -> None:
    fleet.target_by_instance["lookup-0"].runs = ["id"] * runs
    lines = check_all(fleet, [told("o", status)])
    assert [line[: len(found)] for line in lines] == ([found] if found else [])


@pytest.mark.parametrize(
    ("kind", "broken"),
    [(Kind.BOX_STOP, 1), (Kind.BOX_RELOAD, 1), (Kind.BOX_KILL, 0), (Kind.BOX_FREEZE, 0)],
    ids=str,
)
def test_cut_request_is_excused_by_a_kill_and_not_by_a_planned_stop(
    fleet: SoakFleet, kind: Kind, broken: int
) -> None:
    fleet.target_by_instance["lookup-0"].runs = ["id"]
    fleet.spans = [Span(kind, BOX, 10.05, 10.2)]
    assert len(check_all(fleet, [told("l", 0)])) == broken


@pytest.mark.parametrize(
    ("began", "restarted", "broken"),
    [(20.0, False, 1), (20.0, True, 0), (60.0, False, 0)],
    ids=["reverted", "restarted", "replaced"],
)
def test_versions_only_rise(fleet: SoakFleet, began: float, restarted: bool, broken: int) -> None:
    if restarted:
        fleet.spans = [Span(Kind.BOX_KILL, BOX, 15.0, 16.0)]
    lines = check_all(fleet, [told("v1", 200), told("v1", 404, began=began)])
    assert len(lines) == broken


@pytest.mark.parametrize(
    ("ran_at", "excused", "broken"),
    [(22.0, False, 0), (24.0, False, 1), (24.0, True, 0)],
    ids=["in-time", "late", "store-was-down"],
)
def test_leaving_target(fleet: SoakFleet, ran_at: float, excused: bool, broken: int) -> None:
    fleet.left_at_by_instance = {"lookup-1": 20.0}
    fleet.target_by_instance["lookup-1"].run_times = [ran_at]
    if excused:
        fleet.spans = [Span(Kind.STORE_DOWN, "", 18.0, 19.0)]
    assert len(check_all(fleet, [])) == broken


@pytest.mark.parametrize(
    ("ran_at", "found"),
    [
        pytest.param([1.0, 1.1, 1.2, 4.0, 6.0, 7.0, 8.0], False, id="three-more"),
        pytest.param([1.0, 1.1, 1.2, 6.0, 7.0, 8.0, 9.0], True, id="four-more"),
        pytest.param([1.0, 9.0], False, id="too-few-to-know"),
    ],
)
@pytest.mark.parametrize("excused", [False, True])
def test_request_that_ends_targets_goes_on(
    fleet: SoakFleet, ran_at: list[float], found: bool, excused: bool
) -> None:
    fleet.target_by_instance[SHARDS[0]].ran_ending_by_path["/q/x"] = ran_at[::2]
    fleet.target_by_instance[SHARDS[1]].ran_ending_by_path["/q/x"] = ran_at[1::2]
    if excused:
        fleet.spans.append(Span(Kind.STORE_DOWN, "", 5.0, 5.5))
    assert bool(check_all(fleet, [])) is (found and not excused)


LAST_CLIENT = f"{CLIENTS - 1:04x}000000000001"


@pytest.mark.parametrize(
    ("answer", "found"),
    [
        pytest.param(told("l", 401), "key: refused though its key is there", id="right-key"),
        pytest.param(
            told("l", 401, request_id=LAST_CLIENT), "key: refused though", id="before-it-is-taken"
        ),
        pytest.param(told("l", 401, 21.0, request_id=LAST_CLIENT), "", id="taken"),
        pytest.param(told("v1", 200, 24.0, request_id=LAST_CLIENT), "", id="within-the-bound"),
        pytest.param(told("v1", 200, 26.0, request_id=LAST_CLIENT), "still good", id="too-long"),
    ],
)
def test_key_that_is_refused_or_accepted_wrongly_is_noticed(
    fleet: SoakFleet, answer: Told, found: str
) -> None:
    fleet.key_taken_at = 20.0
    broken = [line for line in check_all(fleet, [answer]) if line.startswith("key")]
    assert bool(broken) is bool(found)
    assert found in "".join(broken)


def test_taken_key_is_excused_by_a_store_that_is_down(fleet: SoakFleet) -> None:
    fleet.key_taken_at = 20.0
    fleet.spans.append(Span(Kind.STORE_DOWN, "", 19.0, 23.0))
    answer = told("v1", 200, 26.0, request_id=LAST_CLIENT)
    assert not [line for line in check_all(fleet, [answer]) if line.startswith("key")]


@pytest.mark.parametrize(
    ("headers", "found"),
    [
        ({"x-tenant": "clerks"}, ""),
        ({"x-tenant": "forged"}, "another group"),
        ({}, "another group"),
        ({"x-tenant": "clerks", "authorization": "Token k"}, "the key"),
    ],
    ids=["told", "forged", "untold", "key"],
)
def test_target_that_is_told_wrongly_is_noticed(
    fleet: SoakFleet, headers: dict[str, str], found: str
) -> None:
    target = fleet.target_by_instance["lookup-0"]
    target.headers_by_run.append({"x-attempt-id": "0000000000000001", **headers})
    broken = check_all(fleet, [])
    assert bool(broken) is bool(found)
    assert found in "".join(broken)
