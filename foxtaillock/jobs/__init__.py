"""Jobs of one pool: their state on the log, and the owner that runs them."""
