"""Tracing: OpenTelemetry spans of jobs, attempts and recoveries.

Imported only if tracing is enabled.
"""
