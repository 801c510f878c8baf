"""The one client of the platform's metadata store, giving the directory its source."""

import base64
import binascii
import time
from typing import Final, TypeVar
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from trackwheel.directory.models import (
    EntryGone,
    HistoryGoneError,
    RoutesRead,
    TargetEntry,
    TargetsRead,
)
from trackwheel.errors import Problem, TrackwheelError
from trackwheel.http1.call import call_once
from trackwheel.http1.models import Request
from trackwheel.platform.decode import decode_routes, decode_target
from trackwheel.platform.errors import store_error
from trackwheel.platform.names import (
    KEY_CONFIG,
    PATH_RANGE,
    PATH_WATCH,
    PREFIX_TARGETS,
)
from trackwheel.routing.models import RouteTable
from trackwheel.settings import split_address
from trackwheel.telemetry.events import EventLog
from trackwheel.units import MILLISECONDS

STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_HISTORY_GONE: Final = 410
MANY_EVENTS: Final = 400
"""An answer to a watch holds about 500 events; with so many of them others wait behind."""
COPY_WILL_DO: Final = {"stale_ok": "1"}
"""Such a read costs a tenth of another one and does not count against the rate."""
UNAVAILABLE: Final = "store_unavailable"

T = TypeVar("T")


class _Item(msgspec.Struct):
    # The key's name on the wire has nothing to do with TLS.
    tls_key: str
    revision: int
    value: str = ""
    deleted: bool = False
    as_of: int = 0

    def content(self) -> bytes:
        """Return the decoded value."""
        return base64.b64decode(self.value, validate=True)


class _Page(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    as_of: int


class _Events(msgspec.Struct):
    events: list[_Item]
    as_of: int


class StoreClient:
    """Call the store over HTTP; each call is bounded by the time that the caller allows.

    The box's own HTTP client does for that: a second one with its parts, and the certificates that
    it read, took half of the processor time of a start (0.6 s with it, 0.3 s without, the smallest
    of eight each).
    """

    def __init__(self, address: str, call_timeout_s: float, log: EventLog) -> None:
        self._address = address
        self._host, self._port = split_address(address)
        self._call_timeout_s = call_timeout_s
        self._log = log

    def decode_routes(self, content: bytes) -> Result[RouteTable, TrackwheelError]:
        """Return the configuration that some bytes hold."""
        return decode_routes(content)

    async def read_routes(self, copy: bool = False) -> Result[RoutesRead, TrackwheelError]:
        """Return the configuration as it stands."""
        parameters = {"path_prefix": KEY_CONFIG, **(COPY_WILL_DO if copy else {})}
        answer = await self._get(PATH_RANGE, parameters, 0.0)
        return answer.bind(self._routes_page)

    async def watch_routes(self, after: int, wait_s: float) -> Result[RoutesRead, TrackwheelError]:
        """Return the configuration when it changes after a revision, or nothing after a while."""
        answer = await self._watch(KEY_CONFIG, after, wait_s)
        return answer.bind(self._routes_events)

    async def read_targets(self, copy: bool = False) -> Result[TargetsRead, TrackwheelError]:
        """Return all entries of targets, page by page; news since the first page come by watch."""
        entries: list[TargetEntry] = []
        as_of: int | None = None
        last = ""
        while True:
            parameters = {"path_prefix": PREFIX_TARGETS, **(COPY_WILL_DO if copy else {})}
            if last:
                # Here the field names the last key of the page before, not a revision.
                parameters["after"] = last
            match await self._get(PATH_RANGE, parameters, 0.0):
                case Success(content):
                    page = self._decode(content, _Page, "read_targets")
                case Failure() as failure:
                    return failure
            if isinstance(page, TrackwheelError):
                return Failure(page)
            entries += self._entries(page.items)
            as_of = page.as_of if as_of is None else as_of
            if not page.has_more or not page.items:
                return Success(TargetsRead(None, entries, [], as_of))
            last = page.items[-1].tls_key

    async def watch_targets(
        self, after: int, wait_s: float
    ) -> Result[TargetsRead, TrackwheelError]:
        """Return the changes of targets after a revision, or none after a while."""
        match await self._watch(PREFIX_TARGETS, after, wait_s):
            case Success(content):
                events = self._decode(content, _Events, "watch_targets")
            case Failure() as failure:
                return failure
        if isinstance(events, TrackwheelError):
            return Failure(events)
        gone = [
            EntryGone(item.tls_key.removeprefix(PREFIX_TARGETS), item.revision)
            for item in events.events
            if item.deleted
        ]
        entries = self._entries([item for item in events.events if not item.deleted])
        more = len(events.events) >= MANY_EVENTS
        return Success(TargetsRead(after, entries, gone, max(after, events.as_of), more))

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[bytes, TrackwheelError]:
        parameters = {
            "path_prefix": prefix,
            "after": str(after),
            "wait_ms": str(round(wait_s * MILLISECONDS)),
        }
        return await self._get(PATH_WATCH, parameters, wait_s)

    async def _get(
        self, path: str, parameters: dict[str, str], wait_s: float
    ) -> Result[bytes, TrackwheelError]:
        query = f"{path}?{urlencode(parameters)}"
        headers = ((b"host", self._address.encode()),)
        request = Request(b"GET", query.encode(), headers, b"", time.monotonic())
        # A connection for each call: one that went silent while idle would cost its time-out anew.
        end = await call_once(
            self._host, self._port, request, self._call_timeout_s, self._call_timeout_s + wait_s
        )
        if end.answer is None:
            return Failure(store_error(UNAVAILABLE, path, self._address, end.detail))
        status = end.answer.status
        if status == STATUS_HISTORY_GONE:
            detail = "the store has forgotten the changes since then"
            return Failure(HistoryGoneError(Problem("history_gone", path, self._address, detail)))
        if status != STATUS_OK:
            return Failure(store_error(UNAVAILABLE, path, self._address, f"status {status}"))
        return Success(end.answer.body)

    def _routes_page(self, content: bytes) -> Result[RoutesRead, TrackwheelError]:
        page = self._decode(content, _Page, "read_routes")
        if isinstance(page, TrackwheelError):
            return Failure(page)
        return self._routes(page.items, page.as_of)

    def _routes_events(self, content: bytes) -> Result[RoutesRead, TrackwheelError]:
        events = self._decode(content, _Events, "watch_routes")
        if isinstance(events, TrackwheelError):
            return Failure(events)
        return self._routes(events.events, events.as_of)

    def _routes(self, items: list[_Item], as_of: int) -> Result[RoutesRead, TrackwheelError]:
        """Return the newest configuration among some items."""
        written = [item for item in items if item.tls_key == KEY_CONFIG and not item.deleted]
        if not written:
            return Success(RoutesRead(None, b"", as_of))
        try:
            content = written[-1].content()
        except binascii.Error as error:
            return Failure(store_error("bad_config", "decode", KEY_CONFIG, error))
        return decode_routes(content).map(lambda table: RoutesRead(table, content, as_of))

    def _entries(self, items: list[_Item]) -> list[TargetEntry]:
        """Return the entries that can be read; a broken one is logged and left out."""
        entries = []
        for item in items:
            try:
                result = decode_target(item.tls_key, item.content(), item.revision)
            except binascii.Error as error:
                result = Failure(store_error("bad_entry", "decode", item.tls_key, error))
            match result:
                case Success(entry):
                    entries.append(entry)
                case Failure(error):
                    self._log.write("entry_rejected", key=item.tls_key, reason=str(error))
        return entries

    def _decode(self, content: bytes, kind: type[T], step: str) -> T | TrackwheelError:
        try:
            return msgspec.json.decode(content, type=kind)
        except msgspec.DecodeError as error:
            return store_error("bad_answer", step, self._address, error)
