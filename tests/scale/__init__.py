"""Tests of the scale run."""
