"""Every decision of the gateway: no sockets, no clock of its own, no I/O."""
