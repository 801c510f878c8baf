"""Two of a zone's three boxes get SIGTERM while clients keep coming.

Fewer than half of the zone's boxes are ready then, so the platform goes on to hand new connections
to all of them. Each client's request is read and passed to a backend; it must be answered.
"""

import asyncio
import random
import uuid
from pathlib import Path
from typing import NamedTuple

from review.standins.backend import Backend, configuration, route
from review.standins.boxes import GRACE_S, Box, Platform
from review.standins.case import Record, run_case
from review.standins.http import Answer, Request, call
from review.standins.store import Store

ZONE, REGION = "halle-muc", "oberbayern"
BACKENDS, SLOTS, WORK_S = 6, 4, 0.9
REQUESTS_PER_S = 20.0
DEADLINE_MS = 6000
CALM_S = 5.0
"""More than contact_ms between the start and the signal."""
AFTER_SIGNAL_S = 7.0
EXCUSED_UNTIL_S = 3.0
"""Requests sent this long after SIGTERM may still be at work at a backend when the box ends."""
LATEST_S = GRACE_S + 1.0


class Sent(NamedTuple):
    """One client attempt and how it ended."""

    attempt: str
    box: Box
    sent_at: float
    ended_at: float
    answer: Answer | str


async def send(platform: Platform, record: Record) -> Sent:
    """Send one request on a new connection, as the platform directs it."""
    box = random.choice(platform.offered(ZONE))
    attempt = uuid.uuid4().hex[:16]
    headers = {
        "host": "pantry.example",
        "x-attempt-id": attempt,
        "x-deadline-ms": str(DEADLINE_MS),
        "connection": "close",
    }
    request = Request("POST", "/stow/pallet", headers, b"one pallet")
    sent_at = record.now()
    record.note("client_sent", attempt=attempt, box=box.name)
    answer = await call(box.ip, box.front, request, DEADLINE_MS / 1000)
    told = answer.status if isinstance(answer, Answer) else answer
    record.note("client_ended", attempt=attempt, box=box.name, answer=told)
    return Sent(attempt, box, sent_at, record.now(), answer)


async def play(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case; return whether a request was lost."""
    passed_on: set[str] = set()

    def note(event: str, **fields: str) -> None:
        record.note(event, **fields)
        if event == "backend_got":
            passed_on.add(fields["attempt"])

    store = Store()
    address = await store.start("127.0.0.1")
    rule = {"kind": "unsafe", "timeout_ms": DEADLINE_MS, "target_latency_ms": 2000}
    store.put("op/config", configuration(7, [route("stow", "etikett", **rule)], {"etikett": 100}))
    backends = [
        Backend(store, f"i-{number}", "etikett", ZONE, SLOTS, note) for number in range(BACKENDS)
    ]
    for backend in backends:
        backend.work_s = WORK_S
        await backend.start("127.0.0.1")
    platform = Platform([(f"front-muc-{n}", ZONE, REGION) for n in (1, 2, 3)], address, folder)
    try:
        await platform.start()
        return await _run(record, platform, trouble, passed_on)
    finally:
        platform.end()
        for backend in backends:
            backend.end()


async def _run(record: Record, platform: Platform, trouble: bool, passed_on: set[str]) -> bool:
    loop = asyncio.get_running_loop()
    stopped, stops, signalled_at = platform.boxes[:2], [], float("inf")
    sends: list[asyncio.Task[Sent]] = []
    began = loop.time()
    while loop.time() < began + CALM_S + AFTER_SIGNAL_S:
        sends.append(asyncio.create_task(send(platform, record)))
        if trouble and not stops and loop.time() >= began + CALM_S:
            signalled_at = record.now()
            for box in stopped:
                record.note("sigterm", box=box.name)
                stops.append(asyncio.create_task(platform.stop_box(box)))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    finished = await asyncio.gather(*sends)
    await asyncio.gather(*stops)
    lost = [
        sent
        for sent in finished
        if isinstance(sent.answer, str)
        and sent.attempt in passed_on
        and sent.ended_at - sent.sent_at < DEADLINE_MS / 1000 - 0.5
        and not (trouble and sent.box in stopped and _is_excused(sent, signalled_at))
    ]
    for sent in lost:
        after = round(sent.sent_at - signalled_at, 3)
        record.note("lost", attempt=sent.attempt, box=sent.box.name, sent_after_sigterm_s=after)
    answered = sum(
        isinstance(sent.answer, Answer) and sent.answer.status == 200 for sent in finished
    )
    print(f"sent {len(finished)}, answered with 200 {answered}, lost {len(lost)}")
    return bool(lost)


def _is_excused(sent: Sent, signalled_at: float) -> bool:
    """Return whether the rule does not count a lost request."""
    return not EXCUSED_UNTIL_S < sent.sent_at - signalled_at <= LATEST_S


run_case(__file__, play)
