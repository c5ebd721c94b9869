"""Experiments, each one command with a seed."""
