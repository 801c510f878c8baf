"""Encoding of typed messages as CBOR arrays, checked against their types when read."""

import zlib
from collections.abc import Iterable, Sequence
from typing import Any

import cbor2
import msgspec

from trackwheel.errors import Problem
from trackwheel.peers.const import (
    MAX_FRAME_BYTES,
    PACK_LEVEL,
    PACK_OVER_BYTES,
    PROTOCOL_VERSION,
)
from trackwheel.peers.errors import FrameError

Message = tuple[Any, ...]
"""Every message is a `NamedTuple` that is registered with the codec."""


class Codec:
    """Map message classes to the names they carry on the wire."""

    def __init__(self, message_types: Iterable[type[Message]]) -> None:
        self._type_by_name = {kind.__name__: kind for kind in message_types}
        self._name_by_type = {kind: name for name, kind in self._type_by_name.items()}

    def encode(self, messages: Sequence[Message]) -> bytes:
        """Return one frame with several messages, packed when that saves bytes."""
        return _pack(self._unpacked(messages))

    def encode_frames(self, messages: Sequence[Message], limit: int) -> list[bytes]:
        """Return frames of at most a number of bytes before they are packed.

        Raise `FrameError` for a message that is larger.
        """
        frame = self._unpacked(messages)
        if len(frame) <= limit:
            return [_pack(frame)]
        if len(messages) == 1:
            name = self._name_by_type[type(messages[0])]
            detail = f"a {name} of {len(frame)} bytes does not fit a frame of {limit}"
            raise FrameError(Problem("too_large", "encode", "", detail))
        half = len(messages) // 2
        first, second = messages[:half], messages[half:]
        return [*self.encode_frames(first, limit), *self.encode_frames(second, limit)]

    def _unpacked(self, messages: Sequence[Message]) -> bytes:
        body = [[self._name_by_type[type(message)], message] for message in messages]
        return cbor2.dumps([PROTOCOL_VERSION, body])

    def decode(self, frame: bytes, peer: str) -> list[Message]:
        """Return the messages of one frame; raise `FrameError` unless every one is sound."""
        try:
            body = _body(frame)
            if isinstance(body, bytes):
                body = _body(_unpack(body))
            return [self._message(name, fields) for name, fields in body]
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

    def _message(self, name: str, fields: object) -> Message:
        return msgspec.convert(fields, self._type_by_name[name])


def _pack(frame: bytes) -> bytes:
    """Return a frame packed, or as it is when that is no larger."""
    if len(frame) <= PACK_OVER_BYTES:
        return frame
    packed = cbor2.dumps([PROTOCOL_VERSION, zlib.compress(frame, PACK_LEVEL)])
    return packed if len(packed) < len(frame) else frame


def _body(frame: bytes) -> Any:
    version, body = cbor2.loads(frame)
    if version != PROTOCOL_VERSION:
        raise ValueError(f"protocol {version!r} instead of {PROTOCOL_VERSION}")
    return body


def _unpack(packed: bytes) -> bytes:
    """Return a packed frame; raise `ValueError` for one that is cut off or too large unpacked."""
    unpacker = zlib.decompressobj()
    frame = unpacker.decompress(packed, MAX_FRAME_BYTES)
    if not unpacker.eof:
        raise ValueError(f"a packed frame is cut off, or over {MAX_FRAME_BYTES} bytes unpacked")
    return frame
