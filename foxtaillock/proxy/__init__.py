"""Fault-injecting TCP proxy for tests."""
