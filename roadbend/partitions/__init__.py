"""Agree on each partition's leader: leases, terms, failover and failback."""
