"""A box on the users' platform: its composition root, its life from start to stop."""
