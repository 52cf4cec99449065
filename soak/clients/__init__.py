"""The clients of a soak: each connection follows one of several behaviours, good or bad."""
