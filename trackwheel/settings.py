"""The settings of one box, read from INI and checked key by key."""

from collections.abc import Callable
from pathlib import Path
from typing import Final, NamedTuple

from trackwheel.addresses import split_address
from trackwheel.ini import (
    IniError,
    IniReader,
    InvalidIniError,
    parse_count,
    parse_duration,
    parse_words,
)

SECTION_BOX: Final = "box"
SECTION_LISTEN: Final = "listen"
SECTION_PLATFORM: Final = "platform"
SECTION_TLS: Final = "tls"
SECTION_CALLERS_TLS: Final = "callers_tls"
SECTION_OPERATORS_TLS: Final = "operators_tls"
SECTION_LOG: Final = "log"
SECTION_FLEET: Final = "fleet"
SECTION_LIMITS: Final = "limits"

CONF_ID: Final = "id"
CONF_REGION: Final = "region"
CONF_FAILURE_DOMAIN: Final = "failure_domain"
CONF_CALLERS: Final = "callers"
CONF_PEERS: Final = "peers"
CONF_OPERATORS: Final = "operators"
CONF_KEY_VALUE: Final = "key_value"
CONF_BOX_LIST: Final = "box_list"
CONF_AUTHORITY: Final = "authority"
CONF_CERTIFICATE: Final = "certificate"
CONF_PRIVATE_KEY: Final = "private_key"
CONF_FORMAT: Final = "format"
CONF_LEVEL: Final = "level"
CONF_PROBE_PERIOD: Final = "probe_period"
CONF_PROBE_TIMEOUT: Final = "probe_timeout"
CONF_SUSPICION: Final = "suspicion"
CONF_DRAIN: Final = "drain"
CONF_MEMORY_MB: Final = "memory_mb"

DEFAULT_PROBE_PERIOD: Final = 0.5
DEFAULT_PROBE_TIMEOUT: Final = 0.25
DEFAULT_SUSPICION: Final = 0.6
DEFAULT_DRAIN: Final = 30.0
DEFAULT_MEMORY_MB: Final = 256
MEGABYTE: Final = 1_000_000
LOG_FORMATS: Final = ("text", "json")
LOG_LEVELS: Final = ("debug", "info", "warning", "error")


class TlsSettings(NamedTuple):
    """Name the files that authenticate this box to its peers."""

    authority: Path
    certificate: Path
    private_key: Path


class HttpTlsSettings(NamedTuple):
    """Name the files for HTTPS on one address; whoever calls must show the authority's word."""

    certificate: Path
    private_key: Path
    authority: Path | None


class Settings(NamedTuple):
    """Hold everything that one box must know before it starts."""

    box_id: str
    region: str
    failure_domain: str
    callers: str
    peers: str
    operators: str
    key_value: str
    box_list: str
    tls: TlsSettings | None
    callers_tls: HttpTlsSettings | None
    operators_tls: HttpTlsSettings | None
    log_format: str
    log_level: str
    probe_period_s: float
    probe_timeout_s: float
    suspicion_s: float
    drain_s: float
    memory_bytes: int = DEFAULT_MEMORY_MB * MEGABYTE
    """Memory of the machine for this box."""


def _parse_address(text: str) -> str:
    split_address(text)
    return text


def _parse_url(text: str) -> str:
    if not text.startswith(("http://", "https://")):
        raise ValueError("a URL starts with http:// or https://")
    return text.rstrip("/")


def _one_of(choices: tuple[str, ...]) -> Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(f"it is one of {', '.join(choices)}")
        return text

    return parse


def _parse_name(text: str) -> str:
    words = parse_words(text)
    if len(words) != 1 or any(character.isspace() for character in words[0]):
        raise ValueError("a name is one word")
    return words[0]


def parse_settings(file: str, text: str) -> Settings:
    """Return checked settings; raise `InvalidIniError` that name every mistake."""
    reader = IniReader(file, text)
    known = (
        SECTION_BOX,
        SECTION_LISTEN,
        SECTION_PLATFORM,
        SECTION_TLS,
        SECTION_CALLERS_TLS,
        SECTION_OPERATORS_TLS,
        SECTION_LOG,
        SECTION_FLEET,
        SECTION_LIMITS,
    )
    for section in reader.sections():
        if section not in known:
            remedy = f"Use one of {', '.join(known)}"
            reader.fail(section, "", "the section is unknown", remedy)
            reader.keys(section)
    box, listen, platform = SECTION_BOX, SECTION_LISTEN, SECTION_PLATFORM
    settings = Settings(
        box_id=reader.get(box, CONF_ID, _parse_name),
        region=reader.get(box, CONF_REGION, _parse_name),
        failure_domain=reader.get(box, CONF_FAILURE_DOMAIN, _parse_name),
        callers=reader.get(listen, CONF_CALLERS, _parse_address),
        peers=reader.get(listen, CONF_PEERS, _parse_address),
        operators=reader.get(listen, CONF_OPERATORS, _parse_address),
        key_value=reader.get(platform, CONF_KEY_VALUE, _parse_url),
        box_list=reader.get(platform, CONF_BOX_LIST, _parse_url),
        tls=_read_tls(reader),
        callers_tls=_read_http_tls(reader, SECTION_CALLERS_TLS),
        operators_tls=_read_http_tls(reader, SECTION_OPERATORS_TLS),
        log_format=reader.get(SECTION_LOG, CONF_FORMAT, _one_of(LOG_FORMATS), "text"),
        log_level=reader.get(SECTION_LOG, CONF_LEVEL, _one_of(LOG_LEVELS), "info"),
        probe_period_s=_duration(reader, CONF_PROBE_PERIOD, DEFAULT_PROBE_PERIOD),
        probe_timeout_s=_duration(reader, CONF_PROBE_TIMEOUT, DEFAULT_PROBE_TIMEOUT),
        suspicion_s=_duration(reader, CONF_SUSPICION, DEFAULT_SUSPICION),
        drain_s=_duration(reader, CONF_DRAIN, DEFAULT_DRAIN),
        memory_bytes=MEGABYTE
        * reader.get(SECTION_LIMITS, CONF_MEMORY_MB, parse_count, DEFAULT_MEMORY_MB),
    )
    reader.check_unknown()
    reader.finish()
    return settings


def _duration(reader: IniReader, key: str, default: float) -> float:
    return reader.get(SECTION_FLEET, key, parse_duration, default)


def _read_tls(reader: IniReader) -> TlsSettings | None:
    if SECTION_TLS not in reader.sections():
        return None
    authority = reader.get(SECTION_TLS, CONF_AUTHORITY, Path)
    certificate = reader.get(SECTION_TLS, CONF_CERTIFICATE, Path)
    private_key = reader.get(SECTION_TLS, CONF_PRIVATE_KEY, Path)
    return TlsSettings(authority, certificate, private_key)


def _read_http_tls(reader: IniReader, section: str) -> HttpTlsSettings | None:
    if section not in reader.sections():
        return None
    authority = reader.get(section, CONF_AUTHORITY, str, "")
    return HttpTlsSettings(
        certificate=reader.get(section, CONF_CERTIFICATE, Path),
        private_key=reader.get(section, CONF_PRIVATE_KEY, Path),
        authority=Path(authority) if authority else None,
    )


def load_settings(path: Path) -> Settings:
    """Return the checked settings in a file; raise `InvalidIniError`."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = IniError(str(path), "", "", str(error), "Name a readable UTF-8 file")
        raise InvalidIniError([problem]) from error
    return parse_settings(str(path), text)
