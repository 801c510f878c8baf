"""Requests of callers and operators through boxes and targets as separate processes."""

import hashlib
import socket
from typing import Any

import pytest

from standins.file_maker import demo_key
from standins.fleet import SmallFleet

KEY = demo_key("clerks")


def test_query_answer_is_complete(fleet: SmallFleet) -> None:
    for box in fleet.boxes:
        response = fleet.query(box, KEY, "ledger")
        answer = response.json()
        assert response.status_code == 200, answer
        assert answer["whole"] is True
        assert answer["covered"] == [0, 1, 2, 3, 4, 5]
        assert answer["lacking"] == []
        assert len({item for shard in answer["items"] for item in shard["items"]}) == 18


def test_answer_has_its_digest_length_and_end_mark(fleet: SmallFleet) -> None:
    response = fleet.query(fleet.boxes[0], KEY, "ledger")
    digest = hashlib.sha256(response.content).hexdigest()
    assert response.headers["trackwheel-digest"] == f"sha256={digest}"
    assert int(response.headers["content-length"]) == len(response.content)
    assert response.json()["end"] is True


@pytest.mark.parametrize(
    ("key", "path", "body", "status", "code"),
    [
        pytest.param("", "/v1/query", {"service": "ledger"}, 401, "unauthenticated", id="no-key"),
        pytest.param("x", "/v1/query", {"service": "ledger"}, 401, "unauthenticated", id="bad-key"),
        pytest.param(KEY, "/v1/query", {"service": "other"}, 403, "forbidden", id="foreign"),
        pytest.param(KEY, "/v1/query", {"servce": "ledger"}, 400, "bad_request", id="bad-field"),
        pytest.param(
            KEY,
            "/v1/query",
            {"service": "ledger", "deadline_ms": -1},
            400,
            "bad_request",
            id="bad-deadline",
        ),
        pytest.param(
            KEY,
            "/v1/query",
            {"service": "ledger", "query": "x" * 300_000},
            413,
            "too_large",
            id="big",
        ),
        pytest.param(KEY, "/v1/ids", {"count": 0}, 400, "bad_request", id="no-ids"),
        pytest.param(
            KEY, "/v1/execute", {"service": "ledger", "key": "k"}, 400, "id_missing", id="no-id"
        ),
        pytest.param(
            KEY,
            "/v1/execute",
            {"service": "ledger", "key": "k", "id": "a-1-2-b"},
            504,
            "outcome_unknown",
            id="unknown-issuer",
        ),
    ],
)
def test_invalid_requests_are_refused_with_their_error_code(
    fleet: SmallFleet, key: str, path: str, body: dict[str, Any], status: int, code: str
) -> None:
    response = fleet.call(fleet.boxes[0], key, path, body)
    assert response.status_code == status
    error = response.json()["error"]
    assert error["code"] == code
    assert error["step"] and error["peer"] and error["remedy"]


def test_malformed_json_is_refused(fleet: SmallFleet) -> None:
    url = f"http://{fleet.boxes[0].callers}/v1/query"
    headers = {"Authorization": f"Bearer {KEY}"}
    response = fleet.http.post(url, content=b"\xff{", headers=headers)
    assert response.status_code == 400


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        pytest.param(b"Content-Length: 50\r\n\r\n{", b"400", id="slow-body"),
        pytest.param(b"X-Long: " + b"x" * 80_000 + b"\r\n\r\n", b"4", id="long-header"),
    ],
)
def test_slow_body_or_long_header_does_not_disturb_others(
    fleet: SmallFleet, sent: bytes, status: bytes
) -> None:
    host, port = fleet.boxes[0].callers.split(":")
    with socket.create_connection((host, int(port)), timeout=8) as connection:
        key = f"Authorization: Bearer {KEY}\r\n".encode()
        connection.sendall(b"POST /v1/query HTTP/1.1\r\nHost: x\r\n" + key + sent)
        try:
            answer = connection.recv(200)
        except ConnectionError:
            answer = b""
    assert answer == b"" or answer.split(b" ")[1].startswith(status)
    assert fleet.query(fleet.boxes[0], KEY, "ledger").status_code == 200


def test_repeated_id_returns_the_first_answer_at_any_box(fleet: SmallFleet) -> None:
    ids = fleet.call(fleet.boxes[0], KEY, "/v1/ids", {"count": 3}).json()["ids"]
    for index, request_id in enumerate(ids):
        body = {"service": "ledger", "key": "pallet-7", "body": "promise", "id": request_id}
        first = fleet.call(fleet.boxes[index], KEY, "/v1/execute", body)
        assert first.status_code == 200, first.text
        assert first.json()["outcome"] == "done"
        repeated = fleet.call(fleet.boxes[(index + 1) % 3], KEY, "/v1/execute", body)
        assert repeated.json()["repeated"] is True
        assert repeated.json()["answer"] == first.json()["answer"]


def test_id_of_another_group_is_refused(fleet: SmallFleet) -> None:
    ids = fleet.call(fleet.boxes[0], KEY, "/v1/ids", {}).json()["ids"]
    body = {"service": "ledger", "key": "k", "id": ids[0]}
    response = fleet.call(fleet.boxes[0], demo_key("drivers"), "/v1/execute", body)
    assert response.json()["error"]["code"] == "id_invalid"


def test_explain_lists_the_steps_of_each_instance(fleet: SmallFleet) -> None:
    box = fleet.boxes[2]
    query_id = fleet.query(box, KEY, "ledger").headers["trackwheel-query-id"]
    report = fleet.http.get(f"http://{box.operators}/v1/explain/{query_id}").json()
    assert report["outcome"] == "whole"
    assert {step["instance"] for step in report["steps"]} == set(range(6))
    assert KEY not in str(report)


def test_operators_read_state_and_burn(fleet: SmallFleet) -> None:
    fleet.query(fleet.boxes[0], KEY, "ledger")
    state = fleet.show(fleet.boxes[0])
    assert state["revision"] == 1
    assert [box["revision"] for box in state["boxes"]] == [1, 1, 1]
    rows = fleet.http.get(f"http://{fleet.boxes[0].operators}/v1/burn").json()["rows"]
    assert {row["group"] for row in rows} >= {"clerks"}
    ready = fleet.http.get(f"http://{fleet.boxes[0].operators}/health/ready")
    assert ready.json() == {"ready": True}
