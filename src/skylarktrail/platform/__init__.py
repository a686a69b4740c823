"""Translates between the users' platform and the types of the gateway."""
