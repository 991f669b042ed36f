"""Rehearsals: fault scenarios, drawn from a seed, run on a deployment in memory and judged."""
