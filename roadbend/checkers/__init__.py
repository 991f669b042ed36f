"""Checkers: they judge deployments from outside, and use nothing that the controllers conclude."""
