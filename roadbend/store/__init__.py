"""The state service: its client, the budget of requests, the view of the records, the read
barrier."""
