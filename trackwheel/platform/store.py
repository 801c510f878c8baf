"""The one client of the platform's metadata store, giving the directory its source."""

import base64
from collections.abc import Collection
from functools import partial
from typing import Final, NamedTuple, TypeVar
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from trackwheel.clock import steady_now
from trackwheel.directory.models import (
    EntryRemoved,
    Evacuation,
    HistoryGoneError,
    OperatorStateRead,
    TargetEntry,
    TargetsRead,
)
from trackwheel.directory.revisions import era_of, store_revision_of
from trackwheel.errors import Problem, TrackwheelError
from trackwheel.http1.call import call_once
from trackwheel.http1.models import Request, header
from trackwheel.platform.decode import decode_routes, decode_target
from trackwheel.platform.errors import store_error
from trackwheel.platform.items import Change, Events, Expected, Item, Lease, LeaseAsk, Page, Put
from trackwheel.platform.load import read_number
from trackwheel.platform.names import (
    HEADER_ERA,
    KEY_CONFIG,
    PATH_CHANGE,
    PATH_LEASE,
    PATH_RANGE,
    PATH_WATCH,
    PREFIX_EVACUATIONS,
    PREFIX_ORDERS,
    PREFIX_TARGETS,
)
from trackwheel.routing.models import RouteTable
from trackwheel.settings import split_address
from trackwheel.telemetry.events import EventLog
from trackwheel.units import MILLISECONDS

STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_HISTORY_GONE: Final = 410
STATUS_OTHERWISE: Final = 412
"""Nothing was written, since what a change expected is not so."""
MANY_EVENTS: Final = 400
"""An answer to a watch holds about 500 events; with so many of them others wait behind."""
COPY_WILL_DO: Final = {"stale_ok": "1"}
"""Such a read costs a tenth of another one and does not count against the rate."""
MOST_UNUSABLE_KEYS: Final = 1_000
"""Keys that are remembered as named in the log; whoever writes more of them fills no memory."""
LEAST_TTL_MS: Final = 1_000
LONGEST_TTL_MS: Final = 600_000
"""How long leases last, as the platform has it (milliseconds)."""
UNAVAILABLE: Final = "store_unavailable"

T = TypeVar("T")


class StoreAnswer(NamedTuple):
    """Hold the body of an answer, and the era in which the store gave it."""

    era: int
    body: bytes


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
        self._unusable_keys: set[str] = set()
        self.era = 0
        """How often the store has come back from a copy, as far as its answers have told."""

    def decode_routes(self, content: bytes) -> Result[RouteTable, TrackwheelError]:
        """Return the configuration that some bytes hold."""
        return decode_routes(content)

    async def read_operator_state(
        self, copy: bool = False
    ) -> Result[OperatorStateRead, TrackwheelError]:
        """Return the configuration and the evacuations as they stand."""
        reading = await self._read_all(PREFIX_ORDERS, copy)
        return reading.map(lambda found: self._orders(found.items, found.as_of, whole=True))

    async def watch_operator_state(
        self, after: int, wait_s: float
    ) -> Result[OperatorStateRead, TrackwheelError]:
        """Return what changes of them after a revision, or nothing after a while."""
        changes = await self._watch(PREFIX_ORDERS, after, wait_s)
        return changes.map(lambda found: self._orders(found.events, max(after, found.as_of), False))

    async def read_targets(self, copy: bool = False) -> Result[TargetsRead, TrackwheelError]:
        """Return all entries of targets; news since the first page come by watch."""
        reading = await self._read_all(PREFIX_TARGETS, copy)
        return reading.map(
            lambda found: TargetsRead(None, self._entries(found.items)[0], [], found.as_of)
        )

    async def watch_targets(
        self, after: int, wait_s: float
    ) -> Result[TargetsRead, TrackwheelError]:
        """Return the changes of targets after a revision, or none after a while."""
        changes = await self._watch(PREFIX_TARGETS, after, wait_s)
        return changes.map(lambda found: self._target_changes(after, found))

    def _target_changes(self, after: int, found: Events) -> TargetsRead:
        entries, unusable = self._entries([item for item in found.events if not item.deleted])
        gone = [
            EntryRemoved(item.tls_key.removeprefix(PREFIX_TARGETS), item.revision)
            for item in found.events
            if item.deleted
        ]
        more = len(found.events) >= MANY_EVENTS
        return TargetsRead(after, entries, gone + unusable, max(after, found.as_of), more)

    async def read_items(self, prefix: str) -> Result[dict[str, bytes], TrackwheelError]:
        """Return the values of all items below a prefix, seconds old, by their keys without it."""
        reading = await self._read_all(prefix, copy=True)
        return reading.map(
            lambda found: {
                item.tls_key.removeprefix(prefix): item.content().value_or(b"")
                for item in found.items
            }
        )

    async def put_once(
        self, key: str, value: bytes, lasts_s: float
    ) -> Result[None, TrackwheelError]:
        """Write an item for some time (seconds), unless it is there already."""
        ttl_ms = round(min(LONGEST_TTL_MS, max(LEAST_TTL_MS, lasts_s * MILLISECONDS)))
        leased = await self._post(PATH_LEASE, LeaseAsk(ttl_ms))
        match leased.bind(lambda answer: self._decode(answer.body, Lease, f"lease for {key}")):
            case Success(granted):
                put = Put(key, base64.b64encode(value).decode(), granted.lease)
                change = Change(expected_revision=[Expected(key, 0)], puts=[put])
                written = await self._post(PATH_CHANGE, change, (STATUS_OK, STATUS_OTHERWISE))
                return written.map(lambda _: None)
            case failure:
                return failure.map(lambda _: None)

    async def remove_item(self, key: str) -> Result[None, TrackwheelError]:
        """Remove an item, if it is there."""
        return (await self._post(PATH_CHANGE, Change(remove=[key]))).map(lambda _: None)

    async def _read_all(self, prefix: str, copy: bool) -> Result[Page, TrackwheelError]:
        """Return all items below a prefix, page by page, with the revision of the first page.

        A copy may be older than the era of its answers: what it holds counts as older than
        whatever the store itself answers.
        """
        items: list[Item] = []
        as_of: int | None = None
        last = ""
        while True:
            parameters = {"path_prefix": prefix, **(COPY_WILL_DO if copy else {})}
            if last:
                # Here the field names the last key of the page before, not a revision.
                parameters["after"] = last
            answer = await self._get(PATH_RANGE, parameters, 0.0)
            match answer.bind(lambda answer: self._page(answer, prefix, copy)):
                case Success(page):
                    items += page.items
                case Failure() as failure:
                    return failure
            as_of = page.as_of if as_of is None else as_of
            if era_of(page.as_of) != era_of(as_of):
                return Failure(self._set_back(PATH_RANGE))
            if not page.has_more or not page.items:
                return Success(Page(items, False, as_of))
            last = page.items[-1].tls_key

    def _page(self, answer: StoreAnswer, prefix: str, copy: bool) -> Result[Page, TrackwheelError]:
        page = self._decode(answer.body, Page, f"read {prefix}")
        return page.map(lambda page: page.in_era(0 if copy else answer.era))

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[Events, TrackwheelError]:
        parameters = {
            "path_prefix": prefix,
            "after": str(store_revision_of(after)),
            "wait_ms": str(round(wait_s * MILLISECONDS)),
        }
        answer = await self._get(PATH_WATCH, parameters, wait_s)
        return answer.bind(lambda answer: self._events(answer, prefix, after))

    def _events(
        self, answer: StoreAnswer, prefix: str, after: int
    ) -> Result[Events, TrackwheelError]:
        """Return the changes; none where the store gives the revisions after `after` anew."""
        if answer.era != era_of(after):
            return Failure(self._set_back(PATH_WATCH))
        events = self._decode(answer.body, Events, f"watch {prefix}")
        return events.map(lambda events: events.in_era(answer.era))

    def _set_back(self, step: str) -> HistoryGoneError:
        detail = "the store has come back from an older copy"
        return HistoryGoneError(Problem("history_gone", step, self._address, detail))

    async def _get(
        self, path: str, parameters: dict[str, str], wait_s: float
    ) -> Result[StoreAnswer, TrackwheelError]:
        return await self._call(b"GET", path, f"{path}?{urlencode(parameters)}", b"", wait_s)

    async def _post(
        self, path: str, change: LeaseAsk | Change, good: Collection[int] = (STATUS_OK,)
    ) -> Result[StoreAnswer, TrackwheelError]:
        return await self._call(b"POST", path, path, msgspec.json.encode(change), 0.0, good)

    async def _call(
        self,
        method: bytes,
        step: str,
        query: str,
        body: bytes,
        wait_s: float,
        good: Collection[int] = (STATUS_OK,),
    ) -> Result[StoreAnswer, TrackwheelError]:
        """Make one call; `good` are the statuses of answers that are of use."""
        headers = ((b"host", self._address.encode()), (b"content-type", b"application/json"))
        request = Request(method, query.encode(), headers, body, steady_now())
        # A connection for each call: one that went silent while idle would cost its time-out anew.
        end = await call_once(
            self._host, self._port, request, self._call_timeout_s, self._call_timeout_s + wait_s
        )
        if end.answer is None:
            return Failure(store_error(UNAVAILABLE, step, self._address, end.detail))
        status = end.answer.status
        era = round(read_number(header(end.answer.headers, HEADER_ERA) or b"") or 0)
        self.era = max(self.era, era)
        if status == STATUS_HISTORY_GONE:
            detail = "the store has forgotten the changes since then"
            return Failure(HistoryGoneError(Problem("history_gone", step, self._address, detail)))
        if status not in good:
            return Failure(store_error(UNAVAILABLE, step, self._address, f"status {status}"))
        return Success(StoreAnswer(era, end.answer.body))

    def _orders(self, items: list[Item], as_of: int, whole: bool) -> OperatorStateRead:
        """Return the newest configuration among some items, and the evacuations."""
        evacuations = tuple(
            Evacuation(
                item.tls_key.removeprefix(PREFIX_EVACUATIONS), not item.deleted, item.revision
            )
            for item in items
            if item.tls_key.startswith(PREFIX_EVACUATIONS)
        )
        read = OperatorStateRead(None, b"", as_of, evacuations=evacuations, complete=whole)
        written = [item for item in items if item.tls_key == KEY_CONFIG and not item.deleted]
        if not written:
            return read
        match written[-1].content().bind(self._with_table):
            case Success((table, content)):
                return read._replace(table=table, content=content)
            case Failure(error):
                # What is in force stays so; the evacuations beside it count all the same.
                self._log.write("routes_rejected", source="store", reason=str(error))
        return read

    def _with_table(self, content: bytes) -> Result[tuple[RouteTable, bytes], TrackwheelError]:
        return decode_routes(content).map(lambda table: (table, content))

    def _entries(self, items: list[Item]) -> tuple[list[TargetEntry], list[EntryRemoved]]:
        """Return the entries that can be used, and the keys that name no target to use.

        Those were written by somebody else than a target: what was known of the key before does
        not hold either. Each is logged once, until its target writes it again.
        """
        entries: list[TargetEntry] = []
        unusable: list[EntryRemoved] = []
        for item in items:
            key, revision = item.tls_key, item.revision
            match item.content().bind(partial(decode_target, key, revision=revision)):
                case Success(entry):
                    entries.append(entry)
                    self._unusable_keys.discard(key)
                case Failure(error):
                    unusable.append(EntryRemoved(key.removeprefix(PREFIX_TARGETS), revision))
                    self._note_unusable(key, error)
        return entries, unusable

    def _note_unusable(self, key: str, error: TrackwheelError) -> None:
        if key in self._unusable_keys or len(self._unusable_keys) >= MOST_UNUSABLE_KEYS:
            return
        self._unusable_keys.add(key)
        self._log.write("entry_rejected", key=key, reason=str(error))

    def _decode(self, content: bytes, kind: type[T], step: str) -> Result[T, TrackwheelError]:
        try:
            return Success(msgspec.json.decode(content, type=kind))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return Failure(store_error("bad_answer", step, self._address, error))
