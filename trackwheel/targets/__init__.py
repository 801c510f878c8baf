"""The edge towards targets: HTTP as docs/TARGETS.md describes it."""
