"""Liveness of the entry VMs."""
