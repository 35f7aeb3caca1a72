"""Check addresses (host:port) that other programs wrote."""

MAX_PORT = 65535


def require(value: str) -> str:
    """Return an address that a socket accepts; raises ValueError if not."""
    host, _, port = value.rpartition(":")
    if (not host or not host.isascii() or not host.isprintable()
            or " " in host or not port.isascii() or not port.isdigit()
            or not 1 <= int(port) <= MAX_PORT):
        raise ValueError(f"not an address: {value!r}")
    return value
