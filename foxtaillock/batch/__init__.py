"""Jobs of several steps: their records, their owner and its decisions."""
