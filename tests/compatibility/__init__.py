"""What other versions, users, workers and operators rely on, compared with recorded data.

`adapter` is the only module that imports the package: where something in the package gets another
name, only the imports and attribute names there follow. The tests and the files in `data` stay as
they are. The files hold what version 0.8.0 wrote, read and answered.
"""
