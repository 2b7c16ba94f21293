"""Driver of calls: admission, claim, choice of a runner, retries."""
