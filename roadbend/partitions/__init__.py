"""Leader election for partitions: leases, terms, failover and failback."""
