"""Tests of client connections."""
