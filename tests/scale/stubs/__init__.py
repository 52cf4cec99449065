"""Tests of the stubs of discovery and servers."""
