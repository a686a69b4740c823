"""Decisions of a gateway daemon; state shared by all daemons lives in a store."""
