"""The state store: its client, the request budget, the record view, and the read barrier."""
