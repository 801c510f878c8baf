"""The settings file that the platform writes for each process, read and checked."""

from pathlib import Path
from typing import Final, NamedTuple

from trackwheel.errors import Problem, TrackwheelError
from trackwheel.relay.budget import RetryBudgetLimits
from trackwheel.relay.cold import ColdLimitMargin
from trackwheel.relay.models import Place
from trackwheel.settings import split_address
from trackwheel.units import MILLISECONDS

SETTINGS_VARIABLE: Final = "TRACKWHEEL_CONFIG"
"""Environment variable with the path of the settings file."""


class SettingsError(TrackwheelError):
    """Name every key of the settings file that is missing or wrong."""


class BoxSettings(NamedTuple):
    """Hold what one box on the platform must know before it starts (seconds)."""

    box_id: str
    ip: str
    place: Place
    region_by_failure_domain: dict[str, str]
    clients: str
    readiness: str
    peers: str
    seeds: tuple[str, ...]
    store: str
    speed: float
    """How fast its processor is, in cores of which one is all that a process may use."""
    grace_s: float
    drain_s: float
    budget: RetryBudgetLimits
    cold: ColdLimitMargin


class _Lines:
    """Look up keys and note mistakes."""

    def __init__(self, file: str, text: str) -> None:
        self._file = file
        pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
        self.value_by_key = {key.strip(): value.strip() for key, _, value in pairs}
        self.mistakes: list[str] = []

    def text(self, key: str) -> str:
        """Return a value that must be there."""
        value = self.value_by_key.get(key, "")
        if not value:
            self._note(key, "the key is missing", f"let the platform write `{key}=...`")
        return value

    def number(self, key: str) -> float:
        """Return a number that must be there."""
        text = self.text(key)
        try:
            return float(text) if text else 0.0
        except ValueError:
            self._note(key, f"`{text}` is not a number", "write a number")
            return 0.0

    def optional(self, key: str, default: float) -> float:
        """Return a number of 0 or more that may be missing."""
        if not self.value_by_key.get(key):
            return default
        number = self.number(key)
        if number < 0.0:
            self._note(key, f"`{number:g}` is below 0", "write 0 or more")
        return number

    def positive(self, key: str, default: float) -> float:
        """Return a number above 0 that may be missing."""
        if not self.value_by_key.get(key):
            return default
        number = self.number(key)
        if number <= 0.0 and not any(f": {key}: " in mistake for mistake in self.mistakes):
            self._note(key, f"`{number:g}` is not above 0", "write a number above 0")
        return number

    def address(self, key: str) -> str:
        """Return an address that must be there."""
        text = self.text(key)
        try:
            split_address(text)
        except ValueError as error:
            if text:
                self._note(key, f"`{text}`: {error}", "write IP:PORT")
        return text

    def _note(self, key: str, detail: str, remedy: str) -> None:
        self.mistakes.append(f"{self._file}: {key}: {detail}; remedy: {remedy}")


def parse_settings(file: str, text: str) -> BoxSettings:
    """Return checked settings; raise `SettingsError` that names every mistake."""
    lines = _Lines(file, text)
    settings = BoxSettings(
        box_id=lines.text("node_name"),
        ip=lines.text("ip"),
        place=Place(lines.text("region"), lines.text("zone")),
        region_by_failure_domain={
            key.removeprefix("zones."): value
            for key, value in lines.value_by_key.items()
            if key.startswith("zones.")
        },
        clients=lines.address("listen.front"),
        readiness=lines.address("listen.readiness"),
        # The platform keeps `control` for whoever gives orders; boxes meet their peers there.
        peers=lines.address("listen.control"),
        seeds=_words(lines.value_by_key.get("seeds", "")),
        store=lines.address("platform.address"),
        # The platform runs a share of one core that is so many times as fast.
        speed=lines.positive("limits.cpu_share", 1.0) * lines.positive("limits.cores", 1.0),
        grace_s=lines.number("bounds.grace_s"),
        drain_s=lines.number("bounds.drain_ms") / MILLISECONDS,
        budget=RetryBudgetLimits(
            lines.number("bounds.retry_budget_ratio"),
            lines.number("bounds.retry_window_s"),
            lines.number("bounds.retry_extra"),
        ),
        # Without a word on slack, cold targets get what they bear and no more.
        cold=ColdLimitMargin(
            lines.positive("bounds.warmup_overshoot", 1.0),
            lines.optional("bounds.warmup_slack", 0.0),
        ),
    )
    if lines.mistakes:
        raise SettingsError(Problem("bad_settings", "read", file, "; ".join(lines.mistakes)))
    return settings


def read_settings(path: Path) -> BoxSettings:
    """Return the settings of a file; raise `SettingsError` where it cannot be used."""
    try:
        text = path.read_text()
    except OSError as error:
        problem = Problem("no_settings", "read", str(path), str(error), "Check the path")
        raise SettingsError(problem) from error
    return parse_settings(str(path), text)


def _words(text: str) -> tuple[str, ...]:
    return tuple(word.strip() for word in text.split(",") if word.strip())
