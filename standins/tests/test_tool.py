import unittest

import trio
from serving import run_with_standin

from goldcrestvane_common.transport import ExchangeBroken
from goldcrestvane_standins.tool import ToolService


class ToolTests(unittest.TestCase):
    def serve(self, check):
        async def check_tool(transport, address):
            async def send(method, path, value=None):
                headers = {"goldcrestvane-call": "c-1", "goldcrestvane-caller": "s-1"}
                return await transport.send(
                    method, address, path, value=value, headers=headers
                )

            await check(send)

        run_with_standin(lambda nursery: ToolService().build_router(), check_tool)

    async def read_record(self, send):
        return (await send("GET", "/control/record")).decode(list)

    def test_each_call_records_its_own_side_effect(self):
        async def check(send):
            for number in (1, 2):
                response = await send("POST", "/v1/pay", {"sum": 5})
                expected = {"result": {"sum": 5}, "effect": number}
                self.assertEqual(response.decode(dict), expected)
            record = await self.read_record(send)
            self.assertEqual([item["effect"] for item in record], [1, 2])
            self.assertEqual(record[0]["operation"], "pay")
            self.assertEqual(record[0]["call"], "c-1")
            self.assertEqual(record[0]["caller"], "s-1")

        self.serve(check)

    def test_faults_occur_before_or_after_the_side_effect(self):
        async def check(send):
            for fault, effects in (
                ("close_before_effect", 0),
                ("close_after_effect", 1),
            ):
                await send("PUT", "/control/faults", {fault: 1})
                with self.assertRaises(ExchangeBroken):
                    await send("POST", "/v1/pay", {})
                self.assertEqual(len(await self.read_record(send)), effects)
            await send("PUT", "/control/faults", {"fail_before_effect": 1})
            self.assertEqual((await send("POST", "/v1/pay", {})).status, 503)
            self.assertEqual(len(await self.read_record(send)), 1)
            self.assertEqual((await send("POST", "/v1/pay", {})).status, 200)

        self.serve(check)

    def test_call_of_a_disconnected_client_has_no_side_effect(self):
        async def check(send):
            await send("PUT", "/control/faults", {"hang": 1})
            with trio.move_on_after(0.05):
                await send("POST", "/v1/pay", {})
            await send("PUT", "/control/faults", {"delay": 0.5})
            with trio.move_on_after(0.05):
                await send("POST", "/v1/pay", "left")
            await send("POST", "/v1/pay", "stayed")
            record = await self.read_record(send)
            self.assertEqual([item["body"] for item in record], ["stayed"])

        self.serve(check)
