"""The gateways of a soak: their configuration, their processes under the fault shim, and admin calls."""
