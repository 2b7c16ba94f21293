"""Replicated state of the fleet, a deterministic fold of the platform's log."""
