"""The join kept up to date file by file says the same as joining everything anew."""

from hypothesis import given, settings
from hypothesis import strategies as st

from trackwheel.files.joined import Joined
from trackwheel.files.models import (
    NOTHING_IN_FORCE,
    GroupSpec,
    InForce,
    OperatorsFile,
    Policy,
    ServiceSpec,
    TargetSpec,
)
from trackwheel.files.parse import join_files
from trackwheel.ini import InvalidIniError

POLICY = Policy(1.0, 1.0, 1.0)
NAMES = st.sampled_from(["x", "y", "z"])


def group(name: str, key: int, services: list[str]) -> GroupSpec:
    return GroupSpec(name, f"{key:064x}", 1.0, tuple(services))


def service(name: str, port: int) -> ServiceSpec:
    targets = ((TargetSpec(f"10.0.0.1:{port}", "r", "r-a"),),)
    return ServiceSpec(name, 2, 25, 0.006, 0.05, 0.99, POLICY, targets)


@st.composite
def files(draw: st.DrawFn, name: str) -> OperatorsFile:
    wanted = st.lists(st.tuples(NAMES, st.integers(0, 3), st.lists(NAMES, max_size=2)), max_size=2)
    groups = [group(n, k, s) for n, k, s in draw(wanted)]
    services = [
        service(n, p) for n, p in draw(st.lists(st.tuples(NAMES, st.integers(0, 5)), max_size=2))
    ]
    pairs = draw(st.lists(st.tuples(NAMES, NAMES), max_size=1))
    return OperatorsFile(
        name,
        {g.name: g for g in groups},
        {s.name: s for s in services},
        dict.fromkeys(pairs, POLICY),
    )


CHANGE = st.sampled_from(["a", "b", "c"]).flatmap(files)


@settings(max_examples=1500, deadline=None, derandomize=True)
@given(st.lists(CHANGE, max_size=12))
def test_same_as_joining_anew(changes: list[OperatorsFile]) -> None:
    joined = Joined()
    held: dict[str, OperatorsFile] = {}
    last = NOTHING_IN_FORCE
    for number, changed in enumerate(changes):
        wanted = {**held, changed.name: changed}
        expected: InForce | None
        try:
            expected = join_files(wanted.values(), number)
        except InvalidIniError:
            expected = None
        try:
            joined.check({changed.name: changed})
            possible = True
        except InvalidIniError:
            possible = False
        assert possible is (expected is not None), "a check says what an update would"
        try:
            view = joined.update({changed.name: changed}, number)
        except InvalidIniError:
            assert expected is None
            continue
        assert view == expected
        assert last == NOTHING_IN_FORCE or last is not view
        held, last = wanted, view
