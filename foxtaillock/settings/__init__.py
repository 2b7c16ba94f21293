"""Settings by flag and environment variable."""
