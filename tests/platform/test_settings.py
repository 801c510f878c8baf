"""Parsing and validation of the platform's settings file."""

import pytest

from trackwheel.platform.settings import SettingsError, parse_settings

GOOD = """\
node_name=front-1
ip=10.1.0.9
zone=a
region=east
zones.a=east
zones.b=west
listen.front=10.1.0.9:8104
listen.readiness=10.1.0.9:8108
listen.control=10.1.0.9:8106
internal_port_range=7380,7395
seeds=10.1.0.9:8106,10.2.0.21:8106
bounds.drain_ms=3000
bounds.grace_s=6
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.retry_extra=54
platform.address=10.200.1.7:8102
something.new=1
"""


def test_settings_are_read() -> None:
    settings = parse_settings("s.conf", GOOD)
    assert settings.box_id == "front-1"
    assert settings.place == ("east", "a")
    assert settings.region_by_failure_domain == {"a": "east", "b": "west"}
    assert settings.seeds == ("10.1.0.9:8106", "10.2.0.21:8106")
    assert settings.budget == (0.2, 10.0, 54.0)
    assert settings.grace_s == 6.0
    assert settings.drain_s == 3.0


@pytest.mark.parametrize(
    ("limits", "speed"),
    [
        pytest.param("", 1.0, id="no-limits"),
        pytest.param("limits.cpu_share=0.5\n", 0.5, id="half-a-core"),
        pytest.param("limits.cpu_share=0.5\nlimits.cores=3\n", 1.5, id="half-of-a-faster-core"),
    ],
)
def test_speed_comes_from_the_limits(limits: str, speed: float) -> None:
    assert parse_settings("s.conf", GOOD + limits).speed == speed


@pytest.mark.parametrize(
    ("limits", "sockets"),
    [
        pytest.param("", 3_896, id="no-limit"),
        pytest.param("limits.max_fds=2870\n", 2_670, id="without-those-for-files"),
    ],
)
def test_sockets_come_from_the_limits(limits: str, sockets: int) -> None:
    assert parse_settings("s.conf", GOOD + limits).sockets == sockets


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [
        pytest.param("node_name=front-1", "", "node_name: the key is missing", id="missing"),
        pytest.param(":8104", "", "listen.front: `10.1.0.9`", id="no-port"),
        pytest.param(
            "grace_s=6", "grace_s=six", "bounds.grace_s: `six` is not a number", id="not-a-number"
        ),
        pytest.param(
            "something.new=1", "limits.cores=0", "limits.cores: `0` is not above 0", id="zero-cores"
        ),
        pytest.param(
            "something.new=1",
            "limits.cpu_share=x",
            "limits.cpu_share: `x` is not",
            id="share-not-a-number",
        ),
        pytest.param(
            "something.new=1",
            "limits.max_fds=200",
            "limits.max_fds: `200` leaves no sockets",
            id="descriptors-for-files-only",
        ),
    ],
)
def test_problems_name_the_file_and_key(before: str, after: str, expected: str) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_settings("s.conf", GOOD.replace(before, after))
    assert f"s.conf: {expected}" in str(caught.value)


def test_all_problems_are_reported_at_once() -> None:
    with pytest.raises(SettingsError) as caught:
        parse_settings("s.conf", "")
    assert str(caught.value).count("remedy") >= 9


@pytest.mark.parametrize(
    ("lines", "margin"),
    [
        pytest.param("", None, id="none"),
        pytest.param("bounds.quota_window_s=5\nbounds.quota_overshoot=0.1\n", None, id="not-all"),
        pytest.param(
            "bounds.quota_window_s=5\nbounds.quota_overshoot=0.1\nbounds.quota_slack=20\n",
            (5.0, 0.1, 20.0),
            id="all",
        ),
    ],
)
def test_limits_need_all_their_settings(
    lines: str, margin: tuple[float, float, float] | None
) -> None:
    assert parse_settings("s.conf", GOOD + lines).limits == margin
