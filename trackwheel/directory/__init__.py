"""Routes and targets: read from the store by a few boxes, which pass them on to all others."""
