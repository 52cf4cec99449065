"""The scale run: what a fleet costs, measured beside the gateway."""
