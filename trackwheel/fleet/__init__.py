"""Fleet membership, leaving targets, and the assignment of targets to the boxes that own them."""
