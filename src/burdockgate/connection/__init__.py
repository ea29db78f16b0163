"""What lives for one connection between nodes."""
