"""Tests of the admin calls."""
