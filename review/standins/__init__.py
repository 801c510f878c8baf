"""Stand-ins for the review's scripts: store, backends, clients and the platform's entry."""
