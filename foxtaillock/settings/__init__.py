"""Settings from flags and environment variables, and log output."""
