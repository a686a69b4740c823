"""Stand-ins for the gateway's platform: the store and the instances."""
