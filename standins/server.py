"""Stand-in for a keyed server, which serves a key only under a valid lease."""

from __future__ import annotations

import argparse
import json

import xxhash

from .backend import Backend, add_arguments
from .leases import Leases
from .serving import Request, Response, json_response, not_run, serve

NOT_OWNER_STATUS = 421


class Server:
    """A backend that refuses requests without a lease for the key and fence.

    Controls, in addition to those of `Backend`:
        refuse_grants: Number of next grants to refuse.
        lose_grant_answers: Number of next grants whose response is truncated after
            the grant was applied.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.leases = Leases()
        self.backend = Backend(arguments, self._check)
        self.backend.controls["refuse_grants"] = 0
        self.backend.controls["lose_grant_answers"] = 0
        self.backend.application.route("POST", "/grants")(self._handle_grant)

    def _check(self, request: Request) -> Response | None:
        key = request.header("Skylark-Key")
        fence = request.header("Skylark-Fence")
        if not key or not fence.isdecimal():
            return not_run(NOT_OWNER_STATUS, "no key or fence")
        key_hash = xxhash.xxh3_64_intdigest(key.encode("latin-1"))
        if not self.leases.allows(key_hash, int(fence)):
            return not_run(NOT_OWNER_STATUS, "not the owner")
        return None

    def _handle_grant(self, request: Request) -> Response:
        if self.backend.consume_control("refuse_grants"):
            return json_response({"reason": "refused"}, 503)
        reply = self.leases.grant(json.loads(request.body))
        is_truncated = self.backend.consume_control("lose_grant_answers")
        return json_response(reply)._replace(is_truncated=is_truncated)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    add_arguments(parser)
    arguments = parser.parse_args()
    backend = Server(arguments).backend
    serve(backend.application, [arguments.address], backend.threads())


if __name__ == "__main__":
    main()
