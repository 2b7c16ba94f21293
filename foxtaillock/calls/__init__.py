"""Execution of calls: admission, claims, runner selection and retries."""
