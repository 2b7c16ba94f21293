"""Choice of a runner for a call."""
