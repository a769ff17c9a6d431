"""The scenario that a newcomer sees first."""

DEMO = """
name = "demo: six partners, an outage, a drain and a kill"
seed = 1
seconds = 12.0
zones = ["edificio-a", "edificio-b"]
clients = ["resp2", "binary", "structured"]
guests = true

[[class]]
name = "balance-update"
effect = "repeatable"
aim_ms = 1500.0
deadline_ms = 6000.0
worth = 1.0

[[class]]
name = "payment-order"
effect = "once"
aim_ms = 2000.0
deadline_ms = 8000.0
worth = 2.0
late_worth = 0.5

[[partner]]
name = "bank-of-catania"
kind = "banks"
dest = 1
endpoints = 2
zones = ["edificio-a", "edificio-b"]
apart = true
batch = 20
per_s = 12.0
window_ms = 2000.0
load = { balance-update = 6.0, payment-order = 4.0 }

[[partner]]
name = "bank-of-etna"
kind = "banks"
dest = 2
endpoints = 2
zones = ["edificio-a", "edificio-b"]
apart = true
batch = 20
per_s = 8.0
load = { balance-update = 4.0, payment-order = 4.0 }

[[partner]]
name = "firm-rossi"
kind = "client-firms"
dest = 3
load = { balance-update = 3.0 }

[[partner]]
name = "firm-bianchi"
kind = "client-firms"
dest = 4
per_s = 5.0
tells = 0.3
load = { balance-update = 4.0, payment-order = 1.0 }

[[partner]]
name = "tax-office"
kind = "intermediaries"
dest = 5
endpoints = 2
zones = ["edificio-a", "edificio-b"]
per_s = 10.0
call_ms = 80.0
load = { balance-update = 3.0, payment-order = 3.0 }

[[partner]]
name = "tax-agent"
kind = "intermediaries"
dest = 6
tells = 0.2
call_ms = 120.0
load = { balance-update = 2.0, payment-order = 1.0 }

[[fault]]
at = 3.0
seconds = 3.0
what = "partner"
on = "tax-office"
shut = true

[[fault]]
at = 5.0
seconds = 3.0
what = "drain"
on = "bank-of-catania-1"

[[fault]]
at = 7.0
what = "kill"
on = "d0"
seconds = 0.6
"""
