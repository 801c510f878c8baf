"""Results received for a query: parts of single shards and records merged by peers."""

from heapq import nlargest

from trackwheel.gathering.gather_models import Gathered
from trackwheel.relay.models import Part


class ReceivedParts:
    """Collect the parts of a query's shards and drop duplicates."""

    def __init__(self, shards: tuple[str, ...], top_k: int) -> None:
        self._shards = shards
        self._top_k = top_k
        self._part_by_shard: dict[str, Part] = {}
        self._merged_signature_by_shard: dict[str, bytes] = {}
        self._merged_records: list[list[bytes]] = []
        self._merged_by_peer: set[str] = set()
        self._reported: set[str] = set()

    def __len__(self) -> int:
        return len(self._part_by_shard) + len(self._merged_signature_by_shard)

    def __contains__(self, shard: str) -> bool:
        return shard in self._part_by_shard or shard in self._merged_signature_by_shard

    def expect_merged(self, shards: tuple[str, ...]) -> None:
        """Register shards for which a peer may send merged records."""
        self._merged_by_peer.update(shards)

    def add(self, shard: str, part: Part) -> None:
        """Add the part of one shard unless it is present; merged records can replace it later."""
        if shard not in self:
            self._part_by_shard[shard] = part

    def add_merged(
        self, asked: tuple[str, ...], signature_by_shard: dict[str, bytes], records: list[bytes]
    ) -> list[str]:
        """Add records that a peer merged from `asked` shards; return the shards received.

        Merged records cannot be split by shard. They therefore replace single parts of the same
        shards, and are dropped as a whole if they contain a shard that the peer was not asked for
        or that other merged records contain already.
        """
        shards = signature_by_shard.keys()
        if shards - set(asked) or shards & self._merged_signature_by_shard.keys():
            return []
        if len(shards) == 1:
            (shard,) = shards
            self.add(shard, Part(signature_by_shard[shard], records))
        elif shards:
            self._merged_signature_by_shard |= signature_by_shard
            self._merged_records.append(records)
            for shard in shards:
                self._part_by_shard.pop(shard, None)
        return list(shards)

    def floor(self) -> bytes:
        """Return the smallest record that can still be in the answer; empty when any can.

        Parts that merged records may replace are ignored, since the merged records can differ.
        """
        lists = [*self._merged_records]
        lists += [
            part.records
            for shard, part in self._part_by_shard.items()
            if shard not in self._merged_by_peer
        ]
        greatest = nlargest(self._top_k, (record for records in lists for record in records))
        return greatest[-1] if len(greatest) == self._top_k and greatest else b""

    def gathered(self) -> Gathered:
        """Return everything received so far."""
        signature_by_shard = dict(self._merged_signature_by_shard)
        signature_by_shard |= {name: part.signature for name, part in self._part_by_shard.items()}
        record_lists = [*self._merged_records]
        record_lists += [part.records for part in self._part_by_shard.values()]
        return Gathered(signature_by_shard, record_lists, len(self._shards) - len(self), "")

    def pop_unreported(self) -> tuple[dict[str, bytes], list[list[bytes]]]:
        """Return signatures and records of the parts added since the last call."""
        new = {
            name: part for name, part in self._part_by_shard.items() if name not in self._reported
        }
        self._reported |= new.keys()
        signature_by_shard = {name: part.signature for name, part in new.items()}
        return signature_by_shard, [part.records for part in new.values()]
