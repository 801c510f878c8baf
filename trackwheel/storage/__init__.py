"""The edge towards the key-value service and the box list of the product's own interface."""
