"""Recovery: stored records and reporting workers compared and settled after a restart."""
