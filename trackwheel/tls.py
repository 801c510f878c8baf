"""TLS between boxes, and towards callers and operators; certificates change without a restart."""

import ssl
from collections.abc import Callable
from functools import partial
from typing import Final

from hypercorn.config import Config

from trackwheel.settings import HttpTlsSettings, Settings, TlsSettings
from trackwheel.telemetry.logs import Log

LOG = Log("box")

ERRORS: Final = (OSError, ValueError)
"""What reading a missing, broken or mismatched certificate raises; `ssl.SSLError` is an OSError."""


class ServerContext:
    """Hold a context that is bound to a socket and hands each handshake to the latest one.

    So certificates, and the authorities that are trusted, are replaced as wholes: an authority
    that was taken out of the file is trusted no longer.
    """

    def __init__(self, build: Callable[[], ssl.SSLContext]) -> None:
        self._build = build
        self.bound = self._built()
        self._latest = self.bound
        self.bound.sni_callback = self._hand_over

    def reload(self) -> None:
        """Read the files anew; raise one of `ERRORS` and keep what there was."""
        self._latest = self._built()

    def _built(self) -> ssl.SSLContext:
        context = self._build()
        # A resumed session would skip the look at the peer's certificate.
        context.num_tickets = 0
        return context

    def _hand_over(
        self, connection: ssl.SSLSocket | ssl.SSLObject, name: str | None, context: ssl.SSLContext
    ) -> None:
        if self._latest is not self.bound:
            connection.context = self._latest


class TlsContexts:
    """Hold the contexts for links between boxes; both sides show a certificate of the fleet."""

    def __init__(self, settings: TlsSettings | None) -> None:
        self._settings = settings
        self._server: ServerContext | None = None
        self.client: ssl.SSLContext | None = None
        if settings is not None:
            self._server = ServerContext(partial(_load, settings, ssl.PROTOCOL_TLS_SERVER))
            self.client = _load(settings, ssl.PROTOCOL_TLS_CLIENT)

    @property
    def server(self) -> ssl.SSLContext | None:
        """Return the context for the socket that takes links, None without TLS."""
        return self._server.bound if self._server is not None else None

    def reload(self) -> None:
        """Read the files anew; raise one of `ERRORS` and keep what there was."""
        if self._settings is None or self._server is None:
            return
        client = _load(self._settings, ssl.PROTOCOL_TLS_CLIENT)
        self._server.reload()
        self.client = client


def _load(settings: TlsSettings, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    # Boxes are known by the names in their certificates, not by those of their addresses.
    context.check_hostname = False
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_verify_locations(cafile=str(settings.authority))
    context.load_cert_chain(str(settings.certificate), str(settings.private_key))
    context.verify_mode = ssl.CERT_REQUIRED
    return context


class HttpsConfig(Config):
    """Serve one address with TLS if its settings say so, and read certificates anew on demand."""

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

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the context that hypercorn serves with."""
        if not self.ssl_enabled:
            return None
        self._server = ServerContext(self._build)
        return self._server.bound

    def _build(self) -> ssl.SSLContext:
        context = super().create_ssl_context()
        assert context is not None, "there is a certificate"
        return context

    def reload(self) -> None:
        """Read the files anew; raise one of `ERRORS` and keep what there was."""
        if self._server is not None:
            self._server.reload()


class Certificates:
    """Hold everything of one box that reads certificates."""

    def __init__(self, settings: Settings) -> None:
        self.peers = TlsContexts(settings.tls)
        self.callers = HttpsConfig(settings.callers_tls)
        self.operators = HttpsConfig(settings.operators_tls)

    def reload(self) -> None:
        """Read all certificates anew; what cannot be read stays as it was and is logged."""
        steps: tuple[tuple[str, Callable[[], None]], ...] = (
            ("peers", self.peers.reload),
            ("callers", self.callers.reload),
            ("operators", self.operators.reload),
        )
        for part, reload in steps:
            try:
                reload()
            except ERRORS as error:
                LOG.error(f"The certificates for {part} cannot be read; the old ones stay. {error}")
                continue
            LOG.info(f"The certificates for {part} were read anew.")
