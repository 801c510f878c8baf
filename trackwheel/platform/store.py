"""Client of the platform's metadata store; the source of the directory."""

import base64
from collections.abc import Collection
from functools import partial
from typing import Final, NamedTuple, TypeVar
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from trackwheel.addresses import split_address
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
from trackwheel.http1.answer_limits import AnswerLimits
from trackwheel.http1.call import call_once
from trackwheel.http1.models import ExchangeOutcome, Request, header
from trackwheel.platform.decode import decode_routes, decode_target
from trackwheel.platform.errors import store_error
from trackwheel.platform.items import (
    Events,
    Item,
    Lease,
    LeaseRequest,
    Page,
    Precondition,
    Put,
    Transaction,
)
from trackwheel.platform.load import parse_number
from trackwheel.platform.names import (
    HEADER_ERA,
    KEY_CONFIG,
    PATH_LEASE,
    PATH_RANGE,
    PATH_TRANSACTION,
    PATH_WATCH,
    PREFIX_EVACUATIONS,
    PREFIX_OPERATOR,
    PREFIX_TARGETS,
)
from trackwheel.routing.models import RouteTable
from trackwheel.telemetry.events import EventLog
from trackwheel.units import MILLISECONDS

STATUS_OK: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_HISTORY_GONE: Final = 410
STATUS_PRECONDITION_FAILED: Final = 412
"""A precondition did not hold; nothing was written."""
MIN_EVENTS_OF_FULL_ANSWER: Final = 400
"""A watch answer holds at most about 500 events; with this many, more are assumed to follow."""
STALE_READ: Final = {"stale_ok": "1"}
"""Parameters of a read that may be stale, which costs a tenth of another read and does not count
against the rate limit."""
MAX_UNUSABLE_KEYS: Final = 1_000
"""Bound of the keys remembered as logged, so that a faulty writer cannot exhaust memory."""
MIN_TTL_MS: Final = 1_000
MAX_TTL_MS: Final = 600_000
"""Shortest and longest lease that the platform grants (milliseconds)."""
UNAVAILABLE: Final = "store_unavailable"

T = TypeVar("T")


class StoreAnswer(NamedTuple):
    """Body of an answer, and the era of the store that gave it."""

    era: int
    body: bytes


class StoreClient:
    """Call the store over HTTP; each call has a timeout.

    It uses the box's own HTTP client: importing a general one, which also loads certificates, took
    half of the processor time of a start (0.6 s with it, 0.3 s without, the smallest of eight
    runs each).
    """

    def __init__(
        self,
        address: str,
        call_timeout_s: float,
        log: EventLog,
        answer_limits: AnswerLimits | None = None,
    ) -> None:
        self._answer_limits = answer_limits or AnswerLimits()
        self.oversized_answers = 0
        self._address = address
        self._host, self._port = split_address(address)
        self._call_timeout_s = call_timeout_s
        self._log = log
        self._unusable_keys: set[str] = set()
        self.era = 0
        """How often the store was restored from a copy, as far as its answers have shown."""

    def decode_routes(self, content: bytes) -> Result[RouteTable, TrackwheelError]:
        """Decode a configuration."""
        return decode_routes(content)

    async def read_operator_state(
        self, copy: bool = False
    ) -> Result[OperatorStateRead, TrackwheelError]:
        """Return the current configuration and evacuations."""
        reading = await self._read_all(PREFIX_OPERATOR, copy)
        return reading.map(lambda found: self._decode_orders(found.items, found.as_of, whole=True))

    async def watch_operator_state(
        self, after: int, wait_s: float
    ) -> Result[OperatorStateRead, TrackwheelError]:
        """Return their changes after a revision, or none once `wait_s` has passed."""
        changes = await self._watch(PREFIX_OPERATOR, after, wait_s)
        return changes.map(
            lambda found: self._decode_orders(found.events, max(after, found.as_of), False)
        )

    async def read_targets(self, copy: bool = False) -> Result[TargetsRead, TrackwheelError]:
        """Return all entries of targets; changes since the first page come from the watch."""
        reading = await self._read_all(PREFIX_TARGETS, copy)
        return reading.map(
            lambda found: TargetsRead(None, self._decode_entries(found.items)[0], [], found.as_of)
        )

    async def watch_targets(
        self, after: int, wait_s: float
    ) -> Result[TargetsRead, TrackwheelError]:
        """Return the changes of targets after a revision, or none once `wait_s` has passed."""
        changes = await self._watch(PREFIX_TARGETS, after, wait_s)
        return changes.map(lambda found: self._target_changes(after, found))

    def _target_changes(self, after: int, found: Events) -> TargetsRead:
        entries, unusable = self._decode_entries(
            [item for item in found.events if not item.deleted]
        )
        gone = [
            EntryRemoved(item.tls_key.removeprefix(PREFIX_TARGETS), item.revision)
            for item in found.events
            if item.deleted
        ]
        more = len(found.events) >= MIN_EVENTS_OF_FULL_ANSWER
        return TargetsRead(after, entries, gone + unusable, max(after, found.as_of), more)

    async def read_items(self, prefix: str) -> Result[dict[str, bytes], TrackwheelError]:
        """Return the values under a prefix by key without it; they may be some seconds old."""
        reading = await self._read_all(prefix, copy=True)
        return reading.map(
            lambda found: {
                item.tls_key.removeprefix(prefix): item.content().value_or(b"")
                for item in found.items
            }
        )

    async def put_if_absent(
        self, key: str, value: bytes, ttl_s: float
    ) -> Result[None, TrackwheelError]:
        """Write an item that expires after `ttl_s`, unless the key exists."""
        ttl_ms = round(min(MAX_TTL_MS, max(MIN_TTL_MS, ttl_s * MILLISECONDS)))
        leased = await self._post(PATH_LEASE, LeaseRequest(ttl_ms))
        match leased.bind(lambda answer: self._decode(answer.body, Lease, f"lease for {key}")):
            case Success(granted):
                put = Put(key, base64.b64encode(value).decode(), granted.lease)
                change = Transaction(expected_revision=[Precondition(key, 0)], puts=[put])
                written = await self._post(
                    PATH_TRANSACTION, change, (STATUS_OK, STATUS_PRECONDITION_FAILED)
                )
                return written.map(lambda _: None)
            case failure:
                return failure.map(lambda _: None)

    async def delete_item(self, key: str) -> Result[None, TrackwheelError]:
        """Delete an item if it exists."""
        return (await self._post(PATH_TRANSACTION, Transaction(remove=[key]))).map(lambda _: None)

    async def _read_all(self, prefix: str, copy: bool) -> Result[Page, TrackwheelError]:
        """Read all items under a prefix page by page, with the revision of the first page.

        A copy may be older than the era in its answers, so its items get era 0 and count as older
        than anything that the store itself answers.
        """
        items: list[Item] = []
        as_of: int | None = None
        last_key = ""
        while True:
            parameters = {"path_prefix": prefix, **(STALE_READ if copy else {})}
            if last_key:
                # In a range read, `after` is the last key of the previous page, not a revision.
                parameters["after"] = last_key
            answer = await self._get(PATH_RANGE, parameters, 0.0)
            match answer.bind(lambda answer: self._decode_page(answer, prefix, copy)):
                case Success(page):
                    items += page.items
                case Failure() as failure:
                    return failure
            as_of = page.as_of if as_of is None else as_of
            if era_of(page.as_of) != era_of(as_of):
                return Failure(self._restored_error(PATH_RANGE))
            if not page.has_more or not page.items:
                return Success(Page(items, False, as_of))
            last_key = page.items[-1].tls_key

    def _decode_page(
        self, answer: StoreAnswer, prefix: str, copy: bool
    ) -> Result[Page, TrackwheelError]:
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
        return answer.bind(lambda answer: self._decode_events(answer, prefix, after))

    def _decode_events(
        self, answer: StoreAnswer, prefix: str, after: int
    ) -> Result[Events, TrackwheelError]:
        """Decode the changes; fail if the store was restored and assigned revisions again."""
        if answer.era != era_of(after):
            return Failure(self._restored_error(PATH_WATCH))
        events = self._decode(answer.body, Events, f"watch {prefix}")
        return events.map(lambda events: events.in_era(answer.era))

    def _restored_error(self, step: str) -> HistoryGoneError:
        detail = "the store was restored from an older copy"
        return HistoryGoneError(Problem("history_gone", step, self._address, detail))

    async def _get(
        self, path: str, parameters: dict[str, str], wait_s: float
    ) -> Result[StoreAnswer, TrackwheelError]:
        return await self._call(b"GET", path, f"{path}?{urlencode(parameters)}", b"", wait_s)

    async def _post(
        self,
        path: str,
        change: LeaseRequest | Transaction,
        expected_statuses: Collection[int] = (STATUS_OK,),
    ) -> Result[StoreAnswer, TrackwheelError]:
        return await self._call(
            b"POST", path, path, msgspec.json.encode(change), 0.0, expected_statuses
        )

    async def _call(
        self,
        method: bytes,
        step: str,
        query: str,
        body: bytes,
        wait_s: float,
        expected_statuses: Collection[int] = (STATUS_OK,),
    ) -> Result[StoreAnswer, TrackwheelError]:
        """Make one call; an answer with a status not in `expected_statuses` is an error."""
        headers = ((b"host", self._address.encode()), (b"content-type", b"application/json"))
        request = Request(method, query.encode(), headers, body, steady_now())
        # A new connection for each call: a pooled one that went silent while idle would cost each
        # call that picks it a timeout.
        end = await call_once(
            self._host,
            self._port,
            request,
            self._call_timeout_s,
            self._call_timeout_s + wait_s,
            self._answer_limits,
        )
        if end.answer is None:
            if end.outcome is ExchangeOutcome.OVERSIZED:
                self.oversized_answers += 1
            return Failure(store_error(UNAVAILABLE, step, self._address, end.detail))
        status = end.answer.status
        era = round(parse_number(header(end.answer.headers, HEADER_ERA) or b"") or 0)
        self.era = max(self.era, era)
        if status == STATUS_HISTORY_GONE:
            detail = "the store no longer has the changes since that revision"
            return Failure(HistoryGoneError(Problem("history_gone", step, self._address, detail)))
        if status not in expected_statuses:
            return Failure(store_error(UNAVAILABLE, step, self._address, f"status {status}"))
        return Success(StoreAnswer(era, end.answer.body))

    def _decode_orders(self, items: list[Item], as_of: int, whole: bool) -> OperatorStateRead:
        """Decode the newest configuration among the items, and the evacuations."""
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
        match written[-1].content().bind(self._decode_table):
            case Success((table, content)):
                return read._replace(table=table, content=content)
            case Failure(error):
                # The configuration in force stays; the evacuations are applied all the same.
                self._log.write("routes_rejected", source="store", reason=str(error))
        return read

    def _decode_table(self, content: bytes) -> Result[tuple[RouteTable, bytes], TrackwheelError]:
        return decode_routes(content).map(lambda table: (table, content))

    def _decode_entries(self, items: list[Item]) -> tuple[list[TargetEntry], list[EntryRemoved]]:
        """Return the valid entries, and the keys of invalid ones as removed targets.

        Invalid entries were not written by a target, so what was known under the key no longer
        holds either. Each key is logged once, until its target writes it again.
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
                    self._log_unusable(key, error)
        return entries, unusable

    def _log_unusable(self, key: str, error: TrackwheelError) -> None:
        if key in self._unusable_keys or len(self._unusable_keys) >= MAX_UNUSABLE_KEYS:
            return
        self._unusable_keys.add(key)
        self._log.write("entry_rejected", key=key, reason=str(error))

    def _decode(self, content: bytes, kind: type[T], step: str) -> Result[T, TrackwheelError]:
        try:
            return Success(msgspec.json.decode(content, type=kind))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return Failure(store_error("bad_answer", step, self._address, error))
