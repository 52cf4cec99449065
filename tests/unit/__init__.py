"""Tests of single modules, of the library and of the documentation."""
