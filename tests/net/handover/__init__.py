"""Tests of the handover between processes."""
