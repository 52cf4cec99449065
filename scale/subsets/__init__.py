"""Comparison of strategies that choose each gateway's subset of servers."""
