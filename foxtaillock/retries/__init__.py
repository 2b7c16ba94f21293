"""Retry budgets, backoff and hedging of calls."""
