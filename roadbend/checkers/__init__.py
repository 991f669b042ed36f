"""Checkers of deployments. They observe from outside and use no conclusion of the controllers."""
