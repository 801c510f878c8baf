"""Matching of a peer's identity against its certificate."""

import pytest

from trackwheel.peers.certificate import PeerCertificate, certificate_matches
from trackwheel.peers.models import PeerIdentity

BOX = PeerIdentity("box-1", "boot", "10.0.0.1:8200", "here", "here-a")


def certificate(name: str, *addresses: str) -> PeerCertificate:
    return {
        "subject": ((("organizationName", "x"),), (("commonName", name),)),
        "subjectAltName": tuple(("IP Address", address) for address in addresses),
    }


@pytest.mark.parametrize(
    ("presented", "expected"),
    [
        pytest.param(certificate("box-1"), True, id="matching-name"),
        pytest.param(certificate("box-1", "10.0.0.1", "10.0.0.9"), True, id="matching-address"),
        pytest.param(certificate("box-2", "10.0.0.1"), False, id="other-name"),
        pytest.param(certificate("box-1", "10.0.0.2"), False, id="other-address"),
        pytest.param({}, False, id="empty"),
        pytest.param(None, False, id="no-certificate"),
    ],
)
def test_certificate_must_match_identity(presented: PeerCertificate | None, expected: bool) -> None:
    assert certificate_matches(BOX, presented) is expected
