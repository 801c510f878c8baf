"""HTTP responses: answers with a digest, errors with the delay before a retry."""

import hashlib
import math
from typing import Any, Final

import msgspec
from starlette.responses import Response

from trackwheel.dispatch.models import RunOutcome
from trackwheel.errors import Problem
from trackwheel.gateway.const import HEADER_DIGEST, HEADER_RETRY_AFTER_MS
from trackwheel.gateway.errors import CallerError, Code
from trackwheel.gateway.execution_runner import ExecutionResult, execution_error
from trackwheel.gateway.models import Answer
from trackwheel.gateway.queries import QueryResult

STATUS_BY_CODE: Final = {
    Code.BAD_REQUEST: 400,
    Code.ID_MISSING: 400,
    Code.ID_INVALID: 400,
    Code.UNAUTHENTICATED: 401,
    Code.FORBIDDEN: 403,
    Code.UNKNOWN_SERVICE: 404,
    Code.ID_REUSED: 409,
    Code.TOO_LARGE: 413,
    Code.INTERNAL: 500,
    Code.NOT_READY: 503,
    Code.OVERLOADED: 503,
    Code.HELD: 503,
    Code.COVERAGE_TOO_LOW: 503,
    Code.NOT_RUN: 503,
    Code.OUTCOME_UNKNOWN: 504,
}


def coverage_fields(result: QueryResult) -> dict[str, Any]:
    """Return the fields that describe the coverage of an answer."""
    answer = result.answer
    return {
        "id": result.query_id,
        "version": answer.snapshot.version if answer.snapshot else None,
        "map_size": answer.snapshot.map_size if answer.snapshot else None,
        "whole": answer.complete,
        "coverage": answer.coverage,
        "covered": sorted(answer.items_by_shard),
        "lacking": [missing._asdict() for missing in answer.missing_shards],
    }


def answer_items(answer: Answer) -> list[dict[str, Any]]:
    """Return the items of an answer by shard."""
    return [
        {"shard": shard, "items": items} for shard, items in sorted(answer.items_by_shard.items())
    ]


def execution_response(result: ExecutionResult) -> Response:
    """Return the response to an at-most-once request."""
    if result.outcome is not RunOutcome.DONE:
        extra = {"id": result.request_id, "outcome": result.outcome}
        return error_response(execution_error(result), extra)
    body = msgspec.json.encode(
        {
            "id": result.request_id,
            "outcome": result.outcome,
            "repeated": result.reason == "repeated",
            "answer": msgspec.Raw(result.body),
            "end": True,
        }
    )
    return digest_response(body, {})


def digest_response(payload: bytes, headers: dict[str, str], status: int = 200) -> Response:
    """Return a response with length and digest, so that callers can detect truncation."""
    digest = hashlib.sha256(payload).hexdigest()
    return Response(
        payload,
        status_code=status,
        media_type="application/json",
        headers={**headers, HEADER_DIGEST: f"sha256={digest}"},
    )


def retry_headers(retry_after_s: float) -> dict[str, str]:
    """Return the Retry-After headers (seconds); none if the delay is unknown."""
    if retry_after_s <= 0:
        return {}
    return {
        "Retry-After": str(max(1, math.ceil(retry_after_s))),
        HEADER_RETRY_AFTER_MS: str(math.ceil(retry_after_s * 1000)),
    }


def problem_body(problem: Problem) -> dict[str, str]:
    """Return a problem as written to callers and operators."""
    return dict(problem._asdict())


def error_response(error: CallerError, extra: dict[str, Any] | None = None) -> Response:
    """Return the response for an error, with the delay before a retry if known."""
    status = STATUS_BY_CODE.get(Code(error.problem.code), 500)
    body: dict[str, Any] = {"error": problem_body(error.problem), **(extra or {}), "end": True}
    if error.retry_after_s > 0:
        body["retry_after_ms"] = math.ceil(error.retry_after_s * 1000)
    headers = retry_headers(error.retry_after_s)
    return digest_response(msgspec.json.encode(body), headers, status)
