"""The load: arrivals, client connections, their statistics."""
