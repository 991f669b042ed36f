"""Autoscaling: the cloud's machines and machine types, scale-out, scale-in and the warm pool."""
