"""An object API, an instance list and processes that are served for one test."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

import trio

from goldcrestvane_client.main import execute
from goldcrestvane_common.control_exchange import ControlRoutes
from goldcrestvane_common.control_replica import ControlReplica
from goldcrestvane_common.errors import NotFound
from goldcrestvane_common.messages import (
    Accepted,
    Instance,
    InstanceState,
    ProcessStatus,
    Role,
    TargetLoad,
)
from goldcrestvane_common.paths import (
    DRAIN_PATH,
    PROGRAM_SHOW_PATH,
    STATUS_PATH,
)
from goldcrestvane_common.programs import (
    ProgramShowRequest,
    ProgramState,
    ProgramView,
)
from goldcrestvane_common.routing import (
    JsonResponse,
    Router,
)
from goldcrestvane_common.server import (
    Application,
    serve_http,
)
from goldcrestvane_common.transport import Transport
from goldcrestvane_standins.instances import InstanceApi
from goldcrestvane_standins.objectapi import ObjectApi
from goldcrestvane_standins.objectstore import ObjectStore
from goldcrestvane_standins.programs import serve_router

CLOSED_ADDRESS = "127.0.0.1:1"


class Result:
    def __init__(self, code, stdout, stderr):
        self.code = code
        self.stdout = stdout
        self.stderr = stderr

    @property
    def json(self):
        return json.loads(self.stdout)


class FakeProcess:
    """Responds like an entry or sidecar, and stores the objects pushed to it."""

    def __init__(self, instance, role, settings_versions):
        self.instance = Instance(instance=instance, role=role, address="", domain="d1")
        self.settings_versions = settings_versions
        self.replica = ControlReplica()
        self.router = Router()
        ControlRoutes(
            self.replica, lambda found: len(self.replica.merge(found)), lambda: True
        ).add_routes(self.router)
        self.router.add("GET", STATUS_PATH, self.serve_status)
        self.router.add("POST", DRAIN_PATH, self.serve_drain)
        self.router.add("POST", PROGRAM_SHOW_PATH, self.serve_program)
        self.state = InstanceState.LIVE

    async def serve_status(self, request):
        load = TargetLoad(running=2, queued=1, slots=8)
        is_sidecar = self.instance.role is Role.SIDECAR
        return JsonResponse(
            value=ProcessStatus(
                instance=self.instance,
                shards=[0, 2],
                load=load if is_sidecar else None,
                settings_versions=self.settings_versions,
            )
        )

    async def serve_drain(self, request):
        self.state = InstanceState.LEAVING
        return JsonResponse(value=Accepted("leaving"))

    async def serve_program(self, request):
        query = request.decode(ProgramShowRequest)
        if query.program != "known":
            raise NotFound(f"Program {query.program} does not exist.")
        return JsonResponse(
            value=ProgramView(
                team=query.team,
                program=query.program,
                kind="fitting",
                state=ProgramState.OPEN,
                owner="s1",
                shard=3,
                epoch=4,
                next_sequence=2,
            )
        )


class System:
    def __init__(self, transport, platform, instances, folder):
        self.transport = transport
        self.platform = platform
        self.instances = instances
        self.folder = Path(folder)

    async def call(self, *words, environment=None):
        stdout, stderr = io.StringIO(), io.StringIO()
        arguments = [
            "goldcrestvane",
            f"--platform={self.platform}",
            f"--instances={self.instances}",
            *words,
        ]
        if not any(word.startswith("--operator") for word in words):
            arguments.append("--operator=ada")
        code = await execute(arguments, environment or {}, stdout=stdout, stderr=stderr)
        return Result(code, stdout.getvalue(), stderr.getvalue())

    async def control(self, method, path, value=None):
        response = await self.transport.send(method, self.platform, path, value=value)
        return response.decode(object)

    async def put_instance(self, instance):
        path = f"/control/instances/{instance.instance}"
        response = await self.transport.send(
            "PUT", self.instances, path, value=instance
        )
        response.decode(object)

    def write_file(self, name, value):
        path = self.folder / name
        path.write_text(value if isinstance(value, str) else json.dumps(value))
        return str(path)

    async def start_process(self, nursery, instance, role, settings_versions=None):
        process = FakeProcess(instance, role, settings_versions or {})
        address = await nursery.start(
            serve_http, Application(process.router), "127.0.0.1:0"
        )
        process.instance = Instance(
            instance=instance, role=role, address=address, domain="d1"
        )
        await self.put_instance(process.instance)
        return process


def build_objects(nursery):
    return ObjectApi(ObjectStore(watch_window=1000)).build_router()


def build_instances(nursery):
    return InstanceApi(lag=0.0).build_router()


def run_system(check):
    """Runs `check(system, nursery)` with stand-ins of the platform."""

    async def main():
        with contextlib.ExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            async with Transport() as transport, trio.open_nursery() as nursery:
                platform = await nursery.start(
                    serve_router, build_objects, "127.0.0.1:0"
                )
                instances = await nursery.start(
                    serve_router, build_instances, "127.0.0.1:0"
                )
                system = System(transport, platform, instances, folder)
                await check(system, nursery)
                nursery.cancel_scope.cancel()

    trio.run(main)
