"""A request's way through a box: service, single requests, sending to targets."""
