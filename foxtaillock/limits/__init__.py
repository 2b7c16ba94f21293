"""Upper limits of teams, enforced by grants that are recorded in the log."""
