"""INI reader with validation: rejects unknown keys, requires units and reports all errors."""

import configparser
import re
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple, TypeVar

T = TypeVar("T")

_SECONDS_BY_UNIT: Final = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
_DURATION: Final = re.compile(r"^(\d+(?:\.\d+)?)(ms|s|m|h|d)$")


class IniError(NamedTuple):
    """An error in an INI file, with its location and how to fix it."""

    file: str
    section: str
    key: str
    detail: str
    remedy: str

    def sentence(self) -> str:
        """Return the error as a single line."""
        place = f"[{self.section}]" + (f" {self.key}" if self.key else "")
        return f"{self.file}: {place if self.section else 'file'}: {self.detail}. {self.remedy}."


class InvalidIniError(Exception):
    """Raised with all errors found in a file."""

    def __init__(self, errors: Iterable[IniError]) -> None:
        self.errors = tuple(errors)
        super().__init__("\n".join(error.sentence() for error in self.errors))


def parse_duration(text: str) -> float:
    """Parse a duration such as `70ms`, `2s` or `5m` and return seconds; the unit is required."""
    match = _DURATION.match(text.strip())
    if match is None:
        raise ValueError("a duration needs a number and one of the units ms, s, m, h, d")
    return float(match.group(1)) * _SECONDS_BY_UNIT[match.group(2)]


def parse_positive(text: str) -> float:
    """Parse a finite number above zero."""
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError("the number must be above zero")
    return value


def parse_count(text: str) -> int:
    """Parse an integer of at least 1."""
    value = int(text)
    if value < 1:
        raise ValueError("the number must be at least 1")
    return value


def parse_fraction(text: str) -> float:
    """Parse a number from 0 to 1."""
    value = float(text)
    if not 0 <= value <= 1:
        raise ValueError("the number must lie between 0 and 1")
    return value


def parse_words(text: str) -> tuple[str, ...]:
    """Split a comma-separated value into its non-empty words."""
    return tuple(word.strip() for word in text.split(",") if word.strip())


class IniReader:
    """Read an INI text and collect all errors instead of stopping at the first."""

    def __init__(self, file: str, text: str) -> None:
        self.file = file
        self.errors: list[IniError] = []
        self._used: set[tuple[str, str]] = set()
        self._parser = configparser.ConfigParser(interpolation=None, strict=True)
        self._parser.optionxform = str  # type: ignore[assignment,method-assign]
        try:
            self._parser.read_string(text, source=file)
        except configparser.Error as error:
            detail = str(error).replace("\n", " ")
            raise InvalidIniError([IniError(file, "", "", detail, "Write it as INI")]) from error

    def sections(self) -> list[str]:
        """Return the names of all sections."""
        return self._parser.sections()

    def keys(self, section: str) -> list[str]:
        """Return the keys of a section and mark them as known."""
        keys = list(self._parser[section])
        self._used.update((section, key) for key in keys)
        return keys

    def raw(self, section: str, key: str) -> str:
        """Return the unparsed value of an existing key."""
        return self._parser[section][key]

    def fail(self, section: str, key: str, detail: str, remedy: str) -> None:
        """Add an error."""
        self.errors.append(IniError(self.file, section, key, detail, remedy))

    def get(
        self,
        section: str,
        key: str,
        parse: Callable[[str], T],
        default: T | None = None,
        remedy: str = "",
    ) -> T:
        """Return a parsed value, or add an error and return the default if it is invalid.

        A missing key is an error if there is no default.
        """
        self._used.add((section, key))
        text = self._parser.get(section, key, fallback=None)
        if text is None:
            if default is None:
                self.fail(section, key, "the key is missing", remedy or f"Add `{key} = ...`")
            return default  # type: ignore[return-value]
        try:
            return parse(text)
        except ValueError as error:
            self.fail(section, key, f"`{text}` is not valid: {error}", remedy or "Correct it")
            return default  # type: ignore[return-value]

    def check_unknown(self) -> None:
        """Add an error for each key that has not been read."""
        for section in self._parser.sections():
            for key in self._parser[section]:
                if (section, key) not in self._used:
                    self.fail(section, key, "the key is unknown", "Remove it or correct its name")

    def finish(self) -> None:
        """Raise `InvalidIniError` if there are any errors."""
        if self.errors:
            raise InvalidIniError(self.errors)
