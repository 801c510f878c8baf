"""The callers' HTTP interface, as docs/CALLERS.md describes it."""

import hashlib
import math
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from trackwheel.dispatch.models import RunOutcome
from trackwheel.errors import Problem
from trackwheel.files.models import GroupSpec, InForce, Policy, ServiceSpec
from trackwheel.gateway.const import (
    HEADER_DIGEST,
    HEADER_QUERY_ID,
    HEADER_RETRY_AFTER_MS,
    MAX_DEADLINE_S,
    MAX_IDS_PER_CALL,
    MAX_REQUEST_BYTES,
    PATH_EXECUTE,
    PATH_IDS,
    PATH_QUERY,
    READ_TIMEOUT_S,
)
from trackwheel.gateway.errors import CallerError, Code, refuse
from trackwheel.gateway.forwarding import Forwarder, ForwardReply
from trackwheel.gateway.ledger import parse_id
from trackwheel.gateway.models import Answer, Forward
from trackwheel.gateway.once import OnceRequest, OnceResult, OnceRunner, error_of
from trackwheel.gateway.queries import CoverageTooLowError, QueryResult, QueryRunner
from trackwheel.telemetry.burn import Burn
from trackwheel.telemetry.logs import Log
from trackwheel.web import no_lifespan

LOG = Log("gateway")

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
    Code.COVERAGE_TOO_LOW: 503,
    Code.NOT_RUN: 503,
    Code.OUTCOME_UNKNOWN: 504,
}
BEARER: Final = "Bearer "

T = TypeVar("T", bound=msgspec.Struct)


class QueryBody(msgspec.Struct, forbid_unknown_fields=True):
    """Read the body of a query; the deadline may only shorten the policy's."""

    service: str
    query: str = ""
    deadline_ms: float | None = None


class ExecuteBody(msgspec.Struct, forbid_unknown_fields=True):
    """Read the body of a request that may run only once."""

    service: str
    key: str
    body: str = ""
    id: str | None = None
    deadline_ms: float | None = None


class IdsBody(msgspec.Struct, forbid_unknown_fields=True):
    """Read how many ids are wanted."""

    count: int = 1


class CallersApp:
    """Check callers, run their requests and tell them the truth."""

    def __init__(
        self,
        in_force: Callable[[], InForce],
        ready: Callable[[], bool],
        queries: QueryRunner,
        once: OnceRunner,
        forwarder: Forwarder,
        burn: Burn,
    ) -> None:
        self._in_force = in_force
        self._ready = ready
        self._queries = queries
        self._once = once
        self._forwarder = forwarder
        self._burn = burn

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route(PATH_QUERY, self._guarded(self._query), methods=["POST"]),
            Route(PATH_IDS, self._guarded(self._ids), methods=["POST"]),
            Route(PATH_EXECUTE, self._guarded(self._execute), methods=["POST"]),
        ]
        return Starlette(routes=routes, lifespan=no_lifespan)

    def _guarded(
        self, handler: Callable[[Request, GroupSpec], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[Response]]:
        """Return an endpoint that turns every refusal into its response."""

        async def endpoint(request: Request) -> Response:
            try:
                return await handler(request, self._group(request))
            except CoverageTooLowError as error:
                return error_response(error, _shards(error.result))
            except CallerError as error:
                return error_response(error)
            except Exception as error:
                LOG.error(f"A request failed inside. {error!r}")
                remedy = "Tell your operators"
                failure = refuse(Code.INTERNAL, "serve", type(error).__name__, remedy)
                return error_response(failure)

        return endpoint

    def _group(self, request: Request) -> GroupSpec:
        """Return the group whose key the caller shows."""
        header = request.headers.get("authorization", "")
        key = header.removeprefix(BEARER) if header.startswith(BEARER) else ""
        if not self._ready():
            remedy = "Come back later or ask another box"
            raise refuse(Code.NOT_READY, "admit", "no file is in force here yet", remedy, 1.0)
        digest = hashlib.sha256(key.encode()).hexdigest()
        group = self._in_force().group_by_key_sha256.get(digest)
        if group is None:
            remedy = "Send `Authorization: Bearer KEY` with your group's key"
            raise refuse(Code.UNAUTHENTICATED, "admit", "no group has this key", remedy)
        return group

    def _service(self, group: GroupSpec, name: str) -> ServiceSpec:
        service = self._in_force().service_by_name.get(name)
        if name not in group.services:
            remedy = "Ask your operators to name the service in your group's file"
            detail = f"group `{group.name}` may not use service `{name}`"
            raise refuse(Code.FORBIDDEN, "admit", detail, remedy)
        if service is None:
            detail = f"service `{name}` is not declared"
            raise refuse(Code.UNKNOWN_SERVICE, "admit", detail, "Correct its name")
        return service

    async def _query(self, request: Request, group: GroupSpec) -> Response:
        body = await _read(request, QueryBody)
        service = self._service(group, body.service)
        policy = self._in_force().policy(group.name, service)
        policy = _shortened(policy, body.deadline_ms)
        started = time.monotonic()
        outcome = "internal"
        try:
            result = await self._queries.run(group.name, service, policy, body.query)
            outcome = "good" if result.answer.whole else "lacking"
        except CallerError as error:
            outcome = error.problem.code
            raise
        finally:
            took_s = time.monotonic() - started
            self._burn.count(group.name, service, policy, outcome, took_s)
        answer = {**_shards(result), "items": _items(result.answer), "end": True}
        return _sealed(msgspec.json.encode(answer), {HEADER_QUERY_ID: result.query_id})

    async def _ids(self, request: Request, group: GroupSpec) -> Response:
        body = await _read(request, IdsBody)
        if not 1 <= body.count <= MAX_IDS_PER_CALL:
            detail = f"count lies between 1 and {MAX_IDS_PER_CALL}"
            raise refuse(Code.BAD_REQUEST, "read", detail, "Ask for fewer ids at a time")
        ids = self._once.issue(group.name, body.count)
        return _sealed(msgspec.json.encode({"ids": ids, "end": True}), {})

    async def _execute(self, request: Request, group: GroupSpec) -> Response:
        body = await _read(request, ExecuteBody)
        if body.id is None:
            remedy = "Get ids with POST /v1/ids and send one with each request"
            detail = "a request that may run only once needs an id"
            raise refuse(Code.ID_MISSING, "admit", detail, remedy)
        service = self._service(group, body.service)
        policy = _shortened(self._in_force().policy(group.name, service), body.deadline_ms)
        wanted = OnceRequest(body.id, group.name, service, body.key, body.body, policy.wait_s)
        if self._forwarder.issued_elsewhere(body.id):
            return await self._forwarded(wanted)
        result = await self._once.run(wanted)
        return _once_response(result)

    async def _forwarded(self, wanted: OnceRequest) -> Response:
        """Answer with what the box says that issued the id."""
        parsed = parse_id(wanted.request_id)
        assert parsed is not None, "the id was parsed before"
        forward = Forward(
            exchange_id="",
            issuer_boot=parsed.boot,
            request_id=wanted.request_id,
            service=wanted.service.name,
            group=wanted.group,
            routing_key=wanted.routing_key,
            body=wanted.body,
            deadline_ms=wanted.deadline_s * 1000,
        )
        reply = await self._forwarder.ask_issuer(forward)
        if reply is None:
            result = OnceResult(wanted.request_id, RunOutcome.UNKNOWN, "issuer_gone", b"", 0.0)
            return _once_response(result)
        headers = _retry_headers(reply.retry_after_s)
        return _sealed(reply.payload, headers, reply.status)

    async def serve_forward(self, forward: Forward) -> ForwardReply:
        """Answer another box for a request whose id this box issued."""
        service = self._in_force().service_by_name.get(forward.service)
        try:
            if service is None:
                detail = f"service `{forward.service}` is not declared"
                raise refuse(Code.UNKNOWN_SERVICE, "admit", detail, "Correct its name")
            wanted = OnceRequest(
                forward.request_id,
                forward.group,
                service,
                forward.routing_key,
                forward.body,
                forward.deadline_ms / 1000,
            )
            response = _once_response(await self._once.run(wanted))
        except CallerError as error:
            response = error_response(error)
        retry_ms = response.headers.get(HEADER_RETRY_AFTER_MS, "0")
        return ForwardReply(response.status_code, bytes(response.body), float(retry_ms) / 1000)


async def _read(request: Request, body_type: type[T]) -> T:
    """Return the body of a request, read within the limits of size and time."""
    try:
        with anyio.fail_after(READ_TIMEOUT_S):
            content = await _read_bytes(request)
    except TimeoutError as error:
        detail = f"the body did not come within {READ_TIMEOUT_S:.0f} s"
        raise refuse(Code.BAD_REQUEST, "read", detail, "Send the whole body at once") from error
    try:
        return msgspec.json.decode(content, type=body_type)
    except (msgspec.DecodeError, RecursionError) as error:
        remedy = "Send JSON as docs/CALLERS.md describes it"
        raise refuse(Code.BAD_REQUEST, "read", str(error), remedy) from error


async def _read_bytes(request: Request) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > MAX_REQUEST_BYTES:
            detail = f"the body has more than {MAX_REQUEST_BYTES} bytes"
            raise refuse(Code.TOO_LARGE, "read", detail, "Send a smaller request")
        parts.append(part)
    return b"".join(parts)


def _shortened(policy: Policy, deadline_ms: float | None) -> Policy:
    """Return the policy under a caller's own, shorter deadline."""
    if deadline_ms is None:
        return policy
    if not 0 < deadline_ms <= MAX_DEADLINE_S * 1000:
        detail = "deadline_ms must be above zero and at most a minute"
        raise refuse(Code.BAD_REQUEST, "read", detail, "Correct it")
    deadline_s = deadline_ms / 1000
    return policy._replace(
        deadline_s=min(policy.deadline_s, deadline_s), wait_s=min(policy.wait_s, deadline_s)
    )


def _shards(result: QueryResult) -> dict[str, Any]:
    """Return what an answer covers and lacks."""
    answer = result.answer
    return {
        "id": result.query_id,
        "version": answer.snapshot.version if answer.snapshot else None,
        "map_size": answer.snapshot.map_size if answer.snapshot else None,
        "whole": answer.whole,
        "coverage": answer.coverage,
        "covered": sorted(answer.items_by_shard),
        "lacking": [lack._asdict() for lack in answer.lacking],
    }


def _items(answer: Answer) -> list[dict[str, Any]]:
    return [
        {"shard": shard, "items": items} for shard, items in sorted(answer.items_by_shard.items())
    ]


def _once_response(result: OnceResult) -> Response:
    if result.outcome is not RunOutcome.DONE:
        extra = {"id": result.request_id, "outcome": result.outcome}
        return error_response(error_of(result), extra)
    body = msgspec.json.encode(
        {
            "id": result.request_id,
            "outcome": result.outcome,
            "repeated": result.reason == "repeated",
            "answer": msgspec.Raw(result.body),
            "end": True,
        }
    )
    return _sealed(body, {})


def _sealed(payload: bytes, headers: dict[str, str], status: int = 200) -> Response:
    """Return a response with its length and digest, so that half of it is seen as half."""
    digest = hashlib.sha256(payload).hexdigest()
    return Response(
        payload,
        status_code=status,
        media_type="application/json",
        headers={**headers, HEADER_DIGEST: f"sha256={digest}"},
    )


def _retry_headers(retry_after_s: float) -> dict[str, str]:
    if retry_after_s <= 0:
        return {}
    return {
        "Retry-After": str(max(1, math.ceil(retry_after_s))),
        HEADER_RETRY_AFTER_MS: str(math.ceil(retry_after_s * 1000)),
    }


def problem_body(problem: Problem) -> dict[str, str]:
    """Return a failure as callers and operators see it."""
    return dict(problem._asdict())


def error_response(error: CallerError, extra: dict[str, Any] | None = None) -> Response:
    """Return the response for a refusal, with when to come back."""
    status = STATUS_BY_CODE.get(Code(error.problem.code), 500)
    body: dict[str, Any] = {"error": problem_body(error.problem), **(extra or {}), "end": True}
    if error.retry_after_s > 0:
        body["retry_after_ms"] = math.ceil(error.retry_after_s * 1000)
    headers = _retry_headers(error.retry_after_s)
    return _sealed(msgspec.json.encode(body), headers, status)
