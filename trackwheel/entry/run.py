"""Starts, runs and stops a box on the platform."""

import asyncio
import os
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import anyio

from trackwheel.addresses import split_address
from trackwheel.clock import steady_now
from trackwheel.entry.box import EntryBox
from trackwheel.entry.const import (
    ANSWER_MARGIN_S,
    BACKLOG,
    CLOSE_WAIT_S,
    LAST_ACCEPT_S,
    METRICS_VARIABLE,
    MIN_CLIENT_DRAIN_S,
    STOP_MARGIN_S,
    STOP_POLL_PERIOD_S,
    SUMMARY_PERIOD_S,
)
from trackwheel.entry.signals import SIGNALS, is_stop_pending, unblock_signals
from trackwheel.garbage import tune_garbage_collection
from trackwheel.http1.server import ServerConnection, ServerState
from trackwheel.http1.sockets import open_listening_socket
from trackwheel.platform.settings import read_settings
from trackwheel.relay.const import RETRY_AFTER_S


async def run_entry_box(path: Path, signals_blocked_at: float) -> None:
    """Run a box until a stop signal arrives, then drain it.

    Signals have been blocked since `signals_blocked_at` (monotonic seconds).
    """
    box = EntryBox(read_settings(path))
    async with anyio.create_task_group() as tasks:
        await tasks.start(box.hub.run)
        tasks.start_soon(box.fleet.run)
        tasks.start_soon(box.directory.run)
        tasks.start_soon(box.quarantine.run)
        tasks.start_soon(_write_summaries, box)
        client_server = await _listen(box.clients, box.settings.clients)
        await _listen(box.readiness, box.settings.readiness)
        await _listen_for_metrics(box)
        box.log.write("started", boot=box.hub.identity.boot, domain=box.settings.place[1])
        # The handlers stay installed until the end: by default SIGHUP would terminate the process.
        with anyio.open_signal_receiver(*SIGNALS) as signals:
            # The platform counts the grace period from when it sent the signal.
            earliest_stop = signals_blocked_at if is_stop_pending() else None
            unblock_signals()
            await _wait_for_stop_signal(box, path, signals)
            await _drain(box, client_server, earliest_stop or steady_now())
        tasks.cancel_scope.cancel()
    box.log.write("stopped")


async def _write_summaries(box: EntryBox) -> None:
    """Log the counters of the box periodically."""
    while True:
        await anyio.sleep(SUMMARY_PERIOD_S)
        box.log.write(
            "summary",
            version=box.directory.version,
            synced=box.directory.synced,
            members=len(box.fleet.members),
            store_calls=box.directory.store_calls,
            repeats_denied=box.budget.denied,
            peer_bytes=box.hub.bytes_sent,
            peer_messages=box.hub.messages_sent,
            **{
                f"sent_{reason}_{distance}".replace(" ", "_"): count
                for (reason, distance), count in box.transport.sent_by_reason.items()
            },
        )


async def _listen(state: ServerState, address: str) -> asyncio.Server:
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    sock = open_listening_socket(host, port)
    return await loop.create_server(lambda: ServerConnection(state), sock=sock, backlog=BACKLOG)


async def _listen_for_metrics(box: EntryBox) -> None:
    """Serve metrics if a port is set; if it is in use or invalid, the box runs without metrics."""
    port = os.environ.get(METRICS_VARIABLE)
    if port is None:
        return
    try:
        await _listen(box.metrics, f"{box.settings.ip}:{port}")
    except (OSError, ValueError) as error:
        box.log.write("no_metrics", port=port, reason=str(error))


async def _wait_for_stop_signal(
    box: EntryBox, path: Path, signals: AsyncIterator[signal.Signals]
) -> None:
    """Return at the first stop signal; SIGHUP is logged and has no other effect."""
    async for received in signals:
        if received != signal.SIGHUP:
            box.log.write("stopping", signal=received.name)
            return
        box.log.write("reload", path=str(path))


async def _drain(box: EntryBox, client_server: asyncio.Server, stopped_at: float) -> None:
    """Serve clients until all have disconnected or the grace period ends; answer each request.

    New connections are accepted until none is open and nothing is in flight; then the listening
    socket is closed, and connections accepted just before are served as well. The grace period runs
    from `stopped_at` (monotonic seconds).
    """
    answer_by = stopped_at + box.settings.grace_s - ANSWER_MARGIN_S
    box.stop(answer_by)
    while (left_s := answer_by - steady_now()) > 0.0:
        await anyio.sleep(min(STOP_POLL_PERIOD_S, left_s))
        if steady_now() - stopped_at <= MIN_CLIENT_DRAIN_S:
            continue
        # A later request on an idle keep-alive connection could exceed the grace period.
        box.clients.close_idle()
        if box.clients.connections or box.busy:
            continue
        if not client_server.is_serving():
            break
        client_server.close()
    else:
        await _end_requests(box, client_server, stopped_at + box.settings.grace_s - STOP_MARGIN_S)
    box.clients.refuse_unread(RETRY_AFTER_S)
    box.clients.close_idle()
    await anyio.sleep(CLOSE_WAIT_S)
    box.log.write(
        "drained",
        took_s=round(steady_now() - stopped_at, 2),
        unanswered=box.clients.busy,
        groups=len(box.inbound_groups),
    )


async def _end_requests(box: EntryBox, client_server: asyncio.Server, until: float) -> None:
    """Answer what is in flight, and leave clients until `until` (monotonic seconds) to read it."""
    box.end_requests()
    await anyio.sleep(LAST_ACCEPT_S)
    client_server.close()
    while box.clients.connections and steady_now() < until:
        box.clients.close_idle()
        await anyio.sleep(LAST_ACCEPT_S)


def run_entry(path: Path, signals_blocked_at: float) -> None:
    """Run a box on the platform in the current process, which has blocked its signals."""
    tune_garbage_collection()
    anyio.run(run_entry_box, path, signals_blocked_at, backend_options={"use_uvloop": True})
