"""How long a worker takes to switch to another controller, according to the protocol."""

from datetime import timedelta

# A worker abandons a heartbeat after this time without a response, and drops a later response.
WORKER_ANSWER_TIMEOUT = timedelta(seconds=4)
# The longest pause before a worker contacts the controller that it was redirected to.
MAX_REDIRECT_PAUSE = timedelta(seconds=0.5)
# The pause before a worker contacts the next controller.
RETRY_PAUSE = timedelta(seconds=1)

# The time that a worker loses by a redirect to a controller that does not answer.
MAX_FAILED_REDIRECT = MAX_REDIRECT_PAUSE + WORKER_ANSWER_TIMEOUT + RETRY_PAUSE
