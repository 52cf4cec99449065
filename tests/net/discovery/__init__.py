"""Tests of discovery and the endpoint registry."""
