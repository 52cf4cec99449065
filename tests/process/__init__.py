"""Tests of the whole program in processes of its own."""
