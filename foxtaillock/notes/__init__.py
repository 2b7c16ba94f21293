"""Release notes: parser, checks and plan."""
