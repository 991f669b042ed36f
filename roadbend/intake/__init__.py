"""The users' interface: submit, query, withdraw, /up, and the limit on requests in progress."""
