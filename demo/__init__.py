"""Runs a site of separate processes on loopback and injects failures into it."""
