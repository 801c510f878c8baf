"""A tiny frame for stand-ins that speak HTTP, with faults that a test can switch."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Running(NamedTuple):
    """Hold a stand-in that listens, so that it can be stopped."""

    runner: web.AppRunner
    address: str

    async def stop(self) -> None:
        """Close the listening socket and every connection."""
        await self.runner.cleanup()


async def listen(routes: list[web.RouteDef], address: str) -> Running:
    """Serve routes on `IP:PORT`; port 0 takes any free one."""
    app = web.Application(client_max_size=4_000_000)
    app.add_routes(routes)
    runner = web.AppRunner(app, handler_cancellation=True, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host, int(port), backlog=512)
    await site.start()
    bound = runner.addresses[0]
    return Running(runner, f"{bound[0]}:{bound[1]}")


def run_forever(start: Callable[[], Awaitable[object]]) -> None:
    """Run a stand-in until its process is ended."""

    async def main() -> None:
        await start()
        await asyncio.Event().wait()

    asyncio.run(main())
