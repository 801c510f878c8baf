"""The keeper: news in any order, from any source, only ever forward and only ever whole."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trackwheel.files.keeper import Keeper, digest_of, is_newer, manifest_digest
from trackwheel.files.models import (
    Contents,
    FetchContents,
    FilesCommand,
    InForce,
    Manifest,
    ManifestEntry,
    Pull,
    Push,
    PutInForce,
    ReadContents,
    SendTo,
)


def content(name: str, number: int) -> bytes:
    digest = f"{sum(name.encode()) * 1000 + number:064x}"
    group = f"[group {name}]\nkey_sha256 = {digest}\nshare = {number}\n"
    return f"[file]\nname = {name}\n{group}".encode()


def history(length: int) -> tuple[list[Manifest], dict[str, bytes]]:
    """Return manifests that follow one another, each changing one of three files."""
    manifests: list[Manifest] = []
    contents: dict[str, bytes] = {}
    entries: dict[str, ManifestEntry] = {}
    for revision in range(1, length + 1):
        name = "abc"[revision % 3]
        data = content(name, revision)
        contents[digest_of(data)] = data
        entry = ManifestEntry(revision, digest_of(data), f"id{revision}", "op", "now")
        entries = {**entries, name: entry}
        ids = tuple(f"id{number}" for number in range(1, revision + 1))
        manifests.append(Manifest(revision, entries, ids))
    return manifests, contents


def in_force(commands: list[FilesCommand]) -> list[InForce]:
    return [command.in_force for command in commands if isinstance(command, PutInForce)]


def test_manifest_is_in_force_once_its_contents_are_here() -> None:
    manifests, contents = history(1)
    keeper = Keeper()
    commands = keeper.offer(manifests[0], "peer")
    assert commands == [SendTo("peer", FetchContents(list(contents)))]
    assert keeper.revision == 0
    put = in_force(keeper.add_contents(contents))
    assert [view.revision for view in put] == [1]


def test_content_with_another_digest_is_not_taken() -> None:
    manifests, contents = history(1)
    keeper = Keeper()
    keeper.offer(manifests[0], None)
    digest = next(iter(contents))
    assert keeper.add_contents({digest: b"[file]\nname = evil\n"}) == []
    assert keeper.revision == 0


@pytest.mark.parametrize("source", ["peer", None], ids=["peer", "store"])
def test_older_manifest_never_comes_back(source: str | None) -> None:
    manifests, contents = history(5)
    keeper = Keeper()
    keeper.add_contents(contents)
    keeper.offer(manifests[4], source)
    for older in manifests[:4]:
        assert keeper.offer(older, source) == []
    assert keeper.revision == 5


def test_two_manifests_of_one_revision_end_as_the_same_everywhere() -> None:
    one, contents_one = history(2)
    data = content("z", 9)
    entry = ManifestEntry(2, digest_of(data), "other", "op", "now")
    fork = Manifest(2, {**one[0].entry_by_name, "z": entry}, ("id1", "other"))
    contents = {**contents_one, digest_of(data): data}
    results = []
    for order in ((one[1], fork), (fork, one[1])):
        keeper = Keeper()
        for manifest in order:
            keeper.add_contents(contents)
            keeper.offer(manifest, None)
        results.append(manifest_digest(keeper.manifest))
    assert results[0] == results[1]
    assert is_newer(one[1], fork) is not is_newer(fork, one[1])


def test_box_behind_pulls_and_box_ahead_pushes() -> None:
    manifests, contents = history(4)
    ahead, behind = Keeper(), Keeper()
    ahead.add_contents(contents)
    ahead.offer(manifests[3], None)
    assert behind.peer_revision("ahead", 4) == [SendTo("ahead", Pull(0))]
    push = ahead.peer_revision("behind", 0)[0]
    assert isinstance(push, SendTo)
    assert isinstance(push.message, Push)
    fetch = behind.take_push("ahead", push.message)[0]
    assert isinstance(fetch, SendTo)
    assert isinstance(fetch.message, FetchContents)
    given_back = ahead.take_fetch("behind", fetch.message)[0]
    assert isinstance(given_back, SendTo)
    assert isinstance(given_back.message, Contents)
    assert in_force(behind.add_contents(given_back.message.content_by_digest))
    assert behind.manifest == ahead.manifest


def test_news_are_pushed_to_neighbours_as_changes_only() -> None:
    manifests, contents = history(6)
    keeper = Keeper()
    keeper.set_neighbours(["n1", "n2"])
    keeper.add_contents(contents)
    keeper.offer(manifests[4], None)
    keeper.add_contents(contents)
    commands = keeper.offer(manifests[5], None)
    pushes = [command for command in commands if isinstance(command, SendTo)]
    assert [push.address for push in pushes] == ["n1", "n2"]
    message = pushes[0].message
    assert isinstance(message, Push)
    assert len(message.entry_by_name) == 1


def test_file_that_cannot_be_read_leaves_what_is_in_force() -> None:
    manifests, contents = history(1)
    keeper = Keeper()
    keeper.add_contents(contents)
    keeper.offer(manifests[0], None)
    bad = b"[file]\nname = a\n[nonsense]\n"
    entry = ManifestEntry(2, digest_of(bad), "x", "op", "now")
    keeper.offer(Manifest(2, {"a": entry}, ("id1", "x")), None)
    assert keeper.add_contents({digest_of(bad): bad}) == []
    assert keeper.revision == 1
    assert keeper.refused_revision == 2


EVENT = st.tuples(
    st.sampled_from(["offer", "contents", "push", "stale_push", "peer"]),
    st.integers(0, 11),
    st.integers(0, 11),
)


@settings(max_examples=800, deadline=None, derandomize=True)
@given(events=st.lists(EVENT, max_size=40))
def test_no_order_of_news_reverts_or_mixes(events: list[tuple[str, int, int]]) -> None:
    manifests, contents = history(12)
    digests = list(contents)
    keeper = Keeper()
    known = {manifest_digest(manifest) for manifest in manifests}
    highest = 0
    for kind, one, other in events:
        commands: list[FilesCommand] = []
        if kind == "offer":
            commands = keeper.offer(manifests[one], "peer" if other % 2 else None)
        elif kind == "contents":
            commands = keeper.add_contents({digests[one]: contents[digests[one]]})
        elif kind in ("push", "stale_push"):
            base = min(one, other)
            target = manifests[max(one, other)]
            changed = {n: e for n, e in target.entry_by_name.items() if e.version > base}
            wrong = kind == "stale_push"
            digest = "wrong" if wrong else manifest_digest(target)
            ids = target.recent_apply_ids[base:]
            push = Push(base, target.revision, digest, changed, ids)
            commands = keeper.take_push("peer", push)
        else:
            commands = keeper.peer_revision("peer", one)
        for view in in_force(commands):
            assert view.revision > highest, "never back"
            highest = view.revision
        assert keeper.revision == highest
        if highest:
            assert manifest_digest(keeper.manifest) in known, "never a mixture"
            assert set(keeper.contents()) == {
                entry.digest for entry in keeper.manifest.entry_by_name.values()
            }
            whole = keeper.peer_revision("newcomer", 0)[0]
            assert isinstance(whole, SendTo)
            assert isinstance(whole.message, Push)
            assert whole.message.digest == manifest_digest(keeper.manifest)
            expected_ids = tuple(f"id{number}" for number in range(1, highest + 1))
            assert keeper.manifest.recent_apply_ids == expected_ids
        for command in commands:
            if isinstance(command, ReadContents):
                keeper.add_contents({digest: contents[digest] for digest in command.digests})
                highest = keeper.revision


def test_contents_go_out_in_messages_that_fit_a_frame() -> None:
    """A newcomer that lacks twelve files of nearly a megabyte gets them all."""
    contents = {}
    entries = {}
    for number in range(12):
        data = content(chr(97 + number), number + 1) + b"# " + b"x" * 900_000 + b"\n"
        contents[digest_of(data)] = data
        name = chr(97 + number)
        entries[name] = ManifestEntry(number + 1, digest_of(data), f"id{number}", "op", "now")
    ahead, newcomer = Keeper(), Keeper()
    ahead.add_contents(contents)
    ahead.offer(Manifest(12, entries, ()), None)
    answers = ahead.take_fetch("newcomer", FetchContents(list(contents)))
    newcomer.offer(ahead.manifest, "ahead")
    for command in answers:
        assert isinstance(command, SendTo)
        assert isinstance(command.message, Contents)
        found = command.message.content_by_digest
        assert sum(map(len, found.values())) < 3_000_000
        newcomer.add_contents(found)
    assert newcomer.revision == 12
