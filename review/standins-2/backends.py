"""A process of back ends: `python3 backends.py SPEC` with a JSON object of their services.

It prints a JSON list of the back ends with their addresses, and then a line for each run of a
request. While the file that the SPEC names as `trouble` exists, the share `x` of the answers has no
end.
"""

import asyncio
import json
import os
import random
import sys
import time
from typing import Any

from harness import Message, answer_bytes, read_message

CHUNK = b"5\r\nfail\n\r\n"
BLOCK = CHUNK * 6_000
BYTES_PER_S = 100_000_000
"""How fast an answer without end is sent at most: less than the link of a machine takes."""
LONGEST_S = 10.0


class Server:
    """One back end."""

    def __init__(self, spec: dict[str, Any], service: str, instance: str) -> None:
        self._spec = spec
        self.service = service
        self.instance = instance
        self._random = random.Random(f"{spec['seed']} {instance}")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        try:
            while (message := await read_message(reader)) is not None:
                await self._answer(message, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        attempt = message.headers.get("x-attempt-id", "")
        if message.headers.get("x-expect-instance", self.instance) != self.instance:
            writer.write(answer_bytes(421, {"X-Attempt-Id": attempt}))
            return
        print(f"run {self.instance} {attempt}", flush=True)
        await asyncio.sleep(self._spec["work_s"])
        in_trouble = self._spec["x"] > 0.0 and os.path.exists(self._spec["trouble"])
        if in_trouble and self._random.random() < self._spec["x"]:
            print(f"endless {self.instance} {attempt}", flush=True)
            await self._write_without_end(writer)
            return
        headers = {"X-Attempt-Id": attempt, "X-Response-Stamp": f"{self.instance}.{attempt}"}
        record = f"{self.service}-{attempt}".encode().ljust(16)[:16]
        writer.write(answer_bytes(200, headers, record * self._spec["records"]))
        await writer.drain()

    async def _write_without_end(self, writer: asyncio.StreamWriter) -> None:
        """Write an error text, a line in each chunk, until the caller closes."""
        began, sent = time.monotonic(), 0
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.is_closing() and time.monotonic() - began < LONGEST_S:
            writer.write(BLOCK)
            await writer.drain()
            sent += len(BLOCK)
            await asyncio.sleep(max(0.0, sent / BYTES_PER_S - (time.monotonic() - began)))


async def main() -> None:
    """Start the back ends and serve until the process is ended."""
    spec = json.loads(sys.argv[1])
    shown = []
    number = 0
    for service, zones in spec["services"].items():
        for zone in zones:
            number += 1
            instance = f"i-{spec['name']}{number}"
            server = Server(spec, service, instance)
            listening = await asyncio.start_server(server.serve, spec["ip"], 0)
            port = listening.sockets[0].getsockname()[1]
            address = f"{spec['ip']}:{port}"
            shown.append({"id": instance, "service": service, "zone": zone, "address": address})
    print(json.dumps(shown), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
