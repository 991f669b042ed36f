"""How long a worker takes to turn from one controller to another, by the protocol."""

from datetime import timedelta

# A worker gives up a heartbeat that is not answered for this long, and drops a later answer.
WORKER_ANSWER_TIMEOUT = timedelta(seconds=4)
# The longest pause before a worker turns to the controller that it was redirected to.
MAX_REDIRECT_PAUSE = timedelta(seconds=0.5)
# The pause before a worker turns to the next controller.
RETRY_PAUSE = timedelta(seconds=1)

# For how long a worker is away that is redirected to a controller which does not answer.
MAX_FAILED_REDIRECT = MAX_REDIRECT_PAUSE + WORKER_ANSWER_TIMEOUT + RETRY_PAUSE
