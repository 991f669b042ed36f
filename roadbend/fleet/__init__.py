"""Machines: what workers report, what they are told, who is silent or quarantined."""
