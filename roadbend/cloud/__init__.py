"""The cloud that machines are created in: its client and the messages of its interface."""
