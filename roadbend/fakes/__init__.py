"""Stand-ins for what roadbend talks to: state service, cloud, workers, and a network in memory.

Written from the published protocol only. The tests use them on memory streams; `python3 -m
roadbend.standins` runs them on loopback for trying the product out."""
