"""Placement of jobs on workers."""
