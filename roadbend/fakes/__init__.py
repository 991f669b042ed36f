"""Fakes of the systems around roadbend: state store, cloud, workers, and a network in memory.

They are written from the published protocol only. Tests use them on memory streams;
`python3 -m roadbend.fakes` runs them on loopback, to try roadbend out.
"""
