"""Scenario tests: whole deployments, run in memory on a mock clock."""
