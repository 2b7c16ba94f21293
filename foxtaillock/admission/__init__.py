"""Bounded queueing and load shedding of calls."""
