"""Member records, overlay and failure detection."""
