"""Small stand-ins for what surrounds trackwheel: targets, key-value service and box list."""
