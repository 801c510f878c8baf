"""Requests, answers and the ends of exchanges with targets."""

from enum import StrEnum
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header by its lower-case name, None when it is not there."""
    for key, value in headers:
        if key == name:
            return value
    return None


class Request(NamedTuple):
    """Hold one whole request; header names are lower case; `arrived` is monotonic seconds.

    `first_on_connection` says that it is the first one on its connection.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived: float
    first_on_connection: bool = False


class Response(NamedTuple):
    """Hold one whole answer."""

    status: int
    headers: Headers
    body: bytes


class ExchangeOutcome(StrEnum):
    """Say how an exchange with a target ended.

    `CLOSED` says that the target ended the connection before a byte of an answer came.
    """

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    CLOSED = "closed"
    BROKEN = "broken"


class ExchangeResult(NamedTuple):
    """Tell the end of one exchange; `answer` is there when a whole one came."""

    kind: ExchangeOutcome
    answer: Response | None
    detail: str
