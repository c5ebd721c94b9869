"""Service-level burn reports."""
