"""Network addresses written as text."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`; raise ValueError when it is not one."""
    host, separator, port = address.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("an address is written IP:PORT")
    return host.strip("[]"), int(port)
