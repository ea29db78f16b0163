"""One connection between nodes: its message stream, its handshake and its lease."""
