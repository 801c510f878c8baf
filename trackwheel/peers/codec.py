"""Encoding of typed messages as CBOR arrays, validated against their types on decoding."""

import zlib
from collections.abc import Iterable, Sequence
from typing import Any

import cbor2
import msgspec

from trackwheel.errors import Problem
from trackwheel.peers.const import (
    COMPRESS_OVER_BYTES,
    COMPRESSION_LEVEL,
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
)
from trackwheel.peers.errors import FrameError

Message = tuple[Any, ...]
"""Every message is a `NamedTuple` whose class is registered with the codec."""


class Codec:
    """Encode and decode registered message classes; a message is sent under its class name."""

    def __init__(self, message_types: Iterable[type[Message]]) -> None:
        self._type_by_name = {kind.__name__: kind for kind in message_types}
        self._name_by_type = {kind: name for name, kind in self._type_by_name.items()}

    def encode(self, messages: Sequence[Message]) -> bytes:
        """Return one frame with all messages, compressed if that makes it smaller."""
        return _compress(self._encode_uncompressed(messages))

    def encode_frames(self, messages: Sequence[Message], limit: int) -> list[bytes]:
        """Return frames of at most `limit` bytes each before compression.

        Raise `FrameError` for a single message that exceeds the limit.
        """
        frame = self._encode_uncompressed(messages)
        if len(frame) <= limit:
            return [_compress(frame)]
        if len(messages) == 1:
            name = self._name_by_type[type(messages[0])]
            detail = f"{name} of {len(frame)} bytes exceeds the frame limit of {limit} bytes"
            raise FrameError(Problem("too_large", "encode", "", detail))
        half = len(messages) // 2
        first, second = messages[:half], messages[half:]
        return [*self.encode_frames(first, limit), *self.encode_frames(second, limit)]

    def _encode_uncompressed(self, messages: Sequence[Message]) -> bytes:
        body = [[self._name_by_type[type(message)], message] for message in messages]
        return cbor2.dumps([PROTOCOL_VERSION, body])

    def decode(self, frame: bytes, peer: str) -> list[Message]:
        """Return the messages of one frame; raise `FrameError` if any of them is invalid."""
        try:
            body = _decode_body(frame)
            if isinstance(body, bytes):
                body = _decode_body(_decompress(body))
            return [self._convert(name, fields) for name, fields in body]
        except (
            ValueError,
            TypeError,
            KeyError,
            cbor2.CBORDecodeError,
            msgspec.ValidationError,
            RecursionError,
            OverflowError,
            MemoryError,
            zlib.error,
        ) as error:
            problem = Problem("bad_frame", "decode", peer, str(error)[:200])
            raise FrameError(problem) from error

    def _convert(self, name: str, fields: object) -> Message:
        return msgspec.convert(fields, self._type_by_name[name])


def _compress(frame: bytes) -> bytes:
    """Return the frame compressed, or unchanged if compression does not make it smaller."""
    if len(frame) <= COMPRESS_OVER_BYTES:
        return frame
    compressed = cbor2.dumps([PROTOCOL_VERSION, zlib.compress(frame, COMPRESSION_LEVEL)])
    return compressed if len(compressed) < len(frame) else frame


def _decode_body(frame: bytes) -> Any:
    version, body = cbor2.loads(frame)
    if version != PROTOCOL_VERSION:
        raise ValueError(f"protocol version {version!r}, expected {PROTOCOL_VERSION}")
    return body


def _decompress(compressed: bytes) -> bytes:
    """Return a frame decompressed; raise `ValueError` if it is truncated or too large."""
    decompressor = zlib.decompressobj()
    frame = decompressor.decompress(compressed, MAX_FRAME_BYTES)
    if not decompressor.eof:
        raise ValueError(f"compressed frame truncated, or larger than {MAX_FRAME_BYTES} bytes")
    return frame
