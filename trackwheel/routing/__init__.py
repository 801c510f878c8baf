"""Routing of requests to services: the route table and the weighted split."""
