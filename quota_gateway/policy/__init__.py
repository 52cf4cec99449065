"""All decisions of the gateway, made without sockets, other I/O or a clock of its own."""
