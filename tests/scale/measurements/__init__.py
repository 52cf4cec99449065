"""Tests of the measurements."""
