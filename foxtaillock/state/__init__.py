"""Deterministic state of the fleet, folded from the platform's log."""
