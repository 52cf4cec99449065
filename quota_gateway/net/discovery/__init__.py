"""Discovery: the watch, its JSON lines, endpoint lists of any length, the endpoint registry."""
