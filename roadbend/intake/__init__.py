"""The HTTP API for users: submitting, querying and cancelling jobs."""
