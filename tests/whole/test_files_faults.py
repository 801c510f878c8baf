"""Applied files at real boxes: store outages, an older store, lost replies, racing operators."""

import contextlib
import signal
import ssl
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import httpx
import pytest
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect

from standins.file_maker import GroupShape, ServiceShape
from standins.fleet import BoxPlace, SmallFleet, wait_until
from tests.conftest import PLACES, write_file


@pytest.fixture
def store_fleet(tmp_path: Path) -> Iterator[tuple[SmallFleet, Path]]:
    """Run three boxes with one file in force, and return the path of that file."""
    path = write_file(tmp_path, [ServiceShape("ledger", 2, 2)])
    with SmallFleet(PLACES, [path]) as started_fleet:
        assert started_fleet.apply(path)["outcome"] == "accepted"
        yield started_fleet, path


def write_group_file(folder: Path, name: str, share: str = "1") -> Path:
    return write_file(folder, [], [GroupShape(f"g-{name}", share, "ledger")], name)


def revisions(fleet: SmallFleet) -> list[int]:
    return [fleet.show(box)["revision"] for box in fleet.boxes]


def counts(fleet: SmallFleet) -> dict[str, Any]:
    return fleet.counts(fleet.key_value)


def test_applied_file_is_in_force_on_every_box_at_once(
    store_fleet: tuple[SmallFleet, Path], tmp_path: Path
) -> None:
    fleet, _ = store_fleet
    for number in range(5):
        started = time.monotonic()
        report = fleet.apply(
            write_group_file(tmp_path, "more", str(number + 1)), fleet.boxes[number % 3]
        )
        assert report["outcome"] == "accepted"
        assert report["not_confirmed"] == []
        assert time.monotonic() - started < 1.0
        assert revisions(fleet) == [number + 2] * 3


def test_applying_the_same_file_again_changes_nothing(store_fleet: tuple[SmallFleet, Path]) -> None:
    fleet, path = store_fleet
    assert fleet.apply(path, fleet.boxes[1])["outcome"] == "unchanged"
    assert revisions(fleet) == [1] * 3


def test_bad_file_is_refused_and_nothing_applied(
    store_fleet: tuple[SmallFleet, Path], tmp_path: Path
) -> None:
    fleet, _ = store_fleet
    bad = tmp_path / "bad.ini"
    bad.write_text("[file]\nname = bad\n[group x]\nshare = 0\n")
    report = fleet.apply(bad)
    assert report["outcome"] == "refused"
    assert any("share" in error for error in report["errors"])
    unknown = write_file(tmp_path, [], [GroupShape("y", "1", "nothing")], "unknown")
    assert "not declared" in str(fleet.apply(unknown)["errors"])
    assert revisions(fleet) == [1] * 3


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_lost_store_replies_do_not_fail_an_apply(
    store_fleet: tuple[SmallFleet, Path], tmp_path: Path, lost: int
) -> None:
    fleet, _ = store_fleet
    fleet.control(fleet.key_value, lose_replies=lost)
    report = fleet.apply(write_group_file(tmp_path, "more"))
    assert report["outcome"] == "accepted", report
    assert revisions(fleet) == [2] * 3


def test_store_outage_is_reported_and_does_not_affect_queries(
    store_fleet: tuple[SmallFleet, Path], tmp_path: Path
) -> None:
    fleet, _ = store_fleet
    fleet.control(fleet.key_value, down=True)
    assert fleet.apply(write_group_file(tmp_path, "more"))["outcome"] == "not_applied"
    for box in fleet.boxes:
        assert fleet.query(box, "clerks-key", "ledger").status_code == 200
    fleet.control(fleet.key_value, down=False)
    assert fleet.apply(write_group_file(tmp_path, "more"))["outcome"] == "accepted"


def test_box_restarted_during_a_store_outage_gets_the_files_from_its_peers(
    store_fleet: tuple[SmallFleet, Path], tmp_path: Path
) -> None:
    fleet, _ = store_fleet
    fleet.apply(write_group_file(tmp_path, "more"))
    fleet.control(fleet.key_value, down=True)
    for box in fleet.boxes[1:]:
        fleet.signal_box(box, signal.SIGKILL)
        fleet.process_by_name[box.box_id].wait()
        fleet.start_box(box)
        wait_until(lambda box=box: is_ready(fleet, box), 15.0, "readiness")  # type: ignore[misc]
        assert fleet.query(box, "clerks-key", "ledger").status_code == 200
    assert revisions(fleet) == [2] * 3


def is_ready(fleet: SmallFleet, box: Any) -> bool:
    try:
        return fleet.http.get(f"http://{box.operators}/health/ready").status_code == 200
    except Exception:
        return False


def test_single_box_without_the_store_is_not_ready(tmp_path: Path) -> None:
    path = write_file(tmp_path, [ServiceShape("ledger", 1, 1)])
    with SmallFleet(PLACES[:1], [path]) as fleet:
        fleet.control(fleet.key_value, down=True)
        box = fleet.boxes[0]
        assert not is_ready(fleet, box)
        response = fleet.query(box, "clerks-key", "ledger")
        assert response.status_code == 503
        assert response.json()["error"]["code"] == "not_ready"
        assert response.headers["retry-after"]


def test_store_restored_from_an_older_copy_is_updated(
    store_fleet: tuple[SmallFleet, Path], tmp_path: Path
) -> None:
    fleet, _ = store_fleet
    fleet.control(fleet.key_value, save=True)
    for number in (1, 2):
        fleet.apply(write_group_file(tmp_path, "more", str(number)))
    assert revisions(fleet) == [3] * 3
    fleet.control(fleet.key_value, restore=True)
    time.sleep(2.0)
    assert revisions(fleet) == [3] * 3, "a box went back to the older files"
    report = fleet.apply(write_group_file(tmp_path, "third"), fleet.boxes[2])
    assert report["outcome"] == "accepted"
    assert report["revision"] == 4
    files = fleet.show(fleet.boxes[1])["files"]
    assert set(files) == {"test", "more", "third"}


@pytest.mark.parametrize("same", [True, False], ids=["same-file", "different-files"])
def test_ten_concurrent_applies_do_not_overwrite_each_other(
    store_fleet: tuple[SmallFleet, Path], tmp_path: Path, same: bool
) -> None:
    fleet, _ = store_fleet
    fleet.control(fleet.key_value, slow_s=0.02, lose_replies=2)
    reports: dict[int, dict[str, Any]] = {}
    paths = []
    for number in range(10):
        folder = tmp_path / str(number)
        folder.mkdir()
        name = "same" if same else f"file{number}"
        paths.append(write_group_file(folder, name, str(number + 1)))

    def apply(number: int) -> None:
        box = fleet.boxes[number % 3]
        reports[number] = fleet.apply(
            paths[number], box, **{"Trackwheel-Expected-Version": "0"} if same else {}
        )

    threads = [threading.Thread(target=apply, args=(number,)) for number in range(10)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    accepted = [number for number, report in reports.items() if report["outcome"] == "accepted"]
    files = fleet.show(fleet.boxes[0])["files"]
    if same:
        assert len(accepted) == 1
        entry = files["same"]
        assert entry["apply_id"] == reports[accepted[0]]["apply_id"]
        for number, report in reports.items():
            if number not in accepted:
                assert report["outcome"] == "conflict"
                assert report["in_force_instead"]["apply_id"] == entry["apply_id"]
    else:
        assert len(accepted) == 10
        assert len(files) == 11
    assert len(set(revisions(fleet))) == 1


def test_resumed_box_with_old_files_catches_up(
    store_fleet: tuple[SmallFleet, Path], tmp_path: Path
) -> None:
    fleet, _ = store_fleet
    frozen = fleet.boxes[1]
    fleet.signal_box(frozen, signal.SIGSTOP)
    time.sleep(2.5)
    report = fleet.apply(write_group_file(tmp_path, "more"))
    assert report["outcome"] == "accepted"
    fleet.signal_box(frozen, signal.SIGCONT)
    wait_until(lambda: fleet.show(frozen)["revision"] == 2, 4.0, "catching up")
    assert "was away" in fleet.log(frozen.box_id)


def test_box_that_does_not_confirm_is_reported(
    store_fleet: tuple[SmallFleet, Path], tmp_path: Path
) -> None:
    fleet, _ = store_fleet
    frozen = fleet.boxes[2]
    fleet.signal_box(frozen, signal.SIGSTOP)
    report = fleet.apply(write_group_file(tmp_path, "more"))
    assert report["outcome"] == "accepted"
    assert report["boxes"] == 2 or report["not_confirmed"] == [frozen.peers]
    fleet.signal_box(frozen, signal.SIGCONT)


def test_peer_without_a_certificate_receives_no_message(
    store_fleet: tuple[SmallFleet, Path],
) -> None:
    fleet, _ = store_fleet
    assert fleet.authority is not None
    context = ssl.create_default_context(cafile=str(fleet.authority.path))
    context.check_hostname = False
    refusals = (OSError, EOFError, WebSocketException)
    for url, tls in (("wss", context), ("ws", None)):
        with pytest.raises(refusals):
            receive_first_message(f"{url}://{fleet.boxes[0].peers}/", tls)


def receive_first_message(url: str, context: ssl.SSLContext | None) -> object:
    """Return the first message that a box sends to a new connection."""
    with connect(url, ssl=context, open_timeout=2) as socket:
        return socket.recv(timeout=2)


AFTER_ANSWER = 1000
"""More writes than an apply makes, so that the box is killed only after its answer."""


def test_apply_is_atomic_when_its_box_is_killed(
    store_fleet: tuple[SmallFleet, Path], tmp_path: Path
) -> None:
    """The box is killed as it begins its first, second and third write, and after its answer.

    Each store call takes 0.1 s, and a write whose caller dies meanwhile is dropped. The moment of
    the kill follows the store's own count of writes, so that it is the same on any machine.
    """
    fleet, _ = store_fleet
    applying = fleet.boxes[2]
    revision = 1
    outcomes: set[bool] = set()
    for number, write in enumerate((1, 2, 3, AFTER_ANSWER)):
        path = write_group_file(tmp_path, "more", str(number + 1))
        fleet.control(fleet.key_value, slow_s=0.1)
        awaited_writes = count_writes(fleet) + write
        apply_thread = apply_in_background(applying.operators, path)
        wait_until(
            lambda apply_thread=apply_thread, awaited_writes=awaited_writes: (  # type: ignore[misc]
                not apply_thread.is_alive() or count_writes(fleet) >= awaited_writes
            ),
            5.0,
            "the write",
        )
        fleet.signal_box(applying, signal.SIGKILL)
        apply_thread.join(timeout=5)
        fleet.process_by_name[applying.box_id].wait(timeout=5)
        fleet.control(fleet.key_value, slow_s=0.0)
        fleet.start_box(applying)
        wait_until(lambda: is_ready(fleet, applying), 10.0, "the restart of the box")
        wait_until(lambda: len(set(revisions(fleet))) == 1, 5.0, "agreement")
        current_revision = revisions(fleet)[0]
        assert current_revision in (revision, revision + 1)
        in_force = [share_in_force(fleet, box) for box in fleet.boxes]
        assert len(set(in_force)) == 1, "boxes differ in the file in force"
        assert current_revision == revision or in_force[0] == str(number + 1), "applied in part"
        outcomes.add(current_revision > revision)
        revision = current_revision
    assert outcomes == {False, True}, "only one of applied and not applied occurred"
    assert fleet.apply(write_group_file(tmp_path, "more", "99"))["outcome"] == "accepted"
    assert revisions(fleet) == [revision + 1] * 3


def count_writes(fleet: SmallFleet) -> int:
    """Return how many writes the store has begun."""
    return int(fleet.counts(fleet.key_value)["by_kind"].get("put", 0))


def apply_in_background(operators: str, path: Path) -> threading.Thread:
    """Apply a file at a box that may be killed meanwhile."""

    def apply() -> None:
        with contextlib.suppress(httpx.HTTPError):
            httpx.post(f"http://{operators}/v1/apply", content=path.read_bytes(), trust_env=False)

    thread = threading.Thread(target=apply)
    thread.start()
    return thread


def share_in_force(fleet: SmallFleet, box: BoxPlace) -> str:
    """Return the share that the file `more` gives its group at a box, empty without the file."""
    text = fleet.http.get(f"http://{box.operators}/v1/files/more").text
    lines = [line for line in text.splitlines() if line.startswith("share = ")]
    return lines[0].removeprefix("share = ") if lines else ""
