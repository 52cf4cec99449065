"""Client connections: accepting, reading commands, writing replies in order, closing."""
