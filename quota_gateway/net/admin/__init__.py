"""Operators' calls, and the servers that operators detach."""
