"""Stand-ins of the platform, and the tools that use them."""
