"""Connections to servers: the pool, its hosts and connections, attempts, replies."""
