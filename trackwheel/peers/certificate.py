"""Check of a peer's identity against its TLS certificate."""

from typing import TypedDict

from trackwheel.addresses import split_address
from trackwheel.peers.models import PeerIdentity

COMMON_NAME = "commonName"
IP_ADDRESS = "IP Address"


class PeerCertificate(TypedDict, total=False):
    """The fields used of a verified certificate, as returned by `ssl.SSLSocket.getpeercert`."""

    subject: tuple[tuple[tuple[str, str], ...], ...]
    subjectAltName: tuple[tuple[str, str], ...]  # noqa: N815


def certificate_matches(identity: PeerIdentity, certificate: PeerCertificate | None) -> bool:
    """Return whether the common name is the box's id and any listed IPs include its address."""
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
