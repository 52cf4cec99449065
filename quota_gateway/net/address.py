"""The address of a TCP endpoint."""

Address = tuple[str, int]  # host and port, as asyncio and the socket module have it
