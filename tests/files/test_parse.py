"""Operators' files: each mistake has one clear error that names file, section, key and remedy."""

import pytest

from trackwheel.files.const import MAX_FILE_BYTES
from trackwheel.files.parse import join_files, parse_file
from trackwheel.ini import InvalidIniError

DIGEST = "0" * 64
GOOD = f"""\
[file]
name = test
[group clerks]
key_sha256 = {DIGEST}
share = 2
services = ledger
[service ledger]
slots = 2
connections = 25
deadline = 100ms
[targets ledger]
0 = muc/muc-a/127.0.0.1:1, muc/muc-b/127.0.0.1:2
1 = nue/nue-a/127.0.0.1:3
"""


def test_good_file() -> None:
    file = parse_file("good.ini", GOOD.encode())
    service = file.service_by_name["ledger"]
    assert service.policy.deadline_s == pytest.approx(0.1)
    assert service.policy.wait_s == pytest.approx(0.1)
    assert [len(targets) for targets in service.targets_by_instance] == [2, 1]
    assert file.group_by_name["clerks"].share == 2.0
    assert join_files([file], 1).policy("clerks", service) == service.policy


@pytest.mark.parametrize(
    ("old", "new", "section", "key", "words"),
    [
        pytest.param("share = 2", "share = 0", "group clerks", "share", "above zero", id="share-0"),
        pytest.param("share = 2", "shar = 2", "group clerks", "shar", "unknown", id="key"),
        pytest.param("share = 2", "", "group clerks", "share", "missing", id="missing"),
        pytest.param("[group clerks]", "[grup clerks]", "grup clerks", "", "unknown", id="section"),
        pytest.param("100ms", "100", "service ledger", "deadline", "units", id="no-unit"),
        pytest.param("100ms", "0s", "service ledger", "deadline", "zero", id="zero-deadline"),
        pytest.param(
            "deadline = 100ms",
            "deadline = 100ms\nwait = 5ms",
            "service ledger",
            "wait",
            "shorter",
            id="wait-shorter",
        ),
        pytest.param("slots = 2", "slots = two", "service ledger", "slots", "two", id="no-number"),
        pytest.param("slots = 2", "slots = 0", "service ledger", "slots", "least 1", id="no-slots"),
        pytest.param(
            "[targets ledger]",
            "[targets other]",
            "targets other",
            "",
            "no such service",
            id="other",
        ),
        pytest.param("1 = nue", "3 = nue", "targets ledger", "", "numbered", id="gap"),
        pytest.param("nue/nue-a/", "nue/", "targets ledger", "1", "REGION", id="target-form"),
        pytest.param(":3", ":99999", "targets ledger", "1", "IP:PORT", id="port"),
        pytest.param(DIGEST, "abc", "group clerks", "key_sha256", "64", id="digest"),
        pytest.param("name = test", "name = a b", "file", "name", "letters", id="name"),
        pytest.param("[file]", "[file]\nname = x", "", "", "already exists", id="key-twice"),
        pytest.param("[file]", "file", "", "", "no section", id="not-ini"),
    ],
)
def test_each_mistake_is_named(old: str, new: str, section: str, key: str, words: str) -> None:
    text = GOOD.replace(old, new, 1)
    assert text != GOOD
    with pytest.raises(InvalidIniError) as caught:
        parse_file("bad.ini", text.encode())
    errors = [error for error in caught.value.errors if words in error.detail]
    assert errors, [error.sentence() for error in caught.value.errors]
    assert errors[0].file == "bad.ini"
    assert (errors[0].section, errors[0].key) == (section, key)
    assert errors[0].remedy


@pytest.mark.parametrize(
    ("content", "words"),
    [
        pytest.param(b"\xff\xfe[file]", "not UTF-8", id="encoding"),
        pytest.param(b"#" * (MAX_FILE_BYTES + 1), "the store holds", id="megabyte"),
    ],
)
def test_unreadable_files(content: bytes, words: str) -> None:
    with pytest.raises(InvalidIniError, match=words):
        parse_file("bad.ini", content)


def other(text: str) -> str:
    return text.replace("name = test", "name = other")


@pytest.mark.parametrize(
    ("second", "words"),
    [
        pytest.param(other(GOOD), "another file declares this group", id="group-twice"),
        pytest.param(
            other(GOOD).replace("clerks", "drivers"), "another group has the same key", id="key"
        ),
        pytest.param(
            other(GOOD).replace("ledger", "slips").replace("clerks", "drivers"),
            "stands twice",
            id="target-twice",
        ),
        pytest.param(
            f"[file]\nname = z\n[group drivers]\nkey_sha256 = {'1' * 64}\nshare = 1\n"
            "services = nothing\n",
            "service `nothing` is not declared",
            id="service-missing",
        ),
        pytest.param(
            "[file]\nname = z\n[policy nobody ledger]\ndeadline = 1s\n",
            "group `nobody` is not declared",
            id="group-missing",
        ),
    ],
)
def test_files_that_contradict_each_other(second: str, words: str) -> None:
    files = [parse_file("a.ini", GOOD.encode()), parse_file("b.ini", second.encode())]
    with pytest.raises(InvalidIniError, match=words):
        join_files(files, 1)


def test_policy_of_one_group_at_one_service_stands_in_one_file() -> None:
    policy = "[policy clerks ledger]\ndeadline = 1s\n"
    first = parse_file("a.ini", f"{GOOD}\n{policy}".encode())
    second = parse_file("b.ini", f"[file]\nname = z\n{policy}".encode())
    with pytest.raises(InvalidIniError, match="another file declares this policy"):
        join_files([first, second], 1)
