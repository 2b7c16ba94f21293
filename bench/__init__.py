"""Benchmarks: one command for each measured figure."""
