"""Jobs of one pool: their state in the log, and the owner that runs them."""
