"""Tests of what the benchmarks share."""
