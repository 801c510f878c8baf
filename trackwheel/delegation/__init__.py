"""Delegation of groups of shards to boxes in the failure domains of their targets."""
