"""Measurements of a scale run, one module for each variable that costs are measured by."""
