"""TLS between boxes and for callers and operators; certificates are reloaded without a restart."""

import socket
import ssl
from collections.abc import Callable
from functools import partial
from typing import Final

from hypercorn.config import Config, Sockets

from trackwheel.http1.const import RECEIVE_BUFFER_BYTES
from trackwheel.settings import HttpTlsSettings, Settings, TlsSettings
from trackwheel.telemetry.logs import Log

LOG = Log("box")

LOAD_ERRORS: Final = (OSError, ValueError)
"""Raised for missing, invalid or mismatched certificates; `ssl.SSLError` is an OSError."""


class ServerContext:
    """SSL context for a listening socket that switches each handshake to the latest context.

    A reload thus replaces the certificate and all trusted authorities: an authority removed from
    the file is no longer trusted.
    """

    def __init__(self, build: Callable[[], ssl.SSLContext]) -> None:
        self._build = build
        self.listening_context = self._build_context()
        self._current = self.listening_context
        self.listening_context.sni_callback = self._switch_context

    def reload(self) -> None:
        """Reload the files; if that raises one of `LOAD_ERRORS`, the previous context is kept."""
        self._current = self._build_context()

    def _build_context(self) -> ssl.SSLContext:
        context = self._build()
        # A resumed session would skip verification of the peer's certificate.
        context.num_tickets = 0
        return context

    def _switch_context(
        self, connection: ssl.SSLSocket | ssl.SSLObject, name: str | None, context: ssl.SSLContext
    ) -> None:
        if self._current is not self.listening_context:
            connection.context = self._current


class TlsContexts:
    """SSL contexts for links between boxes; both ends present a certificate of the fleet."""

    def __init__(self, settings: TlsSettings | None) -> None:
        self._settings = settings
        self._server: ServerContext | None = None
        self.client: ssl.SSLContext | None = None
        if settings is not None:
            self._server = ServerContext(partial(_load, settings, ssl.PROTOCOL_TLS_SERVER))
            self.client = _load(settings, ssl.PROTOCOL_TLS_CLIENT)

    @property
    def server(self) -> ssl.SSLContext | None:
        """Return the context for the socket that accepts links, None without TLS."""
        return self._server.listening_context if self._server is not None else None

    def reload(self) -> None:
        """Reload the files; if that raises one of `LOAD_ERRORS`, the previous context is kept."""
        if self._settings is None or self._server is None:
            return
        client = _load(self._settings, ssl.PROTOCOL_TLS_CLIENT)
        self._server.reload()
        self.client = client


def _load(settings: TlsSettings, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    # Boxes are identified by the common name in their certificates, not by host name.
    context.check_hostname = False
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_verify_locations(cafile=str(settings.authority))
    context.load_cert_chain(str(settings.certificate), str(settings.private_key))
    context.verify_mode = ssl.CERT_REQUIRED
    return context


class HttpsConfig(Config):
    """Hypercorn configuration for one address, with reloadable TLS if configured."""

    def __init__(self, settings: HttpTlsSettings | None) -> None:
        super().__init__()
        self._server: ServerContext | None = None
        if settings is None:
            return
        self.certfile = str(settings.certificate)
        self.keyfile = str(settings.private_key)
        if settings.authority is not None:
            self.ca_certs = str(settings.authority)
            self.verify_mode = ssl.CERT_REQUIRED

    def create_sockets(self) -> Sockets:
        """Return the bound sockets, whose connections have a receive buffer of limited size."""
        sockets = super().create_sockets()
        for sock in (*sockets.secure_sockets, *sockets.insecure_sockets):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return sockets

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the SSL context for hypercorn, None without TLS."""
        if not self.ssl_enabled:
            return None
        self._server = ServerContext(self._build)
        return self._server.listening_context

    def _build(self) -> ssl.SSLContext:
        context = super().create_ssl_context()
        assert context is not None, "no certificate is configured"
        return context

    def reload(self) -> None:
        """Reload the files; if that raises one of `LOAD_ERRORS`, the previous context is kept."""
        if self._server is not None:
            self._server.reload()


class Certificates:
    """The TLS contexts and configurations of one box."""

    def __init__(self, settings: Settings) -> None:
        self.peers = TlsContexts(settings.tls)
        self.callers = HttpsConfig(settings.callers_tls)
        self.operators = HttpsConfig(settings.operators_tls)

    def reload(self) -> None:
        """Reload all certificates; log those that cannot be read and keep the previous ones."""
        steps: tuple[tuple[str, Callable[[], None]], ...] = (
            ("peers", self.peers.reload),
            ("callers", self.callers.reload),
            ("operators", self.operators.reload),
        )
        for user, reload in steps:
            try:
                reload()
            except LOAD_ERRORS as error:
                LOG.error(f"The certificates for {user} cannot be read; the old ones stay. {error}")
                continue
            LOG.info(f"The certificates for {user} were reloaded.")
