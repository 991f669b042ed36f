"""CASA: bids, promises, the draw, and rescheduling."""
