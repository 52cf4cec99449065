"""Tests of the input and output types of the policy engine."""
