"""Limits of groups, counted over all boxes."""
