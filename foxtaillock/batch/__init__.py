"""Scheduling of multi-step jobs: journal records, owner, placement, fleet."""
