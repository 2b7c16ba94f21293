"""Bounded waiting and shedding of calls."""
