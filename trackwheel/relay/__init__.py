"""One request's way to the targets: choice, retries, hedges, gathering, hand-over between boxes."""
