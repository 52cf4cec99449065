"""Comparison of ways to choose each gateway's subset of servers."""
