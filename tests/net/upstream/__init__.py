"""Tests of the connections to servers."""
