"""The groups that share the targets: their keys, homes, priority and limits."""
