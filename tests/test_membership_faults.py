"""Several processes of the program that are members: parts, moves, releases, and what is ill inside one."""

import asyncio
import contextlib
import json
import signal
import socket

import pytest
from doubles import TOLD
from fleets import all_hold, with_fleet

from lab.fleet import MemberFleet
from lab.member_cases import cut, healed
from lab.member_ways import SECRET, WayFault
from rushhitch.membership.kept import FILE, IncarnationFile
from rushhitch.membership.server import MAX_STREAMS
from rushhitch.membership.show import fetch


def burials(fleet, by=None, of=None):
    """Who was held gone, as the watch saw it, or by that one as it counts itself."""
    return [h for h in fleet.history.held if h.state == 2 and by in (None, h.by) and of in (None, h.name)]


def incarnation(fleet, name):
    return max(h.incarnation for h in fleet.history.held if h.name == name and h.by == name)


def test_one_that_is_stopped_with_its_question_out_judges_nobody_by_the_answer_that_waited(tmp_path):
    @with_fleet(tmp_path, size=4)
    async def _(fleet):
        stopped = asyncio.Event()

        def stop(sender, receiver):
            if sender == "d1" and not stopped.is_set():  # its datagram has not gone on yet
                fleet.watch.stands_still("d1", 5.0)
                fleet.processes["d1"].send_signal(signal.SIGSTOP)
                stopped.set()

        fleet.ways.seen = stop
        await asyncio.wait_for(stopped.wait(), 5.0)
        await asyncio.sleep(5.0)
        fleet.processes["d1"].send_signal(signal.SIGCONT)
        await fleet.until(fleet.all_there)
        told = fleet.reports["d1"]["counts"]
        assert told["pauses"] >= 1 and told["burials"] == 0 and not burials(fleet, by="d1")


def test_seven_of_ten_killed_at_once_that_start_again_within_a_second_are_back(tmp_path):
    @with_fleet(tmp_path, size=10)
    async def _(fleet):
        first = {name: incarnation(fleet, name) for name in fleet.names[3:]}
        await asyncio.gather(*map(fleet.kill, first))
        await asyncio.gather(*map(fleet.start, first))
        await fleet.until(fleet.all_there, 20.0)
        assert all(incarnation(fleet, name) > before for name, before in first.items())


def test_a_burst_in_which_all_is_lost_buries_nobody(tmp_path):
    @with_fleet(tmp_path)
    async def _(fleet):
        fleet.watch.strike(lambda a, b: WayFault(loss=1.0))
        await asyncio.sleep(3.0)
        fleet.watch.strike(healed)
        await fleet.until(fleet.all_there)
        assert sum(report["counts"]["burials"] for report in fleet.reports.values()) == 0


def test_three_parts_count_all_and_are_one_again(tmp_path):
    @with_fleet(tmp_path, size=6)
    async def _(fleet):
        part = {name: number % 3 for number, name in enumerate(fleet.names)}
        fleet.watch.strike(cut(lambda a, b: part[a] != part[b]))

        def apart(by):
            held = fleet.states(by)
            return all((held[name] == "gone") == (part[name] != part[by]) for name in fleet.names)

        await fleet.until(lambda: all(map(apart, fleet.names)), 15.0)
        assert all(fleet.reports[name]["most"] == 6 for name in fleet.names)
        fleet.watch.strike(healed)
        await fleet.until(fleet.all_there, 20.0)


def test_in_a_rolling_restart_of_all_nobody_is_held_gone(tmp_path):
    @with_fleet(tmp_path, size=5)
    async def _(fleet):
        first = {name: incarnation(fleet, name) for name in fleet.names}
        for name in fleet.names:
            await fleet.leave(name)
            await fleet.start(name)
        await fleet.until(fleet.all_there, 15.0)
        assert not burials(fleet) and all(incarnation(fleet, name) > first[name] for name in fleet.names)
        assert all(fleet.reports[name]["most"] == 5 for name in fleet.names)


def test_a_name_moves_to_another_address_and_its_old_one_is_used_by_another_fleet(tmp_path):
    @with_fleet(tmp_path, size=4)
    async def _(fleet):
        old = fleet.ways.addresses["d2"]
        before = incarnation(fleet, "d2")
        await fleet.kill("d2")
        new = await fleet.ways.add("d2")
        await fleet.start("d2")
        await fleet.until(fleet.all_there)
        held = {row["name"]: row for row in fleet.reports["d0"]["members"]}["d2"]
        assert held["address"] == "{}:{}".format(*new[1]) and held["incarnation"] > before
        # A process of another fleet, with the same name, listens where the others knew it before.
        fleet.names.append("x")
        fleet.building["x"], fleet.logs["x"], fleet.claims["x"], fleet.secrets["x"] = "a", [], "d2", b"n" * 24
        fleet.ways.addresses["x"] = (old[0], old[1])
        fleet.ways.real["x"] = old[0]
        await fleet.start("x")
        fleet.names.remove("x")
        del fleet.watch.lives["x"]
        try:
            await asyncio.sleep(3.0)
            told = await fetch(old[0], b"n" * 24)
            assert [row["name"] for row in told["members"]] == ["d2"] and told["most"] >= 4
            assert told["dropped"]["secret"] or sum(
                report["dropped"]["secret"] for report in fleet.reports.values()
            ), "neither has read the other's word"
            assert fleet.all_there() and not burials(fleet, of="d3")
            assert fleet.states("d0").keys() == {"d0", "d1", "d2", "d3"}
        finally:
            fleet.processes["x"].kill()
            await fleet.processes["x"].wait()


def test_builds_of_which_one_has_fields_that_the_others_do_not_know_are_one_fleet(tmp_path):
    @with_fleet(tmp_path, size=4)
    async def _(fleet):
        for name in ("d1", "d3"):  # a release in waves
            fleet.ill[name] = {"later": True}
            await fleet.leave(name)
            await fleet.start(name)
            await fleet.until(fleet.all_there, 15.0)
        await fleet.kill("d0")
        await fleet.until(lambda: all_hold(fleet, "d0", "gone"), 15.0)
        dropped = [report["dropped"] for report in fleet.reports.values()]  # old: for those that had ended
        assert not any(told["form"] + told["version"] + told["secret"] for told in dropped), dropped


ILL = {  # what is wrong, for how long, and the sign that it was noticed inside
    "a clock that jumps": ({"jump_s": 30.0}, 3.0, lambda told: told["counts"]["pauses"] >= 1),
    "sends that fail": ({"enobufs": True}, 6.0, lambda told: told["doubt"] >= 2),
    "a loop that lags": ({"lag_s": 2.0}, 8.0, lambda told: told["doubt"] >= 2),
}


@pytest.mark.parametrize("what", ILL)
def test_whoever_is_ill_doubts_itself_first(tmp_path, what):
    @with_fleet(tmp_path, size=4, properties=(4,))
    async def _(fleet):
        told, lasts, noticed = ILL[what]
        fleet.ill["d1"] = {}
        await fleet.kill("d1")
        await fleet.start("d1")
        await fleet.until(fleet.all_there)
        fleet.falls_ill("d1", **told)
        doubted = await fleet.until(lambda: noticed(fleet.reports["d1"]), 20.0)
        await asyncio.sleep(max(lasts - doubted, 0.0))
        if "jump_s" not in told:
            fleet.falls_ill("d1")
        await fleet.until(fleet.all_there, 20.0)
        assert fleet.reports["d1"]["counts"]["burials"] == 0, "it judged others by what is wrong with itself"
        assert not burials(fleet, by="d0", of="d2") and not burials(fleet, by="d2", of="d0")


def test_a_restart_with_a_clock_of_yesterday_and_nobody_there_begins_above_what_it_had(tmp_path):
    async def work():
        fleet = MemberFleet(tmp_path, 1, TOLD)
        async with fleet:
            await fleet.until(lambda: "d0" in fleet.reports)
            before = incarnation(fleet, "d0")
            await fleet.until(lambda: (tmp_path / "d0" / FILE).exists())
            await fleet.kill("d0")
            fleet.ill["d0"] = {"wall_s": -86_400.0}
            await fleet.start("d0")
            await fleet.until(lambda: len({h.process for h in fleet.history.held}) == 2)
            assert incarnation(fleet, "d0") == before + 1
            await fleet.kill("d0")
            (tmp_path / "d0" / FILE).write_text("not JSON")
            fleet.ill["d0"] = {}
            await fleet.start("d0")
            assert any("is not needed" in line for line in fleet.logs["d0"])

    asyncio.run(asyncio.wait_for(work(), 40.0))


def test_what_is_kept_is_of_one_name_and_a_full_disk_is_no_harm(tmp_path):
    kept = IncarnationFile(tmp_path, "a")
    assert kept.read() == 0
    kept.store(10.0, 7)
    assert kept.read() == 7 and IncarnationFile(tmp_path, "b").read() == 0
    kept.store(12.0, 9)
    assert kept.read() == 7, "not so often"
    kept.store(15.0, 9)
    assert kept.read() == 9
    for text in ("{}", "[1]", '{"name": "a", "incarnation": -1}', '{"name": "a", "incarnation": "9"}'):
        (tmp_path / FILE).write_text(text)
        assert kept.read() == 0
    gone = IncarnationFile(tmp_path / "nowhere", "a")
    gone.store(1.0, 3)
    assert gone.written == 0 and gone.read() == 0


def test_streams_that_say_nothing_keep_no_member_and_no_operator_out(tmp_path):
    @with_fleet(tmp_path, size=2)
    async def _(fleet):
        with contextlib.ExitStack() as held:
            for _ in range(3 * MAX_STREAMS):
                held.enter_context(socket.create_connection(fleet.ways.real["d0"]))
            for _ in range(5):
                told = await asyncio.wait_for(fetch(fleet.ways.real["d0"], SECRET), 2.0)
                assert told["name"] == "d0"


def test_info_has_the_same_fields_with_membership_as_without(tmp_path):
    async def info(member):
        folder = tmp_path / str(member)
        folder.mkdir()
        fleet = MemberFleet(folder, 2, TOLD, member=member, control=True)
        async with fleet:
            reader, writer = await asyncio.open_connection("127.0.0.1", fleet.controls["d0"])
            writer.write(b"INFO\n")
            said = (await reader.read()).decode()
            writer.close()
        return fields(json.loads(said.partition("\n--")[0]))

    def fields(told):
        return {key: fields(value) for key, value in told.items()} if isinstance(told, dict) else type(told)

    with_members, without = asyncio.run(info(True)), asyncio.run(info(False))
    assert with_members == without and len(without) > 1, without
