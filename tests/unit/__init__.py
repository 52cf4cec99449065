"""Tests of the policy: no sockets, a clock that the test sets."""
