"""The gateways under test: real processes and hollow gateways."""
