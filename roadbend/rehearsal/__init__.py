"""Rehearsals: failures played on a whole deployment in memory, from a seed, with a verdict."""
