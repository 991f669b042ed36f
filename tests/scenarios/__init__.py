"""Scenario tests: whole deployments, played in memory on a mock clock."""
