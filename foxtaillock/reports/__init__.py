"""Service-level burn and the users' measures."""
