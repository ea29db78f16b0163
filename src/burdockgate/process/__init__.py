"""State machines, daemons and I/O that live as long as the process."""
