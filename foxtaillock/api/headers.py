"""Names of the HTTP headers of both interfaces."""

__all__ = [
    "DEADLINE_S",
    "ERROR_CODE",
    "IDEMPOTENCY_KEY",
    "IDEMPOTENT",
    "OUTCOME",
    "REQUEST_ID",
]

DEADLINE_S = "X-Deadline-S"
ERROR_CODE = "X-Error-Code"
IDEMPOTENCY_KEY = "Idempotency-Key"
IDEMPOTENT = "X-Idempotent"
OUTCOME = "X-Outcome"
REQUEST_ID = "X-Request-Id"
