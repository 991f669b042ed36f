"""Checks the interfaces for other versions, users, workers and operators against recorded data.

`adapter` is the only module that imports the package: when something in the package is renamed,
only the imports and attribute names there change. The tests and the files in `data` stay as they
are. The files hold what version 0.8.0 wrote, read and answered.
"""
