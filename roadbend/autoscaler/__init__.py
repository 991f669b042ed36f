"""Autoscaling: which machines there are, which to create, and which to delete."""
