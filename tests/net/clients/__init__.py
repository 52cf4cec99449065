"""Tests of the client side of the sockets."""
