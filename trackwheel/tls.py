"""TLS contexts for links between boxes: both sides must show a certificate of the fleet."""

import ssl

from trackwheel.peers.hub import TlsContexts
from trackwheel.settings import TlsSettings


def load_contexts(settings: TlsSettings | None) -> TlsContexts:
    """Return the contexts for both sides, none when the settings have no `[tls]`."""
    if settings is None:
        return TlsContexts(None, None)
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Boxes are known by the fleet's authority, not by the names of their addresses.
    client.check_hostname = False
    contexts = TlsContexts(server, client)
    reload_contexts(contexts, settings)
    return contexts


def reload_contexts(contexts: TlsContexts, settings: TlsSettings) -> None:
    """Read the certificates anew; links that are opened from now on use them."""
    for context in (contexts.server, contexts.client):
        assert context is not None, "TLS is on"
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.load_verify_locations(cafile=str(settings.authority))
        context.load_cert_chain(str(settings.certificate), str(settings.private_key))
        context.verify_mode = ssl.CERT_REQUIRED
