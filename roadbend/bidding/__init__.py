"""CASA: bids, promises, the draw, offering again."""
