"""The project's instance stand-in, which names the request in all of its answers.

The pages say that instances echo `Request-Id` in their responses; the stand-in leaves
it out of those that it did not run.
"""

from __future__ import annotations

from standins.platform import instance
from standins.serving import Request, Response

ID_FIELD = "Request-Id"


class EchoingInstance(instance.Instance):
    """An instance that echoes the identifier of each request."""

    def _handle_request(self, request: Request) -> Response:
        response = super()._handle_request(request)
        name = request.header(ID_FIELD)
        if not name or any(key == ID_FIELD for key, _ in response.headers):
            return response
        return response._replace(headers=(*response.headers, (ID_FIELD, name)))


if __name__ == "__main__":
    instance.Instance = EchoingInstance
    instance.main()
