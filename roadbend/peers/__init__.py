"""Calls between controllers: binary frames over TCP on the `back` address, and heartbeats."""
