"""Who is here, who is leaving, and which box owns which target."""
