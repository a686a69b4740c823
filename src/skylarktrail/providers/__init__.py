"""Clients of the platform and of backends; the settings choose adapters by name."""
