"""Interfaces to the platform, and the modules that implement them."""
