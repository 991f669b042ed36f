"""HTTP/1.1 over trio and h11: a server, a client with a connection pool, and TCP."""
