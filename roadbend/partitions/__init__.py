"""Who owns which part of the machines: leases, terms, takeover, handing over."""
