"""The owner of some targets: the only sender to them, by slot, share and deadline."""
