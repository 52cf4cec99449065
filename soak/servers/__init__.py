"""The servers of a soak: they keep the rules of PROTOCOL, except while a fault is on."""
