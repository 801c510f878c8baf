"""A box on the users' platform: composition root, start and stop."""
