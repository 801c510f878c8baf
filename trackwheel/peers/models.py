"""Identification of the peers on a link."""

from typing import NamedTuple


class PeerIdentity(NamedTuple):
    """Identify one boot of one box; `address` is where it accepts links from peers."""

    box_id: str
    boot: str
    address: str
    region: str
    failure_domain: str


class Hello(NamedTuple):
    """First message in each direction of a link: protocol version and identity of the sender."""

    protocol: int
    identity: PeerIdentity
