"""Translation between the platform's headers and the types of the relay."""

from trackwheel.groups.keys import read_key
from trackwheel.groups.models import Precedence
from trackwheel.http1.models import Headers, Request, Response, header
from trackwheel.platform.load import LoadReader, parse_number
from trackwheel.platform.names import (
    CONNECTION_HEADERS,
    HEADER_ATTEMPT,
    HEADER_DEADLINE,
    HEADER_ENCODING,
    HEADER_EXPECTED_INSTANCE,
    HEADER_GROUP,
    HEADER_KEY,
    HEADER_LOAD,
    HEADER_MISSING_PARTS,
    HEADER_NOT_RUN,
    HEADER_PART_SIGNATURES,
    HEADER_RETRY_AFTER,
    HEADER_SIGNATURE,
    HEADER_WARMUP,
    KEY_SCHEME,
    NOT_RUN_STATUSES,
    OVERWRITTEN_HEADERS,
    STATUS_MISDIRECTED,
    TARGET_ONLY_HEADERS,
)
from trackwheel.relay.fingerprint import fingerprint
from trackwheel.relay.models import CallerRequest, Outcome, TargetResult
from trackwheel.units import MILLISECONDS

DEFAULT_DEADLINE_S = 30.0
"""Deadline of a request without a deadline header; the timeout of its route may be shorter."""
STATUS_FAILED = 502
SIGNATURES_PER_HEADER = 40
"""Signatures in one header line, which keeps lines well below common length limits."""


class PlatformWire:
    """Reads and writes the platform's headers."""

    def __init__(self, loads: LoadReader) -> None:
        self._loads = loads

    def read_request(self, request: Request) -> CallerRequest:
        """Parse a client's request."""
        deadline_ms = parse_number(header(request.headers, HEADER_DEADLINE) or b"")
        left_s = DEFAULT_DEADLINE_S if deadline_ms is None else deadline_ms / MILLISECONDS
        host = (header(request.headers, b"host") or b"").decode("latin-1").lower()
        path = request.target.partition(b"?")[0].decode("latin-1")
        request_id = (header(request.headers, HEADER_ATTEMPT) or b"").decode("latin-1")
        name = host.rpartition(":")[0] if ":" in host else host
        content = fingerprint(name, request.method, request.target, request.body)
        return CallerRequest(request_id, name, path, request.arrived + left_s, request, content)

    def read_key(self, request: Request) -> bytes | None:
        """Return the key of a client's request; None without exactly one of the known scheme."""
        credentials = [value for name, value in request.headers if name == HEADER_KEY]
        return read_key(credentials, KEY_SCHEME)

    def with_group(
        self, request: CallerRequest, group: str, precedence: Precedence
    ) -> CallerRequest:
        """Return a request as its group's, without its key and what it says about its group."""
        headers = tuple(
            pair for pair in request.http.headers if pair[0] not in (HEADER_KEY, HEADER_GROUP)
        )
        http = request.http._replace(headers=headers)
        return request._replace(http=http, group=group, precedence=precedence)

    def forwarded_headers(self, request: Request) -> Headers:
        """Return the headers of a client's request that are forwarded to targets."""
        return tuple(
            (name, value)
            for name, value in request.headers
            if name not in CONNECTION_HEADERS and name not in OVERWRITTEN_HEADERS
        )

    def target_request(self, request: CallerRequest, instance: str, now: float) -> Request:
        """Return the request to send to a target, with the remaining time."""
        left_ms = max(1, int((request.deadline - now) * MILLISECONDS))
        group: Headers = ((HEADER_GROUP, request.group.encode()),) if request.group else ()
        headers = (
            *self.forwarded_headers(request.http),
            *group,
            (HEADER_ATTEMPT, request.request_id.encode("latin-1")),
            (HEADER_DEADLINE, b"%d" % left_ms),
            (HEADER_EXPECTED_INSTANCE, instance.encode("latin-1")),
        )
        return request.http._replace(headers=headers)

    def check_answer(self, request_id: str, answer: Response) -> str:
        """Return why an answer does not belong to a request, or an empty string if it does."""
        answer_id = header(answer.headers, HEADER_ATTEMPT)
        if answer_id is not None and answer_id.decode("latin-1") != request_id:
            return "the answer belongs to another request"
        return ""

    def read_result(self, answer: Response, single: bool) -> TargetResult:
        """Classify a target's answer."""
        load = self._loads.read(header(answer.headers, HEADER_LOAD))
        cold_ms = parse_number(header(answer.headers, HEADER_WARMUP) or b"") or 0
        cold_s = cold_ms / MILLISECONDS
        signature = header(answer.headers, HEADER_SIGNATURE) or b""
        if answer.status == STATUS_MISDIRECTED:
            return TargetResult(
                Outcome.ELSEWHERE, None, b"", None, "another target has the address"
            )
        if header(answer.headers, HEADER_NOT_RUN) is not None:
            detail = f"not run, status {answer.status}"
            return TargetResult(Outcome.NOT_RUN, None, b"", load, detail, cold_s)
        if not 200 <= answer.status < 300:
            detail = f"status {answer.status}"
            return TargetResult(Outcome.FAILED, answer, signature, load, detail, cold_s)
        if not signature:
            return TargetResult(Outcome.BROKEN, None, b"", load, "no signature", cold_s)
        if not single and header(answer.headers, HEADER_ENCODING) is not None:
            return TargetResult(Outcome.BROKEN, None, b"", load, "encoded body", cold_s)
        return TargetResult(Outcome.OK, answer, signature, load, "", cold_s)

    def single_answer(self, answer: Response) -> Response:
        """Return the answer that the client gets for a target's answer."""
        headers = tuple(
            (name, value)
            for name, value in answer.headers
            if name not in CONNECTION_HEADERS and name not in TARGET_ONLY_HEADERS
        )
        if answer.status in NOT_RUN_STATUSES:
            # The target ran the request, but this status would tell the client that none did.
            headers = tuple(pair for pair in headers if pair[0] != HEADER_SIGNATURE)
            return Response(STATUS_FAILED, headers, answer.body)
        return Response(answer.status, headers, answer.body)

    def gathered_answer(
        self, request_id: str, signatures: list[bytes], missing: int, body: bytes
    ) -> Response:
        """Return the answer assembled from several parts."""
        lines = [
            (HEADER_PART_SIGNATURES, b", ".join(signatures[start : start + SIGNATURES_PER_HEADER]))
            for start in range(0, len(signatures), SIGNATURES_PER_HEADER)
        ]
        headers = (
            (HEADER_ATTEMPT, request_id.encode("latin-1")),
            *lines,
            (HEADER_MISSING_PARTS, b"%d" % missing),
        )
        return Response(200, headers, body)

    def refusal(self, status: int, retry_after_s: float | None, reason: str) -> Response:
        """Return an answer generated by this box."""
        headers: Headers = ((b"content-type", b"text/plain"),)
        if retry_after_s is not None:
            headers += ((HEADER_RETRY_AFTER, b"%.2f" % retry_after_s),)
        return Response(status, headers, reason.encode())
