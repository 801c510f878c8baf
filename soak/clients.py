"""Clients that keep their connections, and what they were told."""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import NamedTuple

import aiohttp

from soak.const import (
    CLIENT_PAUSE_S,
    CLIENTS,
    DEADLINE_S,
    ENDING_FIRST_S,
    ENDING_PAUSE_S,
    GROUP_BY_KEY,
    MISSES_UNTIL_OUT,
    READY_PERIOD_S,
    TAKEN_KEY,
)
from standins.entry_fleet import HOST, EntryPlace
from trackwheel.units import MILLISECONDS


class Told(NamedTuple):
    """What a client was told of one request; status 0 is a connection that ended."""

    request_id: str
    kind: str
    box: str
    began: float
    ended: float
    status: int
    headers: dict[str, str]
    body: bytes


def key_of(number: int) -> str:
    """Return the key of a client; the last one has that which is taken away."""
    keys = tuple(GROUP_BY_KEY)
    return TAKEN_KEY if number == CLIENTS - 1 else keys[number % len(keys)]


class Balancer:
    """Send new connections to boxes that call themselves ready, as the users' platform does.

    A box is out after two questions in a row without a 200; when fewer than half are in, all are
    used. Open connections stay where they are.
    """

    def __init__(self, seed: int, places: list[EntryPlace]) -> None:
        self._random = Random(seed)
        self._places = places
        self._misses_by_box = dict.fromkeys((place.name for place in places), 0)

    def pick(self) -> EntryPlace:
        """Return the box for a new connection."""
        ready = [p for p in self._places if self._misses_by_box[p.name] < MISSES_UNTIL_OUT]
        enough = 2 * len(ready) >= len(self._places)
        return self._random.choice(ready if enough else self._places)

    async def run(self, until: float) -> None:
        """Ask every box once a second until a moment (monotonic seconds)."""
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < until:
                await asyncio.gather(*(self._look(session, place) for place in self._places))
                await asyncio.sleep(READY_PERIOD_S)

    async def _look(self, session: aiohttp.ClientSession, place: EntryPlace) -> None:
        limit = aiohttp.ClientTimeout(total=READY_PERIOD_S)
        try:
            async with session.get(f"http://{place.readiness}/ready", timeout=limit) as answer:
                ready = answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            ready = False
        self._misses_by_box[place.name] = 0 if ready else self._misses_by_box[place.name] + 1


class Client:
    """Send requests over one connection until that ends, then over one to another box."""

    def __init__(self, seed: int, number: int, balancer: Balancer, told: list[Told]) -> None:
        self._random = Random(seed * 1_000 + number)
        self._number = number
        self._balancer = balancer
        self._told = told
        self._sent = 0

    async def run(self, until: float, version: Callable[[], int]) -> None:
        """Ask until a moment (monotonic seconds); `version` tells the newest configuration."""
        while time.monotonic() < until:
            place = self._balancer.pick()
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as session:
                while time.monotonic() < until and await self._ask(session, place, version):
                    await asyncio.sleep(self._random.random() * CLIENT_PAUSE_S)
            await asyncio.sleep(CLIENT_PAUSE_S)

    async def _ask(
        self, session: aiohttp.ClientSession, place: EntryPlace, version: Callable[[], int]
    ) -> bool:
        """Send one request; return whether its connection can be used on."""
        kind = self._random.choice("qqqlov")
        if kind == "v":
            kind = f"v{version()}"
        self._sent += 1
        request_id = f"{self._number:04x}{self._sent:012x}"
        began = time.monotonic()
        try:
            key = key_of(self._number)
            status, headers, body = await _exchange(session, place, kind, request_id, key)
        except (aiohttp.ClientError, TimeoutError, OSError):
            status, headers, body = 0, {}, b""
        ended = time.monotonic()
        self._told.append(Told(request_id, kind, place.name, began, ended, status, headers, body))
        return status > 0 and headers.get("connection", "").lower() != "close"


async def _exchange(
    session: aiohttp.ClientSession, place: EntryPlace, kind: str, request_id: str, key: str
) -> tuple[int, dict[str, str], bytes]:
    """Return the status, headers and body of the answer to one request."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "Authorization": f"Token {key}",
        "X-Tenant": "forged",
        "X-Deadline-Ms": str(int(DEADLINE_S * MILLISECONDS)),
    }
    url = f"http://{place.front}/{kind}/x"
    method, data = ("POST", b"promise") if kind[0] == "o" else ("GET", None)
    limit = aiohttp.ClientTimeout(total=2 * DEADLINE_S)
    async with session.request(method, url, headers=headers, data=data, timeout=limit) as answer:
        body = await answer.read()
        named = {name.lower(): value for name, value in answer.headers.items()}
        return answer.status, named, body


async def send_ending(seed: int, path: str, balancer: Balancer, until: float) -> None:
    """Send a request that ends targets again and again, each time at any box."""
    random = Random(f"{seed} {path}")
    await asyncio.sleep(ENDING_FIRST_S)
    number = 0
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < until:
            number += 1
            with suppress(aiohttp.ClientError, TimeoutError, OSError):
                request_id = f"{path[0]}{number:015x}"
                await _exchange(session, balancer.pick(), path, request_id, key_of(0))
            await asyncio.sleep(random.expovariate(1.0 / ENDING_PAUSE_S))
