"""Randomised soak test of entry VM processes under injected faults."""
