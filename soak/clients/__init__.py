"""The clients of a soak: each connection follows one of several behaviours, which include misuse."""
