"""Load: a configuration names the groups of many callers, well or badly written.

Every box must take the same groups from it, or keep the version before.
"""

import json
import random
from typing import Any

import pytest
from returns.result import Failure

from tests.platform.test_wire import CONFIG, WIRE, request
from trackwheel.groups.keys import find_group, key_digest
from trackwheel.groups.models import Group, GroupLimit, GroupTable, Precedence
from trackwheel.http1.models import header
from trackwheel.platform.decode import decode_routes
from trackwheel.routing.models import RouteTable

GOOD: dict[str, Any] = {
    "name": "clerks",
    "api_keys": ["k1", "k2"],
    "priority": 1,
    "rate_per_s": 9,
    "burst": 4.5,
    "allowed_regions": ["east"],
}
ORDER = Precedence(0, 1)


def decode(tenants: Any, **fields: Any) -> RouteTable:
    content = json.dumps({**CONFIG, "tenants": tenants, **fields}).encode()
    return decode_routes(content).unwrap()


def groups(*tenants: dict[str, Any]) -> GroupTable:
    table = decode(list(tenants)).groups
    assert table is not None
    return table


@pytest.mark.parametrize(
    ("fields", "group"),
    [
        pytest.param({}, Group("clerks", 1, frozenset({"east"}), GroupLimit(9.0, 4.5)), id="whole"),
        pytest.param(
            {"more": {"a": [1]}, "api_keys": []},
            Group("clerks", 1, frozenset({"east"}), GroupLimit(9.0, 4.5)),
            id="unknown-field",
        ),
        pytest.param(
            {"rate_per_s": 0}, Group("clerks", 1, frozenset({"east"})), id="no-rate-no-limit"
        ),
        pytest.param(
            {"rate_per_s": None, "burst": None, "priority": None, "allowed_regions": None},
            Group("clerks"),
            id="nulls",
        ),
        pytest.param(
            {"burst": -3, "priority": 0, "allowed_regions": []},
            Group("clerks", 0, frozenset(), GroupLimit(9.0, 0.0)),
            id="negative-burst",
        ),
    ],
)
def test_group_is_decoded(fields: dict[str, Any], group: Group) -> None:
    assert groups({**GOOD, **fields}).group_by_name == {"clerks": group}


def test_group_with_a_name_alone_has_no_limits_and_no_keys() -> None:
    assert groups({"name": "g"}) == GroupTable({"g": Group("g")}, {})


@pytest.mark.parametrize(
    "tenants",
    [
        pytest.param({}, id="no-list"),
        pytest.param("clerks", id="text"),
        pytest.param([None], id="null-entry"),
        pytest.param([{}], id="no-name"),
        pytest.param([{**GOOD, "name": ""}], id="empty-name"),
        pytest.param([{**GOOD, "name": "a\r\nx-tenant: b"}], id="name-with-a-header"),
        pytest.param([{**GOOD, "name": "a\n"}], id="name-with-an-end-of-line"),
        pytest.param([{**GOOD, "name": " "}], id="blank-name"),
        pytest.param([{**GOOD, "name": " clerks"}], id="name-after-a-blank"),
        pytest.param([{**GOOD, "name": "clerks "}], id="name-before-a-blank"),
        pytest.param([{**GOOD, "api_keys": "k1"}], id="keys-no-list"),
        pytest.param([{**GOOD, "api_keys": [1]}], id="key-a-number"),
        pytest.param([{**GOOD, "priority": "high"}], id="priority-text"),
        pytest.param([{**GOOD, "rate_per_s": []}], id="rate-a-list"),
        pytest.param([GOOD, {**GOOD, "burst": "x"}], id="one-of-two"),
    ],
)
def test_configuration_with_broken_groups_is_rejected_whole(tenants: Any) -> None:
    """Routes of a version without its groups would be open to callers without a key."""
    content = json.dumps({**CONFIG, "tenants": tenants}).encode()
    assert isinstance(decode_routes(content), Failure)


@pytest.mark.parametrize("seed", range(30))
def test_damaged_configuration_is_rejected_or_decoded(seed: int) -> None:
    rng = random.Random(seed)
    content = bytearray(json.dumps({**CONFIG, "tenants": [GOOD, {**GOOD, "name": "b"}]}).encode())
    for _ in range(rng.randint(1, 8)):
        content[rng.randrange(len(content))] = rng.randrange(256)
    decode_routes(bytes(content))


def test_configuration_without_groups_has_no_table_and_an_empty_list_has_one() -> None:
    """An empty list names groups: the last one may have been taken away."""
    assert decode_routes(json.dumps(CONFIG).encode()).unwrap().groups is None
    assert decode(None).groups is None
    assert decode([]).groups == GroupTable({}, {})


def test_groups_and_routes_are_those_of_one_version() -> None:
    old = decode([GOOD])
    new = decode([{**GOOD, "api_keys": ["k3"]}], version=8)
    assert old.groups is not None
    assert new.groups is not None
    assert (old.version, new.version) == (7, 8)
    assert find_group(old.groups.group_by_key_digest, b"k1") is not None
    assert find_group(new.groups.group_by_key_digest, b"k1") is None


def test_key_in_two_groups_belongs_to_the_first() -> None:
    table = groups({**GOOD, "name": "a"}, {**GOOD, "name": "b", "api_keys": ["k2", "k3"]})
    holders = {key: find_group(table.group_by_key_digest, key) for key in (b"k1", b"k2", b"k3")}
    assert {key: group and group.name for key, group in holders.items()} == {
        b"k1": "a",
        b"k2": "a",
        b"k3": "b",
    }


def test_second_entry_of_a_name_adds_its_keys_only() -> None:
    table = groups(GOOD, {"name": "clerks", "api_keys": ["k9"], "priority": 5})
    assert table.group_by_name["clerks"].priority == 1
    assert find_group(table.group_by_key_digest, b"k9") is table.group_by_name["clerks"]


def test_no_key_is_kept_in_the_clear() -> None:
    table = decode([{**GOOD, "api_keys": ["a-secret-key"]}])
    assert "a-secret-key" not in repr(table)
    assert table.groups is not None
    assert key_digest(b"a-secret-key") in table.groups.group_by_key_digest


def test_keys_beyond_ascii_are_found_by_their_bytes() -> None:
    table = groups({**GOOD, "api_keys": ["schlüssel"]})
    assert find_group(table.group_by_key_digest, "schlüssel".encode()) is not None


@pytest.mark.parametrize("key", [" k1", "k1 ", "\tk1 "])
def test_blanks_around_a_key_do_not_count(key: str) -> None:
    """A request's header cannot hold them, so a key kept with them would be refused for ever."""
    table = groups({**GOOD, "api_keys": [key]})
    given = WIRE.read_key(request((b"authorization", b"Token " + key.encode())))
    assert given == b"k1"
    assert find_group(table.group_by_key_digest, given) is not None


def test_huge_list_is_decoded() -> None:
    table = groups(*({**GOOD, "name": f"g{n}", "api_keys": [f"k{n}"]} for n in range(20_000)))
    assert len(table.group_by_name) == len(table.group_by_key_digest) == 20_000


@pytest.mark.parametrize(
    "forged",
    [
        pytest.param((), id="nothing"),
        pytest.param(((b"x-tenant", b"bosses"),), id="one"),
        pytest.param(((b"x-tenant", b"bosses"), (b"x-tenant", b"clerks")), id="two"),
    ],
)
@pytest.mark.parametrize(("group", "told"), [("clerks", [b"clerks"]), ("", [])])
def test_target_is_told_the_group_by_this_box_alone(
    forged: tuple[tuple[bytes, bytes], ...], group: str, told: list[bytes]
) -> None:
    incoming = request((b"authorization", b"Token k1"), *forged)
    caller = WIRE.with_group(WIRE.read_request(incoming), group, ORDER)
    sent = WIRE.target_request(caller, "i-7", 100.2)
    assert [value for name, value in sent.headers if name == b"x-tenant"] == told
    assert b"k1" not in b"".join(name + value for name, value in sent.headers)
    forwarded = WIRE.forwarded_headers(caller.http)
    assert not {b"authorization", b"x-tenant"} & {name for name, _ in forwarded}


def test_without_groups_headers_are_forwarded_as_they_came() -> None:
    incoming = request((b"authorization", b"Basic abc"), (b"x-tenant", b"t"))
    sent = WIRE.target_request(WIRE.read_request(incoming), "i-7", 100.2)
    assert header(sent.headers, b"authorization") == b"Basic abc"
    assert header(sent.headers, b"x-tenant") == b"t"
