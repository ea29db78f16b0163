"""Network addresses as text, ``host:port``."""

from __future__ import annotations

import ipaddress
import re

MAX_PORT = 65_535
_PORT = re.compile(r"[0-9]{1,5}")


def split(text: str) -> tuple[str, int]:
    """Return the host of an address, without brackets, and the port.

    :param text: ``host:port``, with an IPv6 address in brackets.
    :raises ValueError: when the text does not have this form. Whether the host is an
        IP address is not checked.
    """
    host, colon, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    if not colon or (":" in host and not bracketed):
        raise ValueError("not host:port")
    if not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise ValueError("port out of range")
    return host[1:-1] if bracketed else host, int(port)


def is_dialable(text: str) -> bool:
    """Return whether a connection to an address can be attempted.

    :param text: an address from another process. A host name is not accepted, because
        looking it up would need a name service and could take seconds.
    """
    try:
        host, port = split(text)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port > 0
