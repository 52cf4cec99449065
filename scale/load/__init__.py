"""The load generator: arrivals, client connections and statistics."""
