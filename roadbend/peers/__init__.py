"""Calls and heartbeats between controllers: binary frames over TCP on the `back` address."""
