"""Demonstration with stand-ins and entry VMs in one process."""
