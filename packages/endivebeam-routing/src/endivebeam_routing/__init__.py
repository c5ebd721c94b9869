"""Target table, health and target choice."""
