"""TLS at real boxes: rotation without a restart, impersonation, callers and operators."""

import shutil
import signal
import ssl
import time
from collections.abc import Iterator
from pathlib import Path

import cbor2
import pytest
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect

from standins.certificates import Authority
from standins.file_maker import ServiceShape
from standins.fleet import SmallFleet, wait_until
from tests.conftest import PLACES, write_file
from trackwheel.cli import main
from trackwheel.peers.const import PROTOCOL_VERSION

SERVICE = "ledger"
REFUSALS = (OSError, EOFError, TimeoutError, WebSocketException)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SmallFleet]:
    """Run three boxes whose operators must present a certificate."""
    folder = tmp_path_factory.mktemp("tls")
    path = write_file(folder, [ServiceShape(SERVICE, 3, 2)])
    with SmallFleet(PLACES, [path], https=True) as started_fleet:
        assert started_fleet.apply(path)["outcome"] == "accepted"
        yield started_fleet


def fleet_context(authority: Path, issued: tuple[Path, Path]) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.load_verify_locations(cafile=str(authority))
    context.load_cert_chain(*map(str, issued))
    return context


def is_admitted(fleet: SmallFleet, context: ssl.SSLContext, claimed_id: str) -> bool:
    """Return whether a box keeps a link with a peer that claims an id."""
    box = fleet.boxes[0]
    identity = [claimed_id, "boot", "127.0.0.1:9", "here", "here-a"]
    try:
        with connect(f"wss://{box.peers}/", ssl=context, open_timeout=2, proxy=None) as socket:
            socket.recv(timeout=2)
            socket.send(cbor2.dumps([PROTOCOL_VERSION, identity]))
            socket.recv(timeout=0.7)
    except TimeoutError:
        return True
    except REFUSALS:
        return False
    return True


def reload_certificates(fleet: SmallFleet) -> None:
    """Send SIGHUP to every box and wait until each has read its certificates again."""
    before = [fleet.log(box.box_id).count("for operators") for box in fleet.boxes]
    for box in fleet.boxes:
        fleet.signal_box(box, signal.SIGHUP)
    wait_until(
        lambda: all(
            fleet.log(box.box_id).count("for operators") > count
            for box, count in zip(fleet.boxes, before, strict=True)
        ),
        5.0,
        "reading the certificates again",
    )


def test_peer_id_must_match_its_certificate(fleet: SmallFleet, tmp_path: Path) -> None:
    assert fleet.authority is not None
    issued = fleet.authority.issue("box-7")
    context = fleet_context(fleet.authority.path, issued)
    assert is_admitted(fleet, context, "box-7")
    assert not is_admitted(fleet, context, "box-1")
    assert "its certificate differs" in fleet.log("box-0")


@pytest.mark.parametrize(
    ("options", "expected"),
    [
        pytest.param(["--authority", "--certificate", "--private-key"], 0, id="certified"),
        pytest.param(["--authority"], 1, id="no-certificate"),
        pytest.param([], 1, id="no-tls"),
    ],
)
def test_operators_need_a_certificate(fleet: SmallFleet, options: list[str], expected: int) -> None:
    assert fleet.authority is not None
    certificate, key = fleet.authority.issue("operator")
    value_by_option = {
        "--authority": fleet.authority.path,
        "--certificate": certificate,
        "--private-key": key,
    }
    arguments = [f"{option}={value_by_option[option]}" for option in options]
    assert main(["show", f"--box={fleet.boxes[1].operators}", *arguments]) == expected


def test_callers_use_https(fleet: SmallFleet, tmp_path: Path) -> None:
    assert fleet.authority is not None
    key_file = tmp_path / "key"
    key_file.write_text("clerks-key")
    arguments = ["query", SERVICE, f"--key-file={key_file}", f"--callers={fleet.boxes[2].callers}"]
    assert main([*arguments, f"--authority={fleet.authority.path}"]) == 0
    assert main(arguments) == 1


def test_unreadable_certificate_keeps_the_old_one(fleet: SmallFleet) -> None:
    path = fleet.folder / "box-1.pem"
    original = path.read_bytes()
    path.write_text("nonsense")
    reload_certificates(fleet)
    assert "cannot be read; the old ones stay" in fleet.log("box-1")
    path.write_bytes(original)
    reload_certificates(fleet)
    assert fleet.query(fleet.boxes[1], "clerks-key", SERVICE).status_code == 200


def test_authority_is_replaced_without_a_restart(fleet: SmallFleet, tmp_path: Path) -> None:
    """Trust both authorities, present new certificates, then trust only the new authority.

    A box with a new certificate joins; one with an old certificate is refused.
    """
    old = fleet.authority
    assert old is not None
    old_context = fleet_context(old.path, old.issue("box-8"))
    assert is_admitted(fleet, old_context, "box-8")
    new = Authority(tmp_path, "new-authority")
    trusted = old.path
    old_text = trusted.read_bytes()
    trusted.write_bytes(old_text + new.path.read_bytes())
    reload_certificates(fleet)
    for box in fleet.boxes:
        for source in new.issue(box.box_id):
            shutil.copy(source, fleet.folder / source.name)
    reload_certificates(fleet)
    trusted.write_bytes(new.path.read_bytes())
    reload_certificates(fleet)
    fleet.take_authority(new)
    new_context = fleet_context(new.path, new.issue("box-9"))
    assert is_admitted(fleet, new_context, "box-9")
    assert not is_admitted(fleet, fleet_context(new.path, old.issue("box-8")), "box-8")
    leaving = fleet.boxes[2]
    fleet.signal_box(leaving, signal.SIGTERM)
    assert fleet.process_by_name[leaving.box_id].wait(timeout=10) == 0, fleet.log(leaving.box_id)
    fleet.start_box(leaving, issue=False)
    wait_until(
        lambda: fleet.members_seen(fleet.boxes[0]) == 3, 10.0, "the join of the restarted box"
    )
    deadline = time.monotonic() + 5.0
    while time.monotonic() < deadline:
        if fleet.query(fleet.boxes[0], "clerks-key", SERVICE).json().get("whole"):
            return
    raise AssertionError("no complete answer within 5 s of the restart")
