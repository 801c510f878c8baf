"""The HTTP API for callers, described in docs/CALLERS.md."""

from collections.abc import Awaitable, Callable
from typing import Final

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from trackwheel.clock import steady_now
from trackwheel.dispatch.models import RunOutcome
from trackwheel.files.models import GroupSpec, InForce, Policy, ServiceSpec
from trackwheel.gateway.bodies import BodyReader, ExecuteBody, IdsBody, QueryBody
from trackwheel.gateway.const import (
    HEADER_QUERY_ID,
    HEADER_RETRY_AFTER_MS,
    MAX_DEADLINE_S,
    MAX_IDS_PER_REQUEST,
    PATH_EXECUTE,
    PATH_IDS,
    PATH_QUERY,
)
from trackwheel.gateway.errors import CallerError, Code, refusal
from trackwheel.gateway.execution_runner import ExecutionRequest, ExecutionResult, ExecutionRunner
from trackwheel.gateway.forwarding import Forwarder, ForwardReply
from trackwheel.gateway.ledger import parse_id
from trackwheel.gateway.models import Forward
from trackwheel.gateway.queries import CoverageTooLowError, QueryRunner
from trackwheel.gateway.responses import (
    answer_items,
    coverage_fields,
    digest_response,
    error_response,
    execution_response,
    retry_headers,
)
from trackwheel.groups.keys import find_group, read_key
from trackwheel.stop_deadline import NO_STOP, STOPPING, StopDeadline
from trackwheel.telemetry.burn import Burn
from trackwheel.telemetry.logs import Log
from trackwheel.web import no_lifespan

LOG = Log("gateway")

KEY_SCHEME: Final = b"bearer"


class CallersApp:
    """Authenticate callers and serve their requests."""

    def __init__(
        self,
        in_force: Callable[[], InForce],
        ready: Callable[[], bool],
        queries: QueryRunner,
        executions: ExecutionRunner,
        forwarder: Forwarder,
        burn: Burn,
        stop: StopDeadline = NO_STOP,
        bodies: BodyReader | None = None,
    ) -> None:
        """Initialize; after a stop signal, requests that would end after `stop` end by then."""
        self._bodies = bodies or BodyReader()
        self._stop = stop
        self._in_force = in_force
        self._ready = ready
        self._queries = queries
        self._executions = executions
        self._forwarder = forwarder
        self._burn = burn

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route(PATH_QUERY, self._endpoint(self._query), methods=["POST"]),
            Route(PATH_IDS, self._endpoint(self._ids), methods=["POST"]),
            Route(PATH_EXECUTE, self._endpoint(self._execute), methods=["POST"]),
        ]
        return Starlette(routes=routes, lifespan=no_lifespan)

    def _endpoint(
        self, handler: Callable[[Request, GroupSpec], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[Response]]:
        """Return an endpoint that turns exceptions into error responses."""

        async def endpoint(request: Request) -> Response:
            try:
                return await handler(request, self._group(request))
            except CoverageTooLowError as error:
                return error_response(error, coverage_fields(error.result))
            except CallerError as error:
                return error_response(error)
            except Exception as error:
                LOG.error(f"Unexpected error while serving a request. {error!r}")
                remedy = "Report it to your operators"
                failure = refusal(Code.INTERNAL, "serve", type(error).__name__, remedy)
                return error_response(failure)
            finally:
                self._bodies.release(request)

        return endpoint

    def _group(self, request: Request) -> GroupSpec:
        """Return the group that the caller's key belongs to."""
        credentials = [value for name, value in request.headers.raw if name == b"authorization"]
        key = read_key(credentials, KEY_SCHEME)
        if not self._ready():
            remedy = "Retry later or use another box"
            raise refusal(
                Code.NOT_READY, "admit", "no configuration has been loaded yet", remedy, 1.0
            )
        group = find_group(self._in_force().group_by_key_digest, key) if key is not None else None
        if group is None:
            remedy = "Send `Authorization: Bearer KEY` with your group's key"
            raise refusal(Code.UNAUTHENTICATED, "admit", "no group has this key", remedy)
        return group

    def _service(self, group: GroupSpec, name: str) -> ServiceSpec:
        service = self._in_force().service_by_name.get(name)
        if name not in group.services:
            remedy = "Ask your operators to add the service to your group"
            detail = f"group `{group.name}` is not allowed to use service `{name}`"
            raise refusal(Code.FORBIDDEN, "admit", detail, remedy)
        if service is None:
            detail = f"service `{name}` is not declared"
            raise refusal(Code.UNKNOWN_SERVICE, "admit", detail, "Check the service name")
        return service

    def _time_for(self, deadline_s: float) -> float:
        """Return the time for a request, bounded by the end of this box; refuse it without any."""
        now = steady_now()
        if self._stop.has_passed(now):
            retry_s = self._stop.retry_after_s(now)
            raise refusal(Code.NOT_READY, "admit", STOPPING, "Use another box", retry_s)
        return min(deadline_s, self._stop.left_s(now))

    def _bounded(self, policy: Policy) -> Policy:
        """Return the policy with deadlines before the end of this box."""
        return policy._replace(
            deadline_s=self._time_for(policy.deadline_s), wait_s=self._time_for(policy.wait_s)
        )

    async def _query(self, request: Request, group: GroupSpec) -> Response:
        body = await self._bodies.read(request, QueryBody)
        service = self._service(group, body.service)
        policy = self._in_force().policy(group.name, service)
        policy = self._bounded(_with_deadline(policy, body.deadline_ms))
        started = steady_now()
        outcome = "internal"
        try:
            result = await self._queries.run(group.name, service, policy, body.query)
            outcome = "good" if result.answer.complete else "lacking"
        except CallerError as error:
            outcome = error.problem.code
            raise
        finally:
            took_s = steady_now() - started
            self._burn.count(group.name, service, policy, outcome, took_s)
        answer = {**coverage_fields(result), "items": answer_items(result.answer), "end": True}
        return digest_response(msgspec.json.encode(answer), {HEADER_QUERY_ID: result.query_id})

    async def _ids(self, request: Request, group: GroupSpec) -> Response:
        body = await self._bodies.read(request, IdsBody)
        if not 1 <= body.count <= MAX_IDS_PER_REQUEST:
            detail = f"count must be between 1 and {MAX_IDS_PER_REQUEST}"
            raise refusal(Code.BAD_REQUEST, "read", detail, "Request fewer ids at a time")
        ids = self._executions.issue(group.name, body.count)
        return digest_response(msgspec.json.encode({"ids": ids, "end": True}), {})

    async def _execute(self, request: Request, group: GroupSpec) -> Response:
        body = await self._bodies.read(request, ExecuteBody)
        if body.id is None:
            remedy = "Get ids with POST /v1/ids and send one with each request"
            detail = "an at-most-once request needs an id"
            raise refusal(Code.ID_MISSING, "admit", detail, remedy)
        service = self._service(group, body.service)
        policy = self._in_force().policy(group.name, service)
        policy = self._bounded(_with_deadline(policy, body.deadline_ms))
        execution = ExecutionRequest(
            body.id, group.name, service, body.key, body.body, policy.wait_s
        )
        if self._forwarder.issued_elsewhere(body.id):
            return await self._forward(execution)
        result = await self._executions.run(execution)
        return execution_response(result)

    async def _forward(self, execution: ExecutionRequest) -> Response:
        """Return the response of the box that issued the id."""
        parsed = parse_id(execution.request_id)
        assert parsed is not None, "the caller has parsed the id"
        forward = Forward(
            exchange_id="",
            issuer_boot=parsed.boot,
            request_id=execution.request_id,
            service=execution.service.name,
            group=execution.group,
            routing_key=execution.routing_key,
            body=execution.body,
            deadline_ms=execution.deadline_s * 1000,
        )
        reply = await self._forwarder.forward_to_issuer(forward)
        if reply is None:
            result = ExecutionResult(
                execution.request_id, RunOutcome.UNKNOWN, "issuer_gone", b"", 0.0
            )
            return execution_response(result)
        headers = retry_headers(reply.retry_after_s)
        return digest_response(reply.payload, headers, reply.status)

    async def serve_forward(self, forward: Forward) -> ForwardReply:
        """Serve a request that another box forwarded because this box issued its id."""
        service = self._in_force().service_by_name.get(forward.service)
        try:
            if service is None:
                detail = f"service `{forward.service}` is not declared"
                raise refusal(Code.UNKNOWN_SERVICE, "admit", detail, "Check the service name")
            execution = ExecutionRequest(
                forward.request_id,
                forward.group,
                service,
                forward.routing_key,
                forward.body,
                self._time_for(forward.deadline_ms / 1000),
            )
            response = execution_response(await self._executions.run(execution))
        except CallerError as error:
            response = error_response(error)
        retry_ms = response.headers.get(HEADER_RETRY_AFTER_MS, "0")
        return ForwardReply(response.status_code, bytes(response.body), float(retry_ms) / 1000)


def _with_deadline(policy: Policy, deadline_ms: float | None) -> Policy:
    """Return the policy with its deadlines limited to the caller's own deadline."""
    if deadline_ms is None:
        return policy
    if not 0 < deadline_ms <= MAX_DEADLINE_S * 1000:
        detail = f"deadline_ms must be above zero and at most {MAX_DEADLINE_S * 1000:.0f}"
        raise refusal(Code.BAD_REQUEST, "read", detail, "Send a valid deadline_ms")
    deadline_s = deadline_ms / 1000
    return policy._replace(
        deadline_s=min(policy.deadline_s, deadline_s), wait_s=min(policy.wait_s, deadline_s)
    )
