"""State machines and data of a single job."""
