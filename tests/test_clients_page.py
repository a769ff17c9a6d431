"""The command lines of the page for client authors work against the demo."""

import asyncio
import http.client
import json
import re
import shlex
import signal
import sys

from doubles import ROOT, run

PAGE = ROOT / "docs" / "clients" / "cloudevents.md"
EXPECTED = [(202, "taken"), (200, "delivered"), (207, "")]  # by command: the status, and the event's state


def commands():
    """The arguments of each curl command of the page; a command is an indented block."""
    blocks = re.findall(r"(?:^    .*\n)+", PAGE.read_text(), re.MULTILINE)
    return [shlex.split(block.replace("\\\n", " ")) for block in blocks if block.lstrip().startswith("curl ")]


def post(arguments, port):
    """Send the request that curl would send, since curl may not be installed."""
    assert arguments[:2] == ["curl", "-i"] and arguments[2] == "http://127.0.0.1:8080/"
    options = dict(zip(arguments[3::2], arguments[4::2], strict=True))
    headers = [arguments[at + 1] for at in range(3, len(arguments), 2) if arguments[at] == "-H"]
    assert set(options) <= {"-H", "-d"}
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    connection.request("POST", "/", options["-d"].encode(), dict(line.split(": ", 1) for line in headers))
    answer = connection.getresponse()
    return answer.status, json.loads(answer.read())


def test_the_command_lines_of_the_page_work_against_the_demo():
    async def work():
        demo = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "lab", "demo", "--seconds", "5"),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            while b"events may be posted to" not in (line := await demo.stdout.readline()):
                assert line, "the demo ended without printing its address"
            port = int(re.search(rb":(\d+)/", line)[1])
            results = []
            for arguments in commands():
                status, body = await asyncio.to_thread(post, arguments, port)
                results.append((status, body.get("state", "") if isinstance(body, dict) else ""))
                if isinstance(body, list):
                    assert [row["status"] for row in body] == [202, 400]
                    assert body[1]["attribute"] == "subject"
            assert results == EXPECTED
            out = (await demo.stdout.read()).decode()
            assert await demo.wait() == 0, out
        finally:
            if demo.returncode is None:
                demo.send_signal(signal.SIGINT)  # the demo then stops its dispatcher
                await demo.wait()

    run(work())
