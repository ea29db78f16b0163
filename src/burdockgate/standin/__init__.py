"""Stand-ins for the platform's services, and the load tools and simulations on them."""
