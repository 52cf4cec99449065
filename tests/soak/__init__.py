"""Tests of the fault soak: its oracle, its plan, and runs without faults."""
