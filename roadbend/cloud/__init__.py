"""The cloud in which machines are created: its client and the messages of its interface."""
