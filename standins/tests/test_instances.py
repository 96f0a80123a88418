import unittest

from serving import run_with_standin

from goldcrestvane_standins.instances import InstanceApi

ROW = {
    "instance": "i-1",
    "role": "sidecar",
    "address": "127.0.0.1:7000",
    "domain": "zone-a",
    "state": "live",
    "service": "chat",
}


class InstanceApiTests(unittest.TestCase):
    def serve(self, check, *, lag):
        run_with_standin(lambda nursery: InstanceApi(lag=lag).build_router(), check)

    def test_list_contains_the_added_rows(self):
        async def check(transport, address):
            path = "/control/instances/i-1"
            await transport.send("PUT", address, path, value=ROW)
            response = await transport.send("GET", address, "/v1/instances")
            self.assertEqual(response.decode(dict), {"instances": [ROW]})
            await transport.send("DELETE", address, path)
            response = await transport.send("GET", address, "/v1/instances")
            self.assertEqual(response.decode(dict), {"instances": []})

        self.serve(check, lag=0.0)

    def test_list_lags_behind(self):
        async def check(transport, address):
            path = "/control/instances/i-1"
            await transport.send("PUT", address, path, value=ROW)
            response = await transport.send("GET", address, "/v1/instances")
            self.assertEqual(response.decode(dict), {"instances": []})

        self.serve(check, lag=3600.0)

    def test_row_whose_instance_differs_from_the_path_is_rejected(self):
        async def check(transport, address):
            path = "/control/instances/i-2"
            response = await transport.send("PUT", address, path, value=ROW)
            self.assertEqual(response.status, 400)

        self.serve(check, lag=0.0)
