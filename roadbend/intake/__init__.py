"""The users' interface: submitting, querying and cancelling jobs."""
