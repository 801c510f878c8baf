"""The operators' HTTP interface of one box: apply, show, explain, burn, metrics, health."""

import time
from collections.abc import Callable
from typing import Any, Final

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from trackwheel.dispatch.service import DispatchService
from trackwheel.files.applier import ApplyReport
from trackwheel.files.apply import ApplyOutcome
from trackwheel.files.confirm import Confirmations
from trackwheel.files.const import MAX_FILE_BYTES
from trackwheel.files.errors import ApplyError
from trackwheel.files.service import FilesService
from trackwheel.fleet.service import FleetService
from trackwheel.ini import InvalidIniError
from trackwheel.telemetry.burn import Burn
from trackwheel.telemetry.explain import Traces
from trackwheel.telemetry.metrics import Metrics
from trackwheel.web import no_lifespan

PATH_APPLY: Final = "/v1/apply"
PATH_SHOW: Final = "/v1/show"
PATH_FILE: Final = "/v1/files/{name}"
PATH_EXPLAIN: Final = "/v1/explain/{id}"
PATH_BURN: Final = "/v1/burn"
PATH_METRICS: Final = "/metrics"
PATH_LIVE: Final = "/health/live"
PATH_READY: Final = "/health/ready"

HEADER_APPLIED_BY: Final = "Trackwheel-Applied-By"
HEADER_EXPECTED: Final = "Trackwheel-Expected-Version"

HEAR_WAIT_S: Final = 3.0
"""How long an apply waits until this box knows what is in force elsewhere."""

STATUS_BY_OUTCOME: Final = {
    ApplyOutcome.ACCEPTED: 200,
    ApplyOutcome.UNCHANGED: 200,
    ApplyOutcome.CONFLICT: 409,
    ApplyOutcome.UNCERTAIN: 504,
    ApplyOutcome.NOT_APPLIED: 503,
}


class OperatorsApp:
    """Serve operators on their own address."""

    def __init__(
        self,
        box_id: str,
        files: FilesService,
        fleet: FleetService,
        dispatch: DispatchService,
        confirmations: Confirmations,
        traces: Traces,
        burn: Burn,
        metrics: Metrics,
        ready: Callable[[], bool],
    ) -> None:
        self._box_id = box_id
        self._files = files
        self._fleet = fleet
        self._dispatch = dispatch
        self._confirmations = confirmations
        self._traces = traces
        self._burn = burn
        self._metrics = metrics
        self._ready = ready

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route(PATH_APPLY, self._apply, methods=["POST"]),
            Route(PATH_SHOW, self._show),
            Route(PATH_FILE, self._file),
            Route(PATH_EXPLAIN, self._explain),
            Route(PATH_BURN, self._read_burn),
            Route(PATH_METRICS, self._read_metrics),
            Route(PATH_LIVE, self._live),
            Route(PATH_READY, self._read_ready),
        ]
        return Starlette(routes=routes, lifespan=no_lifespan)

    async def _apply(self, request: Request) -> Response:
        content = await _read_file(request)
        if content is None:
            return _json({"errors": [f"the file has more than {MAX_FILE_BYTES} bytes"]}, 413)
        applied_by = request.headers.get(HEADER_APPLIED_BY, "unknown")
        expected_text = request.headers.get(HEADER_EXPECTED, "")
        expected = int(expected_text) if expected_text.isdigit() else None
        with anyio.move_on_after(HEAR_WAIT_S):
            await self._files.heard.wait()
        if not self._files.heard.is_set():
            detail = "this box has not heard yet of any file in force; try again or ask another"
            return _json({"outcome": ApplyOutcome.NOT_APPLIED, "errors": [detail]}, 503)
        try:
            # An operator who goes away does not leave an apply half done.
            with anyio.CancelScope(shield=True):
                report = await self._files.apply(content, applied_by, expected)
        except InvalidIniError as errors:
            sentences = [error.sentence() for error in errors.errors]
            return _json({"outcome": "refused", "errors": sentences}, 400)
        except ApplyError as error:
            outcome = ApplyOutcome.NOT_APPLIED
            return _json({"outcome": outcome, "errors": [error.problem.sentence()]}, 503)
        return _json(await self._report(report), STATUS_BY_OUTCOME[report.outcome])

    async def _report(self, report: ApplyReport) -> dict[str, Any]:
        body: dict[str, Any] = {
            "outcome": report.outcome,
            "name": report.name,
            "apply_id": report.apply_id,
            "revision": report.revision,
        }
        if report.winner is not None:
            body["in_force_instead"] = report.winner._asdict()
        if report.outcome in (ApplyOutcome.ACCEPTED, ApplyOutcome.UNCHANGED):
            missing = await self._confirmations.wait(report.revision)
            body["boxes"] = len(self._fleet.members)
            body["not_confirmed"] = list(missing)
        return body

    async def _show(self, request: Request) -> Response:
        revision_by_box = await self._confirmations.ask()
        files = self._files
        return _json(
            {
                "box": self._box_id,
                "revision": files.manifest.revision,
                "in_force_since": files.in_force_since,
                "refused_revision": files.refused_revision,
                "store_last_answered": files.last_store_contact or None,
                "files": {
                    name: entry._asdict() for name, entry in files.manifest.entry_by_name.items()
                },
                "boxes": [
                    {
                        "id": member.box_id,
                        "address": member.address,
                        "region": member.region,
                        "failure_domain": member.failure_domain,
                        "status": member.status.name.lower(),
                        "revision": revision_by_box.get(member.address),
                    }
                    for member in self._fleet.members
                ],
                "targets": [state._asdict() for state in self._dispatch.states()],
            }
        )

    async def _file(self, request: Request) -> Response:
        content = self._files.content(request.path_params["name"])
        if content is None:
            return _json({"errors": ["no file of this name is in force"]}, 404)
        return Response(content, media_type="text/plain; charset=utf-8")

    async def _explain(self, request: Request) -> Response:
        trace = self._traces.get(request.path_params["id"])
        if trace is None:
            detail = "this box keeps no record of the query; ask the box that answered it"
            return _json({"errors": [detail], "latest": self._traces.latest()}, 404)
        return _json(dict(trace.report(self._box_id)))

    async def _read_burn(self, request: Request) -> Response:
        rows = [row._asdict() for row in self._burn.rows()]
        return _json({"box": self._box_id, "at": time.time(), "rows": rows})

    async def _read_metrics(self, request: Request) -> Response:
        accept = request.headers.getlist("accept")
        content, headers = self._metrics.render(accept)
        return Response(content, headers=headers)

    async def _live(self, request: Request) -> Response:
        return _json({"live": True})

    async def _read_ready(self, request: Request) -> Response:
        ready = self._ready()
        return _json({"ready": ready}, 200 if ready else 503)


async def _read_file(request: Request) -> bytes | None:
    """Return the body of an apply, None when it is too large."""
    content = b""
    async for part in request.stream():
        content += part
        if len(content) > MAX_FILE_BYTES:
            return None
    return content


def _json(body: dict[str, Any], status: int = 200) -> Response:
    content = msgspec.json.encode(body)
    return Response(content, status_code=status, media_type="application/json")
