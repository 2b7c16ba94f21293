"""Stand-ins and harness of the review's scripts, cases 6 to 10."""
