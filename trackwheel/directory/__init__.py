"""What is in force and which targets there are: read by few boxes, passed on to all."""
