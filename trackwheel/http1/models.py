"""Requests, responses and the results of exchanges with targets."""

from enum import StrEnum
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header by its lower-case name, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


class Request(NamedTuple):
    """A complete request; header names are lower case, `arrived` is in seconds of `steady_now`."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived: float
    first_on_connection: bool = False


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: Headers
    body: bytes


class ExchangeOutcome(StrEnum):
    """How an exchange with a target ended.

    `CLOSED`: the target closed the connection before the first byte of an answer. `OVERSIZED`: the
    target sent more bytes than an answer may have.
    """

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    CLOSED = "closed"
    BROKEN = "broken"
    OVERSIZED = "oversized"


class ExchangeResult(NamedTuple):
    """Result of one exchange; `answer` is set if it was received completely."""

    outcome: ExchangeOutcome
    answer: Response | None
    detail: str
