"""Tests of the fault soak: its oracle, its plan, and plays without faults."""
