"""Decoding of targets' entries, and rejection of those by another writer."""

import base64
import json
import random
from typing import Any

import anyio
import pytest
from returns.result import Failure, Result, Success

from trackwheel.directory.models import EntryRemoved, TargetsRead
from trackwheel.errors import TrackwheelError
from trackwheel.platform.decode import decode_target
from trackwheel.platform.store import StoreAnswer, StoreClient

GOOD: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
OTHER_TYPES: list[Any] = [None, True, [], {}, "", -1, 1.5, "x" * 100_000]
DEEP = b'{"more":' + b"[" * 100_000


def written(**fields: Any) -> bytes:
    return json.dumps({**GOOD, **fields}).encode()


def test_start_time_is_decoded() -> None:
    entry = decode_target("servers/i-7", written(), 12).unwrap()
    assert entry.born_ms == 1_700_000_000_000


def test_entry_of_an_older_target_has_no_start_time() -> None:
    content = json.dumps({key: value for key, value in GOOD.items() if key != "born"}).encode()
    assert decode_target("servers/i-7", content, 12).unwrap().born_ms == 0


@pytest.mark.parametrize("missing", [key for key in GOOD if key != "born"])
def test_entry_without_a_required_field_is_rejected(missing: str) -> None:
    content = json.dumps({key: value for key, value in GOOD.items() if key != missing}).encode()
    assert isinstance(decode_target("servers/i-7", content, 12), Failure)


UNUSABLE = [
    *(
        (key, field_value)
        for key in ("service", "zone")
        for field_value in OTHER_TYPES
        if field_value != "x" * 100_000
    ),
    *(
        ("address", field_value)
        for field_value in [*OTHER_TYPES, "10.0.0.1", "10.0.0.1:0", ":80", "a:b:c", "name:80"]
    ),
    *(("version", field_value) for field_value in OTHER_TYPES if not isinstance(field_value, str)),
    *(("slots", field_value) for field_value in [*OTHER_TYPES, 0, "2"]),
    *(("state", field_value) for field_value in [*OTHER_TYPES, "READY", "gone", "warming"]),
    *(("warmup_left_ms", field_value) for field_value in OTHER_TYPES if field_value != 1.5),
    *(("sequence", field_value) for field_value in OTHER_TYPES if field_value != -1),
    *(("born", field_value) for field_value in OTHER_TYPES),
]


@pytest.mark.parametrize(("key", "field_value"), UNUSABLE, ids=lambda value: str(value)[:20])
def test_field_of_wrong_type_or_value_is_rejected(key: str, field_value: Any) -> None:
    assert isinstance(decode_target("servers/i-7", written(**{key: field_value}), 12), Failure)


@pytest.mark.parametrize(
    "value",
    [b"", b"\x00", b"\xff\xfe", b"null", b"[]", b'"ready"', b"{", DEEP, b"{}" * 2, b"[" * 100_000],
    ids=lambda value: repr(value[:8]),
)
def test_undecodable_bytes_are_rejected(value: bytes) -> None:
    assert isinstance(decode_target("servers/i-7", value, 12), Failure)


@pytest.mark.parametrize(
    "key", ["servers/", "servers/a b", "servers/a\r\nx: y", "servers/ü", "servers/" + "x" * 300]
)
def test_key_that_is_no_valid_header_value_is_rejected(key: str) -> None:
    assert isinstance(decode_target(key, written(), 12), Failure)


@pytest.mark.parametrize("seed", range(20))
def test_any_bytes_are_decoded_or_rejected(seed: int) -> None:
    """Random edits of a valid entry are decoded or rejected; no exception may escape."""
    random_ = random.Random(seed)
    for _ in range(200):
        value = bytearray(written())
        for _ in range(random_.randint(1, 6)):
            place = random_.randrange(len(value) + 1)
            cut = random_.randint(0, 4)
            value[place : place + cut] = random_.randbytes(random_.randint(0, 4))
        assert isinstance(decode_target("servers/i-7", bytes(value), 12), Success | Failure)


class KeyLog:
    """Record the keys of logged events."""

    def __init__(self) -> None:
        self.keys: list[object] = []

    def write(self, kind: str, **fields: object) -> None:
        self.keys.append(fields["key"])


class CannedStore(StoreClient):
    """Answer each call with the next body."""

    def __init__(self, log: KeyLog, *bodies: dict[str, Any]) -> None:
        super().__init__("127.0.0.1:1", 1.0, log)  # type: ignore[arg-type]
        self._bodies = [json.dumps(body).encode() for body in bodies]

    async def _get(
        self, path: str, parameters: dict[str, str], wait_s: float
    ) -> Result[StoreAnswer, TrackwheelError]:
        return Success(StoreAnswer(0, self._bodies.pop(0)))


def item(name: str, value: bytes | None, revision: int) -> dict[str, Any]:
    key = {"tls_key": f"servers/{name}", "revision": revision}
    if value is None:
        return {**key, "deleted": True}
    return {**key, "value": base64.b64encode(value).decode()}


def test_invalid_entry_removes_its_key_and_keeps_the_others() -> None:
    """The key of an invalid entry counts as removed, and is logged once."""
    log = KeyLog()
    events = [item("a", written(), 5), item("b", b"junk", 6), item("b", b"more", 7)]
    store = CannedStore(
        log,
        {"items": [item("a", written(), 1), item("b", b"junk", 2)], "has_more": False, "as_of": 3},
        {"events": events, "as_of": 7},
    )
    whole = anyio.run(store.read_targets).unwrap()
    assert [entry.instance for entry in whole.entries] == ["a"]
    changes = anyio.run(store.watch_targets, 3, 0.0).unwrap()
    assert isinstance(changes, TargetsRead)
    assert [entry.instance for entry in changes.entries] == ["a"]
    assert changes.removed == [EntryRemoved("b", 6), EntryRemoved("b", 7)]
    assert log.keys == ["servers/b"]


def test_value_that_is_not_base64_is_rejected() -> None:
    broken = {"tls_key": "servers/b", "revision": 6, "value": "%%%"}
    store = CannedStore(KeyLog(), {"events": [broken, item("a", written(), 7)], "as_of": 7})
    changes = anyio.run(store.watch_targets, 3, 0.0).unwrap()
    assert [entry.instance for entry in changes.entries] == ["a"]
    assert changes.removed == [EntryRemoved("b", 6)]


CONFIG = {
    "version": 7,
    "routes": [],
    "services": [],
    "limits": {
        "max_header_bytes": 1,
        "max_body_bytes": 1,
        "header_timeout_ms": 1,
        "idle_timeout_ms": 1,
    },
}


def orders(key: str, value: Any, revision: int) -> dict[str, Any]:
    if value is None:
        return {"tls_key": key, "revision": revision, "deleted": True}
    content = base64.b64encode(json.dumps(value).encode()).decode()
    return {"tls_key": key, "revision": revision, "value": content}


@pytest.mark.parametrize("config", [CONFIG, {"version": "x"}], ids=["valid", "unreadable"])
def test_evacuations_are_read_with_any_configuration(config: dict[str, Any]) -> None:
    log = KeyLog()
    log.write = lambda kind, **fields: None  # type: ignore[method-assign]
    items = [orders("op/config", config, 4), orders("op/evacuate/halle-muc", {}, 5)]
    pages = [
        {"items": items[:1], "has_more": True, "as_of": 6},
        {"items": items[1:], "has_more": False, "as_of": 8},
    ]
    read = anyio.run(CannedStore(log, *pages).read_operator_state).unwrap()
    assert (read.as_of, read.complete) == (6, True)
    assert read.evacuations == (("halle-muc", True, 5),)
    assert (read.table is not None) is (config is CONFIG)


def test_revoked_evacuation_is_returned() -> None:
    events = [orders("op/evacuate/a", {}, 5), orders("op/evacuate/a", None, 6)]
    store = CannedStore(KeyLog(), {"events": events, "as_of": 6})
    read = anyio.run(store.watch_operator_state, 4, 0.0).unwrap()
    assert not read.complete
    assert read.evacuations == (("a", True, 5), ("a", False, 6))
