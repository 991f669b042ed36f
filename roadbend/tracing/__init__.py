"""Tracing: spans of jobs, attempts and recoveries, by OpenTelemetry.

Imported only when it is switched on.
"""
