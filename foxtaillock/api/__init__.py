"""HTTP interfaces: callers, operators, health and metrics."""
