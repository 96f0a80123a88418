import unittest

from serving import run_against

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
        run_against(lambda nursery: InstanceApi(lag=lag).build_router(), check)

    def test_list_holds_the_rows_that_were_put(self):
        async def check(transport, peer):
            path = "/control/instances/i-1"
            await transport.send("PUT", peer, path, value=ROW)
            reply = await transport.send("GET", peer, "/v1/instances")
            self.assertEqual(reply.decode(dict), {"instances": [ROW]})
            await transport.send("DELETE", peer, path)
            reply = await transport.send("GET", peer, "/v1/instances")
            self.assertEqual(reply.decode(dict), {"instances": []})

        self.serve(check, lag=0.0)

    def test_list_lags(self):
        async def check(transport, peer):
            path = "/control/instances/i-1"
            await transport.send("PUT", peer, path, value=ROW)
            reply = await transport.send("GET", peer, "/v1/instances")
            self.assertEqual(reply.decode(dict), {"instances": []})

        self.serve(check, lag=3600.0)

    def test_row_under_another_name_is_refused(self):
        async def check(transport, peer):
            path = "/control/instances/i-2"
            reply = await transport.send("PUT", peer, path, value=ROW)
            self.assertEqual(reply.status, 400)

        self.serve(check, lag=0.0)
