"""What the box tells about itself: logs, metrics, explanations, burn."""
