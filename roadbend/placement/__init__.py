"""Tasks on machines inside a part."""
