"""Machines: worker heartbeats, orders to workers, and the detection of failed machines."""
