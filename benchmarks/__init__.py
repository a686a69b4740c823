"""Benchmarks. Each compares a measurement with a baseline of the same run."""
