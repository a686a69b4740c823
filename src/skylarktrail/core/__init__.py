"""Decisions without input or output: messages and a time in, decisions out."""
