"""Certificates for demonstrations and tests: one fleet authority and one for each box."""

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

_LIFETIME = datetime.timedelta(days=2)
_LOOPBACK = x509.SubjectAlternativeName([x509.IPAddress(ipaddress.IPv4Address("127.0.0.1"))])


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _write_key(path: Path, key: ec.EllipticCurvePrivateKey) -> None:
    pem = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    path.write_bytes(pem)
    path.chmod(0o600)


def _certificate(
    subject: str,
    key: ec.EllipticCurvePrivateKey,
    issuer: str,
    issuer_key: ec.EllipticCurvePrivateKey,
    is_authority: bool,
) -> x509.Certificate:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(_name(subject))
        .issuer_name(_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(minutes=5))
        .not_valid_after(now + _LIFETIME)
        .add_extension(x509.BasicConstraints(ca=is_authority, path_length=None), critical=True)
        .add_extension(_LOOPBACK, critical=False)
        .sign(issuer_key, hashes.SHA256())
    )


class Authority:
    """Issue certificates for boxes."""

    def __init__(self, folder: Path, name: str = "trackwheel-fleet") -> None:
        self._folder = folder
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        self.path = folder / f"{name}.pem"
        certificate = _certificate(name, self._key, name, self._key, is_authority=True)
        self.path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, box_id: str) -> tuple[Path, Path]:
        """Return the paths of a fresh certificate and its key."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = _certificate(box_id, key, self._name, self._key, is_authority=False)
        certificate_path = self._folder / f"{box_id}.pem"
        key_path = self._folder / f"{box_id}.key"
        certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        _write_key(key_path, key)
        return certificate_path, key_path
