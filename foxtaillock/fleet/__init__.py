"""Pools, moves, maintenance waves and spare capacity."""
