"""Tests of the whole program as a separate process."""
