"""A peer is taken for the box that its certificate names, and for no other."""

import pytest

from trackwheel.peers.certificate import PeerCertificate, is_certified
from trackwheel.peers.models import PeerIdentity

BOX = PeerIdentity("box-1", "boot", "10.0.0.1:8200", "here", "here-a")


def certificate(name: str, *addresses: str) -> PeerCertificate:
    return {
        "subject": ((("organizationName", "x"),), (("commonName", name),)),
        "subjectAltName": tuple(("IP Address", address) for address in addresses),
    }


@pytest.mark.parametrize(
    ("shown", "expected"),
    [
        pytest.param(certificate("box-1"), True, id="own-name"),
        pytest.param(certificate("box-1", "10.0.0.1", "10.0.0.9"), True, id="own-address"),
        pytest.param(certificate("box-2", "10.0.0.1"), False, id="another-box"),
        pytest.param(certificate("box-1", "10.0.0.2"), False, id="another-address"),
        pytest.param({}, False, id="says-nothing"),
        pytest.param(None, False, id="none-shown"),
    ],
)
def test_certificate_makes_the_box(shown: PeerCertificate | None, expected: bool) -> None:
    assert is_certified(BOX, shown) is expected
