"""Crowds of clients that keep requests unfinished, beside the ordinary clients of a run."""

import asyncio
from random import Random
from typing import Final

from soak.const import CROWD_CLIENTS, CROWD_FIRST_S, CROWD_LONGEST_S, CROWD_SHARE
from standins.crowd import Crowd, CrowdForm
from standins.entry_fleet import HOST, EntryPlace

_HEAD: Final = f"POST /l/x HTTP/1.1\r\nHost: {HOST}\r\n".encode()
_CHUNKED: Final = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FORMS: Final = (
    CrowdForm(CROWD_CLIENTS, _CHUNKED + b"1\r\nc\r\n" * 100_000),
    CrowdForm(CROWD_CLIENTS, _CHUNKED + (b"10000\r\n" + b"c" * 65_536 + b"\r\n") * 3),
    CrowdForm(CROWD_CLIENTS, _HEAD + b"Content-Length: 200000\r\n\r\n" + b"b" * 199_999),
    CrowdForm(CROWD_CLIENTS, _HEAD + b"a:\r\n" * 3_000),
    CrowdForm(CROWD_CLIENTS, b""),
)


async def send_crowds(seed: int, seconds: float, places: list[EntryPlace]) -> None:
    """In a part of the runs, let a crowd in one form stay at one box for a while."""
    random = Random(f"{seed} crowd")
    if random.random() >= CROWD_SHARE:
        return
    form, place = random.choice(FORMS), random.choice(places)
    await asyncio.sleep(CROWD_FIRST_S)
    with Crowd(place.front, form):
        await asyncio.sleep(random.uniform(1.0, max(1.0, min(CROWD_LONGEST_S, seconds / 3))))
