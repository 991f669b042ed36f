"""Route HTTP requests to their handlers."""

from collections.abc import Callable
from datetime import datetime

from roadbend import clock
from roadbend.fleet.service import Fleet
from roadbend.http.messages import Request, Response, method_not_allowed
from roadbend.intake.users import JobApi

HEARTBEAT_PATH = "/hello"
HEALTH_PATH = "/up"
JOBS_PATH = "/v1/jobs"


def is_from_worker(request: Request) -> bool:
    """Return whether a worker sent the request; workers' connections have priority over users'."""
    return request.path == HEARTBEAT_PATH


class Router:
    """The paths that a controller serves."""

    def __init__(self, fleet: Fleet, users: JobApi, is_up: Callable[[datetime], bool]) -> None:
        self._fleet = fleet
        self._users = users
        self._is_up = is_up

    async def handle(self, request: Request) -> Response:
        """Answer a request."""
        path = request.path
        if path == HEARTBEAT_PATH:
            if request.method != "POST":
                return method_not_allowed("POST")
            return await self._fleet.handle_heartbeat(request)
        if path == HEALTH_PATH:
            if request.method != "GET":
                return method_not_allowed("GET")
            up = self._is_up(clock.now())
            return Response(200 if up else 503, {"up": up})
        if path == JOBS_PATH or path.startswith(f"{JOBS_PATH}/"):
            return await self._users.handle(request)
        return Response(404, {"error": "no such path"})
