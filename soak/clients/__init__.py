"""The clients of a soak: each connection behaves in one of some ways, well or badly."""
