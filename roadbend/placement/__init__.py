"""Tasks on machines inside a partition."""
