"""Stubs of discovery and servers."""
