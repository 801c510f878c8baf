"""The edge towards the platform: its key-value service and its box list."""
