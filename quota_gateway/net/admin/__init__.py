"""Admin calls, and the servers that operators detach with them."""
