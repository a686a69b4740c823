"""Adapters to the platform, one module each, chosen by name."""
