"""Parsing and validation of the settings file that the platform writes for each process."""

from pathlib import Path
from typing import Final, NamedTuple

from trackwheel.addresses import split_address
from trackwheel.errors import Problem, TrackwheelError
from trackwheel.http1.const import DEFAULT_MEMORY_BYTES
from trackwheel.limits.budget import LimitMargin
from trackwheel.relay.models import Place
from trackwheel.selection.budget import RetryBudgetLimits
from trackwheel.selection.cold import ColdLimitMargin
from trackwheel.units import MILLISECONDS

SETTINGS_VARIABLE: Final = "TRACKWHEEL_CONFIG"
"""Environment variable with the path of the settings file."""
MEGABYTE: Final = 1_000_000
"""Bytes of a megabyte in the settings; the smaller of the two usual units."""


FILE_DESCRIPTORS: Final = 200
"""Descriptors of a process that the platform sets aside for files; sockets get the others."""
DEFAULT_DESCRIPTORS: Final = 4_096
"""Descriptors of a process whose settings name no limit."""


class SettingsError(TrackwheelError):
    """The settings file cannot be used; names every key that is missing or invalid."""


class BoxSettings(NamedTuple):
    """Settings of one box on the platform (durations in seconds)."""

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
    """Processor capacity of the box, in cores; a process uses at most one."""
    grace_s: float
    drain_s: float
    budget: RetryBudgetLimits
    cold: ColdLimitMargin
    limits: LimitMargin | None = None
    """Margin above the limits of groups; None where limits are not enforced."""
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    """Memory above which the platform kills the process."""
    sockets: int = DEFAULT_DESCRIPTORS - FILE_DESCRIPTORS
    """Sockets that the process may have open."""


class _SettingsReader:
    """Look up keys and collect the problems found."""

    def __init__(self, file: str, text: str) -> None:
        self._file = file
        pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
        self.value_by_key = {key.strip(): value.strip() for key, _, value in pairs}
        self.problems: list[str] = []

    def text(self, key: str) -> str:
        """Return a required value."""
        value = self.value_by_key.get(key, "")
        if not value:
            self.add_problem(key, "the key is missing", f"set `{key}=...`")
        return value

    def number(self, key: str) -> float:
        """Return a required number."""
        text = self.text(key)
        try:
            return float(text) if text else 0.0
        except ValueError:
            self.add_problem(key, f"`{text}` is not a number", "write a number")
            return 0.0

    def optional(self, key: str, default: float) -> float:
        """Return an optional number that must be 0 or more."""
        if not self.value_by_key.get(key):
            return default
        number = self.number(key)
        if number < 0.0:
            self.add_problem(key, f"`{number:g}` is below 0", "write 0 or more")
        return number

    def positive(self, key: str, default: float) -> float:
        """Return an optional number that must be above 0."""
        if not self.value_by_key.get(key):
            return default
        number = self.number(key)
        if number <= 0.0 and not any(f": {key}: " in problem for problem in self.problems):
            self.add_problem(key, f"`{number:g}` is not above 0", "write a number above 0")
        return number

    def address(self, key: str) -> str:
        """Return a required address."""
        text = self.text(key)
        try:
            split_address(text)
        except ValueError as error:
            if text:
                self.add_problem(key, f"`{text}`: {error}", "write IP:PORT")
        return text

    def add_problem(self, key: str, detail: str, remedy: str) -> None:
        """Report a value that cannot be used."""
        self.problems.append(f"{self._file}: {key}: {detail}; remedy: {remedy}")


def parse_settings(file: str, text: str) -> BoxSettings:
    """Return the validated settings; raise a `SettingsError` that names every problem."""
    reader = _SettingsReader(file, text)
    settings = BoxSettings(
        box_id=reader.text("node_name"),
        ip=reader.text("ip"),
        place=Place(reader.text("region"), reader.text("zone")),
        region_by_failure_domain={
            key.removeprefix("zones."): value
            for key, value in reader.value_by_key.items()
            if key.startswith("zones.")
        },
        clients=reader.address("listen.front"),
        readiness=reader.address("listen.readiness"),
        # The platform reserves `control` for operators' commands; boxes accept their peers there.
        peers=reader.address("listen.control"),
        seeds=_split_list(reader.value_by_key.get("seeds", "")),
        store=reader.address("platform.address"),
        # The platform grants a share of one core that is `cores` times as fast.
        speed=reader.positive("limits.cpu_share", 1.0) * reader.positive("limits.cores", 1.0),
        grace_s=reader.number("bounds.grace_s"),
        drain_s=reader.number("bounds.drain_ms") / MILLISECONDS,
        budget=RetryBudgetLimits(
            reader.number("bounds.retry_budget_ratio"),
            reader.number("bounds.retry_window_s"),
            reader.number("bounds.retry_extra"),
        ),
        # Without a configured slack, cold targets get exactly the rate that they can take.
        cold=ColdLimitMargin(
            reader.positive("bounds.warmup_overshoot", 1.0),
            reader.optional("bounds.warmup_slack", 0.0),
        ),
        limits=_read_limit_margin(reader),
        memory_bytes=int(
            reader.positive("limits.memory_mb", DEFAULT_MEMORY_BYTES / MEGABYTE) * MEGABYTE
        ),
        sockets=_read_sockets(reader),
    )
    if reader.problems:
        raise SettingsError(Problem("bad_settings", "read", file, "; ".join(reader.problems)))
    return settings


def read_settings(path: Path) -> BoxSettings:
    """Return the settings in a file; raise `SettingsError` if it cannot be used."""
    try:
        text = path.read_text()
    except OSError as error:
        problem = Problem("no_settings", "read", str(path), str(error), "Check the path")
        raise SettingsError(problem) from error
    return parse_settings(str(path), text)


def _read_sockets(reader: _SettingsReader) -> int:
    descriptors = int(reader.positive("limits.max_fds", DEFAULT_DESCRIPTORS))
    if descriptors <= FILE_DESCRIPTORS:
        reader.add_problem(
            "limits.max_fds",
            f"`{descriptors}` leaves no sockets beside {FILE_DESCRIPTORS} files",
            f"write more than {FILE_DESCRIPTORS}",
        )
    return descriptors - FILE_DESCRIPTORS


def _read_limit_margin(reader: _SettingsReader) -> LimitMargin | None:
    """Return the margin above groups' limits; None without all of its settings."""
    keys = ("bounds.quota_window_s", "bounds.quota_overshoot", "bounds.quota_slack")
    if not all(reader.value_by_key.get(key) for key in keys):
        return None
    window, overshoot, slack = keys
    return LimitMargin(
        reader.positive(window, 1.0), reader.optional(overshoot, 0.0), reader.optional(slack, 0.0)
    )


def _split_list(text: str) -> tuple[str, ...]:
    return tuple(word.strip() for word in text.split(",") if word.strip())
