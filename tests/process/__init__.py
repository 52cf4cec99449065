"""Tests of the whole program as a process."""
