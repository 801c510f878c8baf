"""Classification of target replies."""

import json

import pytest

from trackwheel.dispatch.models import Outcome, RunOutcome, Work, WorkKey
from trackwheel.dispatch.reply_classifier import classify_execute_reply, classify_query_reply
from trackwheel.targets.models import TargetReply

WORK = Work(WorkKey("g", "q", 1, "t"), "s", "clerks", 1.0, 1, "", False, "id", "boot")
OWN, OTHER = "q.1", "q.2"


def reply(
    status: int, body: object, draining: bool = False, not_run: bool = False, cut: int = 0
) -> TargetReply:
    content = json.dumps(body).encode()
    return TargetReply(status, "boot", draining, not_run, 0.0, content[: len(content) - cut])


def answer(nonce: str, end: bool = True) -> dict[str, object]:
    return {"nonce": nonce, "version": 1, "map_size": 1, "shards": {"0": []}, "end": end}


@pytest.mark.parametrize(
    ("given", "outcome"),
    [
        pytest.param(reply(200, answer(OWN)), Outcome.OK, id="own"),
        pytest.param(reply(200, answer(OTHER)), Outcome.FAILED, id="other-nonce"),
        pytest.param(reply(200, answer(OWN, end=False)), Outcome.FAILED, id="no-end"),
        pytest.param(reply(200, answer(OWN), cut=9), Outcome.FAILED, id="half"),
        pytest.param(reply(200, {"nonce": OWN}), Outcome.FAILED, id="no-version"),
        pytest.param(reply(200, [1]), Outcome.FAILED, id="no-object"),
        pytest.param(reply(409, {"nonce": OWN, "holds": [2]}), Outcome.WRONG_VERSION, id="version"),
        pytest.param(reply(409, {"nonce": OWN, "holds": "x"}), Outcome.FAILED, id="bad-holds"),
        pytest.param(reply(503, {}), Outcome.SHED, id="shed"),
        pytest.param(reply(429, {}), Outcome.SHED, id="too-many"),
        pytest.param(reply(503, {}, draining=True), Outcome.LEAVING, id="leaving"),
        pytest.param(reply(500, {}), Outcome.FAILED, id="error"),
        pytest.param(reply(302, {}), Outcome.FAILED, id="elsewhere"),
    ],
)
def test_only_a_complete_answer_with_the_own_nonce_is_ok(
    given: TargetReply, outcome: Outcome
) -> None:
    assert classify_query_reply(WORK, given)[0] is outcome


@pytest.mark.parametrize(
    ("given", "outcome"),
    [
        pytest.param(reply(200, {"nonce": OWN, "end": True}), RunOutcome.DONE, id="own"),
        pytest.param(reply(200, {"nonce": OTHER, "end": True}), RunOutcome.UNKNOWN, id="foreign"),
        pytest.param(reply(200, {"nonce": OWN, "end": True}, cut=3), RunOutcome.UNKNOWN, id="half"),
        pytest.param(reply(503, {"nonce": OWN}, not_run=True), RunOutcome.NOT_RUN, id="refused"),
        pytest.param(
            reply(503, {"nonce": OTHER}, not_run=True), RunOutcome.UNKNOWN, id="other-refusal"
        ),
        pytest.param(reply(503, {"nonce": OWN}), RunOutcome.UNKNOWN, id="says-nothing"),
        pytest.param(reply(500, {"nonce": OWN}), RunOutcome.UNKNOWN, id="error"),
        pytest.param(reply(503, [], not_run=True), RunOutcome.UNKNOWN, id="no-object"),
    ],
)
def test_only_a_refusal_with_the_own_nonce_proves_not_run(
    given: TargetReply, outcome: RunOutcome
) -> None:
    assert classify_execute_reply(WORK, given)[0] is outcome
