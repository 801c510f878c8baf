"""Whether a peer is the box that it says it is, by the certificate that it showed."""

from typing import TypedDict

from trackwheel.peers.models import PeerIdentity
from trackwheel.settings import split_address

COMMON_NAME = "commonName"
IP_ADDRESS = "IP Address"


class PeerCertificate(TypedDict, total=False):
    """Name the fields of a checked certificate that are looked at."""

    subject: tuple[tuple[tuple[str, str], ...], ...]
    subjectAltName: tuple[tuple[str, str], ...]  # noqa: N815


def is_certified(identity: PeerIdentity, certificate: PeerCertificate | None) -> bool:
    """Return whether a certificate is for a box's id and, where it names IPs, for its address."""
    if not certificate:
        return False
    names = {
        value
        for attributes in certificate.get("subject", ())
        for key, value in attributes
        if key == COMMON_NAME
    }
    addresses = {value for key, value in certificate.get("subjectAltName", ()) if key == IP_ADDRESS}
    if identity.box_id not in names:
        return False
    return not addresses or split_address(identity.address)[0] in addresses
