"""A randomized soak: real boxes, seeded faults from outside, and checks of what others saw."""
