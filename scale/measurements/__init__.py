"""The measurements of a scale run, one module for each quantity that cost is measured by."""
