"""Records of members, and the messages of the membership protocol."""

from enum import IntEnum
from typing import NamedTuple


class Status(IntEnum):
    """The states of a member; of two records with one incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """The record of the box at an address; a higher incarnation always wins.

    `speed` is the speed of its processor, in cores.
    """

    address: str
    box_id: str
    boot: str
    region: str
    failure_domain: str
    incarnation: int
    status: Status
    speed: float = 1.0


class LeavingTarget(NamedTuple):
    """A target that is leaving, in one boot of it, and takes no new work."""

    address: str
    target_boot: str


class Probe(NamedTuple):
    """Ask a box whether it is alive; carries gossip."""

    sequence: int
    sender: Member
    digest: int
    files_revision: int
    updates: list[Member]
    leaving_targets: list[LeavingTarget]


class Ack(NamedTuple):
    """Answer a probe; carries gossip."""

    sequence: int
    sender: Member
    digest: int
    files_revision: int
    updates: list[Member]
    leaving_targets: list[LeavingTarget]


class ProbeRequest(NamedTuple):
    """Ask another box to probe a third one."""

    sequence: int
    subject: str


class ProbeReport(NamedTuple):
    """Report that the third box answered."""

    sequence: int
    subject: str


class SyncRequest(NamedTuple):
    """Send the digests of all buckets of members; the peer answers with the records that differ."""

    sender: Member
    bucket_digests: list[int]
    leaving_targets: list[LeavingTarget]


class SyncReply(NamedTuple):
    """Send the records of some buckets and request those of others."""

    members: list[Member]
    wanted_buckets: list[int]
    leaving_targets: list[LeavingTarget]


FLEET_MESSAGES = (Probe, Ack, ProbeRequest, ProbeReport, SyncRequest, SyncReply)


class Send(NamedTuple):
    """Command: send a message to a box."""

    address: str
    message: Probe | Ack | ProbeRequest | ProbeReport | SyncRequest | SyncReply


class MembersChanged(NamedTuple):
    """Command: notify the other services of a changed view of the fleet."""

    members: tuple[Member, ...]


class PeerRevision(NamedTuple):
    """Command: notify the files service of the revision that a peer has in force."""

    address: str
    revision: int


class LeavingTargetsLearned(NamedTuple):
    """Command: notify the other services of targets that are leaving."""

    leaving_targets: tuple[LeavingTarget, ...]


class Rejoined(NamedTuple):
    """Command: notify the other services that this process was paused (seconds)."""

    paused_s: float


FleetCommand = Send | MembersChanged | PeerRevision | LeavingTargetsLearned | Rejoined
