"""Who is at the other end of a link."""

from typing import NamedTuple


class PeerIdentity(NamedTuple):
    """Name one boot of one box; `address` is where it takes links from peers."""

    box_id: str
    boot: str
    address: str
    region: str
    failure_domain: str


class Hello(NamedTuple):
    """Open a link: say who one is and which protocol one speaks."""

    protocol: int
    identity: PeerIdentity
