"""Entries of targets, and those that another writer left in their place."""

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


def test_life_of_a_target_is_read() -> None:
    entry = decode_target("servers/i-7", written(), 12).unwrap()
    assert entry.born_ms == 1_700_000_000_000


def test_entry_of_before_the_field_was_there_is_read() -> None:
    value = json.dumps({key: told for key, told in GOOD.items() if key != "born"}).encode()
    assert decode_target("servers/i-7", value, 12).unwrap().born_ms == 0


@pytest.mark.parametrize("lacks", [key for key in GOOD if key != "born"])
def test_entry_that_lacks_a_field_names_no_target(lacks: str) -> None:
    value = json.dumps({key: told for key, told in GOOD.items() if key != lacks}).encode()
    assert isinstance(decode_target("servers/i-7", value, 12), Failure)


UNUSABLE = [
    *((key, told) for key in ("service", "zone") for told in OTHER_TYPES if told != "x" * 100_000),
    *(
        ("address", told)
        for told in [*OTHER_TYPES, "10.0.0.1", "10.0.0.1:0", ":80", "a:b:c", "name:80"]
    ),
    *(("version", told) for told in OTHER_TYPES if not isinstance(told, str)),
    *(("slots", told) for told in [*OTHER_TYPES, 0, "2"]),
    *(("state", told) for told in [*OTHER_TYPES, "READY", "gone", "warming"]),
    *(("warmup_left_ms", told) for told in OTHER_TYPES if told != 1.5),
    *(("sequence", told) for told in OTHER_TYPES if told != -1),
    *(("born", told) for told in OTHER_TYPES),
]


@pytest.mark.parametrize(("key", "told"), UNUSABLE, ids=lambda value: str(value)[:20])
def test_field_of_another_type_or_name_names_no_target(key: str, told: Any) -> None:
    assert isinstance(decode_target("servers/i-7", written(**{key: told}), 12), Failure)


@pytest.mark.parametrize(
    "value",
    [b"", b"\x00", b"\xff\xfe", b"null", b"[]", b'"ready"', b"{", DEEP, b"{}" * 2, b"[" * 100_000],
    ids=lambda value: repr(value[:8]),
)
def test_bytes_that_cannot_be_read_name_no_target(value: bytes) -> None:
    assert isinstance(decode_target("servers/i-7", value, 12), Failure)


@pytest.mark.parametrize(
    "key", ["servers/", "servers/a b", "servers/a\r\nx: y", "servers/ü", "servers/" + "x" * 300]
)
def test_key_that_no_header_can_carry_names_no_target(key: str) -> None:
    assert isinstance(decode_target(key, written(), 12), Failure)


@pytest.mark.parametrize("seed", range(20))
def test_any_bytes_are_read_or_refused(seed: int) -> None:
    """Generated: bytes of a good entry are changed, cut, doubled; nothing else may be raised."""
    random_ = random.Random(seed)
    for _ in range(200):
        value = bytearray(written())
        for _ in range(random_.randint(1, 6)):
            place = random_.randrange(len(value) + 1)
            cut = random_.randint(0, 4)
            value[place : place + cut] = random_.randbytes(random_.randint(0, 4))
        assert isinstance(decode_target("servers/i-7", bytes(value), 12), Success | Failure)


class NoLog:
    """Note events."""

    def __init__(self) -> None:
        self.keys: list[object] = []

    def write(self, kind: str, **fields: object) -> None:
        self.keys.append(fields["key"])


class ToldStore(StoreClient):
    """Answer each call with the next body."""

    def __init__(self, log: NoLog, *bodies: dict[str, Any]) -> None:
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


def test_others_hold_beside_a_foreign_entry_and_its_key_names_no_target() -> None:
    """What was known of the key goes as if the entry were gone; a log line comes once."""
    log = NoLog()
    events = [item("a", written(), 5), item("b", b"junk", 6), item("b", b"more", 7)]
    store = ToldStore(
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


def test_value_that_is_no_base64_is_foreign_too() -> None:
    broken = {"tls_key": "servers/b", "revision": 6, "value": "%%%"}
    store = ToldStore(NoLog(), {"events": [broken, item("a", written(), 7)], "as_of": 7})
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


@pytest.mark.parametrize("config", [CONFIG, {"version": "x"}], ids=["sound", "unreadable"])
def test_evacuations_are_read_beside_any_configuration(config: dict[str, Any]) -> None:
    log = NoLog()
    log.write = lambda kind, **fields: None  # type: ignore[method-assign]
    items = [orders("op/config", config, 4), orders("op/evacuate/halle-muc", {}, 5)]
    pages = [
        {"items": items[:1], "has_more": True, "as_of": 6},
        {"items": items[1:], "has_more": False, "as_of": 8},
    ]
    read = anyio.run(ToldStore(log, *pages).read_operator_state).unwrap()
    assert (read.as_of, read.complete) == (6, True)
    assert read.evacuations == (("halle-muc", True, 5),)
    assert (read.table is not None) is (config is CONFIG)


def test_evacuation_that_is_taken_back_is_told() -> None:
    events = [orders("op/evacuate/a", {}, 5), orders("op/evacuate/a", None, 6)]
    store = ToldStore(NoLog(), {"events": events, "as_of": 6})
    read = anyio.run(store.watch_operator_state, 4, 0.0).unwrap()
    assert not read.complete
    assert read.evacuations == (("a", True, 5), ("a", False, 6))
