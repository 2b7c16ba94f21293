"""Demonstration on embedded stand-ins."""
