"""Raises the fencing token of a machine on behalf of its unreachable leader.

From then on the machine refuses all commands under the lower token. The leader adopts the raised
token once a heartbeat shows it (`Machine.follow_token`), so no lease is lost.
"""

from datetime import timedelta

from roadbend.fleet import messages
from roadbend.fleet.messages import WorkerHeartbeat
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.net import Net
from roadbend.http.server import MalformedError
from roadbend.store import records

# How many incarnations of a machine a token can distinguish.
MAX_INCARNATIONS = records.INCARNATION_MASK - 1
# Up to this incarnation a machine is sent direct starts, each of which may need a raise; the rest
# is for its restarts.
MAX_DIRECT_INCARNATION = MAX_INCARNATIONS - 1024
RAISE_TIMEOUT = timedelta(milliseconds=500)
EXECUTED = 200


def next_token(token: int, term: int) -> int | None:
    """Return the next token of a term; None if `token` is of another term, or the term's last."""
    if token >> records.INCARNATION_BITS != term:
        return None
    if token & records.INCARNATION_MASK >= MAX_INCARNATIONS:
        return None
    return token + 1


async def raise_token(net: Net, shown: WorkerHeartbeat, address: str, term: int) -> bool:
    """Raise the token of a machine that was just inspected; return whether it confirms it."""
    token = next_token(shown.token, term)
    if token is None:
        return False
    client = Client(net, address, max_connections=1, max_idle=0)
    command = messages.direct_command(token, shown.position.epoch)
    try:
        status, body = await client.request("POST", "/commands", command, within=RAISE_TIMEOUT)
        answer = messages.parse_heartbeat(body) if status == EXECUTED else None
    except (NoAnswerError, MalformedError):
        return False
    return answer is not None and answer.machine == shown.machine and answer.token >= token
