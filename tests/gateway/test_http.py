"""The HTTP API alone: internal errors are reported without their details."""

import asyncio
import hashlib
from typing import Any

import httpx
import pytest

from trackwheel.files.models import GroupSpec, InForce, Policy, ServiceSpec
from trackwheel.gateway.http import CallersApp
from trackwheel.telemetry.burn import Burn

KEY = "secret-key"
GROUP = GroupSpec("clerks", hashlib.sha256(KEY.encode()).hexdigest(), 1.0, ("s",))
SERVICE = ServiceSpec("s", 2, 25, 0.006, 0.05, 0.99, Policy(1.0, 1.0, 1.0), ())
IN_FORCE = InForce(1, {"clerks": GROUP}, {GROUP.key_digest: GROUP}, {"s": SERVICE}, {})


class Broken:
    """Raise on any attribute access."""

    def __getattr__(self, name: str) -> Any:
        raise ZeroDivisionError("details that callers must not see")


async def post(ready: bool, key: str) -> httpx.Response:
    broken: Any = Broken()
    app = CallersApp(lambda: IN_FORCE, lambda: ready, broken, broken, broken, Burn()).app()
    transport = httpx.ASGITransport(app=app)
    async with httpx.AsyncClient(transport=transport, base_url="http://box") as client:
        headers = {"Authorization": f"Bearer {key}"}
        return await client.post("/v1/query", json={"service": "s"}, headers=headers)


@pytest.mark.parametrize(
    ("ready", "key", "status", "code"),
    [
        pytest.param(True, KEY, 500, "internal", id="fault-inside"),
        pytest.param(False, KEY, 503, "not_ready", id="no-files-yet"),
        pytest.param(True, "other", 401, "unauthenticated", id="wrong-key"),
    ],
)
def test_refusals(ready: bool, key: str, status: int, code: str) -> None:
    response = asyncio.run(post(ready, key))
    assert response.status_code == status
    assert response.json()["error"]["code"] == code
    assert response.json()["end"] is True
    assert "details" not in response.text
    assert KEY not in response.text
