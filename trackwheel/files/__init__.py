"""Operators' files: checked whole, put in force by one write, carried forward only."""
