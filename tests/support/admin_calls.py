"""Admin calls over HTTP."""

from __future__ import annotations

import asyncio


async def send_admin_call(port: int, request: bytes) -> bytes:
    """Send bytes to an admin server and read until it closes the connection.

    Returns:
        The whole response, starting with its status line.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    response = await reader.read()
    writer.close()
    return response


def encode_post(path: str, body: bytes) -> bytes:
    """Encode a POST request."""
    return b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (path.encode(), len(body), body)
