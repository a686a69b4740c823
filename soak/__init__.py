"""A randomized soak of gateways as processes, with faults injected from outside."""
