"""Tests of the policy engine and its mechanisms."""
