"""Which service a request belongs to: the route table in force and the division by weight."""
