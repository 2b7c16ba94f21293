"""Attempts of jobs and leases on workers."""
