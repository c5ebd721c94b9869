"""Benchmarks and simulations; each module with a command line takes a seed."""
