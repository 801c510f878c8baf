"""The edge towards the users' platform: names, formats and calls; nothing here decides."""
