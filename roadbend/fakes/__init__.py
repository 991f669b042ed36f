"""Fakes of what roadbend talks to: state service, cloud, workers, and a network in memory.

Written from the published protocol only. The tests use them on memory streams; `python3 -m
roadbend.fakes` runs them on loopback for trying the product out.
"""
