"""Randomised soak: real entry VMs as processes, faults from outside."""
