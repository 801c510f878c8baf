"""Requests that end the targets which run them: found by all boxes, and kept from targets."""
