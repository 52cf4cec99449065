"""Stand-ins for discovery and servers."""
