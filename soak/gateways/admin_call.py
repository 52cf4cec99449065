"""Make admin calls to a gateway."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

ADMIN_TIMEOUT_S = 1.5

READY_CALL = b"GET /_ready"
DETACH_CALL = b"POST /_servers/detach"
ATTACH_CALL = b"POST /_servers/attach"


async def is_accepted(port: int, call: bytes, body: bytes = b"") -> bool:
    """Make an admin call; return whether the gateway answered it with status 200.

    Args:
        port: The admin port of a gateway's process.
        call: The HTTP method and path.
        body: The body of the request.
    """
    request = b"%b HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (call, len(body), body)
    try:
        async with asyncio.timeout(ADMIN_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request)
            response = await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return _status(response) == HTTPStatus.OK


def _status(response: bytes) -> int | None:
    head, _, _ = response.partition(b"\r\n\r\n")
    return int(head.split()[1]) if head.startswith(b"HTTP/") else None
