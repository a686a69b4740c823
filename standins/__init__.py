"""Stand-ins for the platform's services and for backends, each a small process."""
