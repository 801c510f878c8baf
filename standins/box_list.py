"""A stand-in for the platform's list of live and leaving boxes, which lags on request."""

from aiohttp import web

from standins.http import Running, listen


class StandinBoxList:
    """Serve `GET /boxes`; set the list with `POST /control`."""

    def __init__(self, addresses: list[str]) -> None:
        self.live = list(addresses)
        self.leaving: list[str] = []
        self.down = False
        self.calls = 0

    async def start(self, address: str) -> Running:
        """Listen on `IP:PORT`."""
        routes = [web.get("/boxes", self._boxes), web.post("/control", self._control)]
        return await listen(routes, address)

    async def _boxes(self, request: web.Request) -> web.StreamResponse:
        self.calls += 1
        if self.down:
            raise web.HTTPServiceUnavailable()
        return web.json_response({"live": self.live, "leaving": self.leaving})

    async def _control(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        self.live = body.get("live", self.live)
        self.leaving = body.get("leaving", self.leaving)
        self.down = body.get("down", self.down)
        return web.json_response({"ok": True})
