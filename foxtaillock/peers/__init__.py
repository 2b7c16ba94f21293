"""Connections between entry VMs: login, heartbeats and job requests."""
