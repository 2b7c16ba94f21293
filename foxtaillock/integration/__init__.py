"""Integration tests with real processes, stand-ins and fault proxies."""
