"""The callers' side: admit, plan, scatter, gather, and answer truly."""
