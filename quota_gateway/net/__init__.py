"""The gateway's sockets: they pass events to the policy engine and carry out its actions."""
