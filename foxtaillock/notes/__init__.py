"""Release notes: parsing, checks and undo."""
