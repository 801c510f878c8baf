"""Load: every request of callers who compete carries a key, right or wrong, at every box.

What a key is read from, whose it is, and that one look-up serves both ways into the product.
"""

import pytest

from trackwheel.groups.keys import KeyProblem, identify, key_digest, read_key
from trackwheel.groups.models import (
    LEAST_PRIORITY,
    Group,
    GroupTable,
    Precedence,
    precedence,
)

CLERKS = Group("clerks", 1)
TABLE = GroupTable({"clerks": CLERKS}, {key_digest(b"k1"): CLERKS, key_digest(b"\xff\x00"): CLERKS})
LONG = b"k" * 8192


@pytest.mark.parametrize(
    ("credentials", "key"),
    [
        pytest.param([], None, id="missing"),
        pytest.param([b""], None, id="empty"),
        pytest.param([b"Token"], None, id="scheme-alone"),
        pytest.param([b"Token "], None, id="empty-key"),
        pytest.param([b"Token k1"], b"k1", id="one"),
        pytest.param([b"  Token   k1 "], b"k1", id="blanks"),
        pytest.param([b"tOKEN k1"], b"k1", id="case-of-the-scheme"),
        pytest.param([b"Token K1"], b"K1", id="case-of-the-key"),
        pytest.param([b"Bearer k1"], None, id="other-scheme"),
        pytest.param([b"Tokenk1"], None, id="no-blank"),
        pytest.param([b"k1"], None, id="no-scheme"),
        pytest.param([b"Token k1", b"Token k1"], None, id="twice"),
        pytest.param([b"Token k1", b"Basic x"], None, id="two-schemes"),
        pytest.param([b"Token k1, Token k2"], b"k1, Token k2", id="joined"),
        pytest.param([b"Token \xff\x00"], b"\xff\x00", id="odd-bytes"),
        pytest.param([b"Token " + LONG], LONG, id="8-kB"),
    ],
)
def test_key_is_read_from_exactly_one_credential(
    credentials: list[bytes], key: bytes | None
) -> None:
    assert read_key(credentials, b"token") == key


@pytest.mark.parametrize(
    ("key", "public", "found"),
    [
        pytest.param(b"k1", False, CLERKS, id="known"),
        pytest.param(b"k1", True, CLERKS, id="known-on-a-public-route"),
        pytest.param(b"\xff\x00", False, CLERKS, id="odd-bytes"),
        pytest.param(b"K1", False, KeyProblem.UNKNOWN, id="other-case"),
        pytest.param(b"k1 ", False, KeyProblem.UNKNOWN, id="longer"),
        pytest.param(LONG, False, KeyProblem.UNKNOWN, id="8-kB"),
        pytest.param(b"k2", True, KeyProblem.UNKNOWN, id="unknown-on-a-public-route"),
        pytest.param(None, False, KeyProblem.MISSING, id="missing"),
        pytest.param(None, True, None, id="missing-on-a-public-route"),
    ],
)
def test_request_belongs_to_the_group_of_its_key(
    key: bytes | None, public: bool, found: Group | KeyProblem | None
) -> None:
    assert identify(TABLE, key, public) == found


@pytest.mark.parametrize(
    ("group", "expected"),
    [
        (None, Precedence(LEAST_PRIORITY, 2)),
        (Group("g"), Precedence(LEAST_PRIORITY, 2)),
        (Group("g", 0), Precedence(0, 2)),
    ],
)
def test_precedence_has_the_priority_of_the_group(
    group: Group | None, expected: Precedence
) -> None:
    assert precedence(group, 2) == expected


def test_priority_of_the_group_comes_before_that_of_the_route() -> None:
    urgent, usual = Group("urgent", 0), Group("usual", 1)
    waiting = [
        precedence(None, 0),
        precedence(usual, 0),
        precedence(urgent, 5),
        precedence(usual, 3),
        precedence(urgent, 1),
    ]
    ordered = [(0, 1), (0, 5), (1, 0), (1, 3), (LEAST_PRIORITY, 0)]
    assert [tuple(order) for order in sorted(waiting)] == ordered
