"""Tests of the gateway."""
