"""Tests of the types that go in and out of the policy engine."""
