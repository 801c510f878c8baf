"""What boxes know of one another, and the messages by which they learn it."""

from enum import IntEnum
from typing import NamedTuple


class Status(IntEnum):
    """Order the states of a member; of two records with one incarnation the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """Record one box at one address; a higher incarnation always wins.

    `speed` is how fast its processor is, in cores.
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
    """Say that a target, in one boot of it, is leaving and takes no new work."""

    address: str
    target_boot: str


class Probe(NamedTuple):
    """Ask a box whether it is alive, and carry rumours to it."""

    sequence: int
    sender: Member
    digest: int
    files_revision: int
    rumours: list[Member]
    notes: list[LeavingTarget]


class Ack(NamedTuple):
    """Answer a probe."""

    sequence: int
    sender: Member
    digest: int
    files_revision: int
    rumours: list[Member]
    notes: list[LeavingTarget]


class ProbeRequest(NamedTuple):
    """Ask another box to probe a third one."""

    sequence: int
    subject: str


class ProbeReport(NamedTuple):
    """Say that the third box answered."""

    sequence: int
    subject: str


class SyncRequest(NamedTuple):
    """Offer the digests of all buckets of members; the peer answers with what differs."""

    sender: Member
    bucket_digests: list[int]
    notes: list[LeavingTarget]


class SyncReply(NamedTuple):
    """Give the records of some buckets and ask for the peer's records of others."""

    members: list[Member]
    wanted_buckets: list[int]
    notes: list[LeavingTarget]


FLEET_MESSAGES = (Probe, Ack, ProbeRequest, ProbeReport, SyncRequest, SyncReply)


class Send(NamedTuple):
    """Command: send a message to a box."""

    address: str
    message: Probe | Ack | ProbeRequest | ProbeReport | SyncRequest | SyncReply


class MembersChanged(NamedTuple):
    """Command: tell the other duties that the view of the fleet is another one."""

    members: tuple[Member, ...]


class PeerRevision(NamedTuple):
    """Command: tell the files duty which revision a peer has in force."""

    address: str
    revision: int


class LeavingTargetsLearned(NamedTuple):
    """Command: tell the other duties of targets that are leaving."""

    notes: tuple[LeavingTarget, ...]


class Rejoined(NamedTuple):
    """Command: tell the other duties that this box was away (seconds)."""

    paused_s: float


FleetCommand = Send | MembersChanged | PeerRevision | LeavingTargetsLearned | Rejoined
