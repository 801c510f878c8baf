"""Translation of the platform's headers and bodies."""

import msgspec
import pytest
from returns.result import Failure, Success

from trackwheel.http1.models import Headers, Request, Response, header
from trackwheel.platform.decode import decode_routes, decode_target
from trackwheel.platform.load import LoadReader
from trackwheel.platform.wire import PlatformWire
from trackwheel.relay.models import Load, Outcome


class EventKindLog:
    """Record the kinds of logged events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def write(self, kind: str, **fields: object) -> None:
        self.events.append(kind)


LOADS = LoadReader(EventKindLog())  # type: ignore[arg-type]
WIRE = PlatformWire(LOADS)
ID = (b"x-attempt-id", b"9c41")
SIGNATURE = (b"x-response-stamp", b"3e1b.07")


def request(*headers: tuple[bytes, bytes], target: bytes = b"/a/b?c=/d") -> Request:
    return Request(b"POST", target, ((b"host", b"H.example:80"), ID, *headers), b"body", 100.0)


def test_request_is_read() -> None:
    caller = WIRE.read_request(request((b"x-deadline-ms", b"500")))
    assert (caller.request_id, caller.host, caller.path) == ("9c41", "h.example", "/a/b")
    assert caller.deadline == 100.5


@pytest.mark.parametrize("header_value", [b"", b"soon", b"-5", b"9" * 5000])
def test_unreadable_deadline_falls_back_to_the_default(header_value: bytes) -> None:
    assert WIRE.read_request(request((b"x-deadline-ms", header_value))).deadline > 110.0


def test_target_request_has_the_remaining_time() -> None:
    incoming = request(
        (b"x-deadline-ms", b"500"),
        (b"connection", b"keep-alive"),
        (b"transfer-encoding", b"chunked"),
        (b"x-expect-instance", b"forged"),
        (b"x-other", b"1"),
    )
    sent = WIRE.target_request(WIRE.read_request(incoming), "i-7", 100.2)
    names = [name for name, _ in sent.headers]
    assert header(sent.headers, b"x-deadline-ms") == b"299"
    assert header(sent.headers, b"x-expect-instance") == b"i-7"
    assert header(sent.headers, b"x-other") == b"1"
    assert names.count(b"x-attempt-id") == names.count(b"x-expect-instance") == 1
    assert b"connection" not in names
    assert b"transfer-encoding" not in names
    assert (sent.method, sent.target, sent.body) == (b"POST", b"/a/b?c=/d", b"body")


@pytest.mark.parametrize(
    ("status", "headers", "outcome"),
    [
        pytest.param(200, (ID, SIGNATURE), Outcome.OK, id="signed"),
        pytest.param(200, (ID,), Outcome.BROKEN, id="unsigned"),
        pytest.param(
            200, (ID, SIGNATURE, (b"content-encoding", b"gzip")), Outcome.BROKEN, id="encoded"
        ),
        pytest.param(503, ((b"x-not-executed", b"1"),), Outcome.NOT_RUN, id="shed"),
        pytest.param(503, (ID, SIGNATURE), Outcome.FAILED, id="failed-after-running"),
        pytest.param(500, (ID, SIGNATURE), Outcome.FAILED, id="failed"),
        pytest.param(504, (ID, SIGNATURE), Outcome.FAILED, id="late"),
        pytest.param(421, (), Outcome.ELSEWHERE, id="other-target"),
        pytest.param(
            421, ((b"x-not-executed", b"1"),), Outcome.ELSEWHERE, id="other-target-not-executed"
        ),
    ],
)
def test_outcomes_of_answers(status: int, headers: Headers, outcome: Outcome) -> None:
    assert WIRE.read_result(Response(status, headers, b""), False).outcome is outcome


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,0,8", Load(3, 0, 8)),
        (b"3, 0, 8", Load(3, 0, 8)),
        (b"3,0,8,100", Load(3, 0, 8, 1.0)),
        (b"3,0,8,250", Load(3, 0, 8, 2.5)),
        (b"3,0,8,400,7", Load(3, 0, 8, 4.0)),
        (b"3,0,8,fast", None),
        (b"", None),
        (b"1" * 5000 + b",0,8", None),
        (b"3,0", None),
        (b"a,b,c", None),
        (b"-1,0,8", None),
    ],
)
def test_load_header(value: bytes, load: Load | None) -> None:
    answer = Response(200, (ID, SIGNATURE, (b"x-server-load", value)), b"")
    assert WIRE.read_result(answer, False).load == load


def test_unreadable_loads_are_counted_and_logged_once() -> None:
    log = EventKindLog()
    loads = LoadReader(log)  # type: ignore[arg-type]
    assert [loads.read(value) for value in (b"3,0", b"a,b,c", None, b"1,0,2,100")] == [
        None,
        None,
        None,
        Load(1, 0, 2),
    ]
    assert (log.events, loads.unreadable) == (["load_unreadable"], 2)


@pytest.mark.parametrize(
    ("header_value", "cold_s"),
    [(None, 0.0), (b"1500", 1.5), (b"0", 0.0), (b"soon", 0.0), (b"9" * 5000, 0.0)],
    ids=lambda v: str(v)[:8],
)
def test_warmup_time_is_read_from_any_answer(header_value: bytes | None, cold_s: float) -> None:
    headers = (
        (ID, SIGNATURE) if header_value is None else (ID, SIGNATURE, (b"x-warmup-ms", header_value))
    )
    assert WIRE.read_result(Response(200, headers, b""), False).cold_s == cold_s


@pytest.mark.parametrize(
    ("header_value", "belongs"), [(b"9c41", True), (b"9c42", False), (None, True)], ids=str
)
def test_answer_must_name_its_request(header_value: bytes | None, belongs: bool) -> None:
    headers = ((b"x-attempt-id", header_value),) if header_value else ()
    assert (WIRE.check_answer("9c41", Response(200, headers, b"")) == "") is belongs


@pytest.mark.parametrize(
    ("status", "given", "signed"),
    [
        pytest.param(200, 200, True, id="success"),
        pytest.param(500, 500, True, id="failure-unchanged"),
        pytest.param(504, 504, True, id="late-unchanged"),
        pytest.param(503, 502, False, id="not-run-status-after-running"),
        pytest.param(429, 502, False, id="rate-limit-status-after-running"),
    ],
)
def test_answers_to_clients(status: int, given: int, signed: bool) -> None:
    headers = (ID, SIGNATURE, (b"connection", b"close"), (b"x-server-load", b"1,0,2"))
    answer = WIRE.single_answer(Response(status, headers, b"body"))
    assert (answer.status, answer.body) == (given, b"body")
    assert (header(answer.headers, b"x-response-stamp") is not None) is signed
    assert header(answer.headers, b"connection") is None


def test_gathered_answer_lists_signatures_and_missing_parts() -> None:
    signatures = [b"s%d" % number for number in range(100)]
    answer = WIRE.gathered_answer("9c41", signatures, 3, b"records")
    named = b", ".join(value for name, value in answer.headers if name == b"x-part-stamps")
    assert named.split(b", ") == signatures
    assert header(answer.headers, b"x-missing-parts") == b"3"


@pytest.mark.parametrize("retry_after", [None, 0.25], ids=["ran", "not-run"])
def test_refusal_has_retry_after_unless_the_request_ran(retry_after: float | None) -> None:
    answer = WIRE.refusal(503, retry_after, "reason")
    assert (header(answer.headers, b"retry-after") is not None) is (retry_after is not None)


CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "path_prefix": "/a/",
            "kind": "safe",
            "timeout_ms": 1000,
            "target_latency_ms": 111,
            "priority": 2,
            "fanout_services": ["s1", "s2"],
            "max_attempts": 2,
            "top_k": 5,
            "min_coverage": 0.75,
        },
        {
            "name": "w",
            "host": "h.example",
            "path_prefix": "/b/",
            "kind": "unsafe",
            "timeout_ms": 6000,
            "target_latency_ms": 673,
            "split": [{"service": "s1", "weight": 3}, {"service": "s2", "weight": 1}],
        },
    ],
    "services": [{"name": "s1", "max_connections": 26, "tls": False}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


def test_configuration_is_decoded() -> None:
    table = decode_routes(msgspec.json.encode(CONFIG)).unwrap()
    shards, divided = table.routes_by_host["h.example"]
    assert (table.version, table.limits.idle_s) == (7, 15.0)
    assert (shards.shards, shards.top_k, shards.least_coverage) == (("s1", "s2"), 5, 0.75)
    assert (shards.repeatable, shards.aim_s) == (True, 0.111)
    assert not divided.repeatable
    assert [tuple(part) for part in divided.services] == [("s1", 3.0), ("s2", 1.0)]
    assert table.service_by_name["s1"].max_connections == 26


@pytest.mark.parametrize("content", [b"", b"{}", b'{"version": "x"}', b"[1"], ids=str)
def test_broken_configuration_is_refused(content: bytes) -> None:
    assert isinstance(decode_routes(content), Failure)


def test_target_is_decoded() -> None:
    value = (
        b'{"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":2,'
        b'"state":"draining","warmup_left_ms":1500,"sequence":4}'
    )
    match decode_target("servers/i-7", value, 12):
        case Success(entry):
            assert entry == ("i-7", "s", "10.0.0.1:80", "a", 2, True, 1.5, 12, 0, 4)
        case _:
            pytest.fail("not decoded")
    assert isinstance(decode_target("servers/i-7", b"{}", 12), Failure)
