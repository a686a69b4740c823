"""Decisions of a gateway daemon, which keeps all shared state in a store."""
