"""Neighbours, heartbeats and liveness of entry VMs."""
