"""The address of a TCP endpoint."""

Address = tuple[str, int]  # host and port, in the form that asyncio and the socket module use
