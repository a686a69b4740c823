"""At-most-once execution by idempotency keys: keys, their homes and tables."""
