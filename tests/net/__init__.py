"""Tests of the socket code, in one process on loopback."""
