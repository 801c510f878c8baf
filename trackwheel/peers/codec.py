"""Encoding of typed messages as CBOR arrays, checked against their types when read."""

from collections.abc import Iterable, Sequence
from typing import Any

import cbor2
import msgspec

from trackwheel.errors import Problem
from trackwheel.peers.const import PROTOCOL_VERSION
from trackwheel.peers.errors import FrameError

Message = tuple[Any, ...]
"""Every message is a `NamedTuple` that is registered with the codec."""


class Codec:
    """Map message classes to the names they carry on the wire."""

    def __init__(self, message_types: Iterable[type[Message]]) -> None:
        self._type_by_name = {kind.__name__: kind for kind in message_types}
        self._name_by_type = {kind: name for name, kind in self._type_by_name.items()}

    def encode(self, messages: Sequence[Message]) -> bytes:
        """Return one frame with several messages."""
        body = [[self._name_by_type[type(message)], message] for message in messages]
        return cbor2.dumps([PROTOCOL_VERSION, body])

    def encode_frames(self, messages: Sequence[Message], limit: int) -> list[bytes]:
        """Return frames of at most a number of bytes; raise `FrameError` for a larger message."""
        frame = self.encode(messages)
        if len(frame) <= limit:
            return [frame]
        if len(messages) == 1:
            name = self._name_by_type[type(messages[0])]
            detail = f"a {name} of {len(frame)} bytes does not fit a frame of {limit}"
            raise FrameError(Problem("too_large", "encode", "", detail))
        half = len(messages) // 2
        first, second = messages[:half], messages[half:]
        return [*self.encode_frames(first, limit), *self.encode_frames(second, limit)]

    def decode(self, frame: bytes, peer: str) -> list[Message]:
        """Return the messages of one frame; raise `FrameError` unless every one is sound."""
        try:
            loaded = cbor2.loads(frame)
            version, body = loaded
            if version != PROTOCOL_VERSION:
                raise ValueError(f"protocol {version!r} instead of {PROTOCOL_VERSION}")
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
        ) as error:
            problem = Problem("bad_frame", "decode", peer, str(error)[:200])
            raise FrameError(problem) from error

    def _message(self, name: str, fields: object) -> Message:
        return msgspec.convert(fields, self._type_by_name[name])
