"""Check addresses (IPv4 address:port) that other programs wrote."""

import ipaddress

MAX_PORT = 65535


def require(value: str) -> str:
    """Return an address that a socket accepts; raises ValueError if not.

    A host name is not accepted: it would be resolved in the event loop of
    the links, which stops all calls to workers meanwhile.
    """
    host, _, port = value.rpartition(":")
    if (not port.isascii() or not port.isdigit()
            or not 1 <= int(port) <= MAX_PORT):
        raise ValueError(f"not an address: {value!r}")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as exc:
        raise ValueError(f"not an address: {value!r}") from exc
    return value
