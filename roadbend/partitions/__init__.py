"""Who leads which partition of the machines: leases, terms, failover and failback."""
