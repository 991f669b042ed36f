"""HTTP/1.1 over trio and h11: a server, a pooled client, and the network they use."""
