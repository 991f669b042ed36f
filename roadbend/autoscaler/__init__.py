"""Renting machines: what there is, what to hire, what to give back."""
