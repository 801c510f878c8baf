"""Scatter-gather queries: asks each shard, combines what arrives, decides when to answer."""
