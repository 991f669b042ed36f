"""Placement of tasks on the machines of one partition."""
