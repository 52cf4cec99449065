"""The servers of a soak, which follow PROTOCOL except while a fault is injected."""
