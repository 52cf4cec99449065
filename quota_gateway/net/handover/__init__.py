"""The handover of state, sockets and connections from one process of a gateway to the next."""
