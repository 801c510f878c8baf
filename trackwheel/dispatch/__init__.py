"""Dispatch of work to targets: each target has one owner, which schedules all of its requests."""
