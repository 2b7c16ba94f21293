"""Routing of calls to the runners of a service."""
