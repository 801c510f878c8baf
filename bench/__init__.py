"""Measurements: each one compares with a baseline in the same run."""
