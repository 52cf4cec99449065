"""Tests of the stand-ins for discovery and servers."""
