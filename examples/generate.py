#!/usr/bin/env python3
"""Writes the committed pools tables and sample records of both deployments.

Usage: examples/generate.py    (from the root of the repository; the output is the same every time)
"""
import json
import random

POSITIONS = 4096
HALF = POSITIONS // 2


def even(first, last, count):
    """Splits [first, last) into count ranges."""
    ends = [first + (last - first) * i // count for i in range(count + 1)]
    return [[ends[i], ends[i + 1]] for i in range(count)]


def maps(old, new):
    """Ranges of the old and the new shards by partition map: in map 3 the old shards own the lower
    half and the new ones the upper half. Map 4 moves the last fifth of each old shard to new
    shards, one piece to each of several."""
    lower, upper = even(0, HALF, old), even(HALF, POSITIONS, new)
    old_shards = [{3: [r], 4: [[r[0], r[1] - (r[1] - r[0]) // 5]]} for r in lower]
    new_shards = [{3: [r], 4: [r]} for r in upper]
    for index, (shard, whole) in enumerate(zip(old_shards, lower)):
        taken = even(shard[4][0][1], whole[1], new // old)
        for piece, moved in enumerate(taken):
            target = new_shards[index * (new // old) + piece]
            target[4] = [moved] + target[4]
    return old_shards, new_shards


def pool(name, prefix, shards, replicas, slots, connections, connect_ms, zones, address):
    lines = [f"  - name: {name}", f"    slots: {slots}", f"    connections: {connections}",
             f"    connect_ms: {connect_ms}", "    shards:"]
    for index, ranges in enumerate(shards):
        lines.append(f"      - name: {prefix}-{index:02}")
        lines.append("        ranges: {" + ", ".join(f"{m}: {r}" for m, r in ranges.items()) + "}")
        lines.append("        servers:")
        for replica in range(replicas):
            # The distance between the zones of two replicas varies, so that the loss of any zone
            # is spread over the others.
            step = 1 + index // len(zones) % (len(zones) - 1)
            zone = (index + replica * (step if replicas == 2 else 1)) % len(zones)
            server = f"{prefix}-{index:02}{'abcdefgh'[replica]}"
            lines.append(f"          - {{name: {server}, zone: {zones[zone]}, "
                         f"address: \"{address(zone)}\"}}")
    return lines


def addresses(first_host, first_port):
    """One IP address per zone, one port per server."""
    port = first_port

    def following(zone):
        nonlocal port
        port += 1
        return f"127.0.1.{first_host + zone}:{port}"
    return following


def write_pools(path, revision, lines):
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join([f"revision: {revision}", "closed_zones: []", "pools:"] + lines) + "\n")


def write_records(path, records):
    with open(path, "w", encoding="utf-8") as file:
        for record in records:
            file.write(json.dumps(record, ensure_ascii=False) + "\n")


FIRST = ["Ana", "Juan", "Rosa", "Mateo", "Lucía", "Pedro", "Manuela", "Diego", "Catarina", "Andrés",
         "Isabel", "Tomás", "Micaela", "Pascual", "Elena", "Sebastián"]
LAST = ["Ixcot", "Chávez", "Tzoc", "Morales", "Xicará", "Batz", "López", "Ajanel", "García",
        "Sac", "Quiej", "Velásquez", "Tahay", "Cojulún"]
MUNICIPALITIES = {
    "Quetzaltenango": ["Salcajá", "Almolonga", "Zunil", "Cantel"],
    "Totonicapán": ["Momostenango", "San Cristóbal", "Santa María Chiquimula"],
    "San Marcos": ["San Pedro", "Malacatán", "Tacaná"],
    "Sololá": ["Panajachel", "Santa Lucía", "Nahualá", "San Juan La Laguna"]}


def with_versions(record, number):
    """Some records begin with version 41 and some end with 40, so that a mix of versions shows."""
    if number % 37 == 0:
        record["since"] = 41
    elif number % 41 == 0:
        record["until"] = 40
    return record


def cases(rng, count):
    for number in range(count):
        office = rng.choice(list(MUNICIPALITIES))
        yield with_versions({"id": f"case-{number:06}", "fields": {
            "office": office, "municipality": rng.choice(MUNICIPALITIES[office]),
            "status": rng.choice(["new", "visit", "granted", "granted", "refused", "closed"]),
            "year": str(rng.randint(2009, 2025)),
            "applicant": f"{rng.choice(FIRST)} {rng.choice(LAST)}"}}, number)


def visits(rng, count):
    for number in range(count):
        office = rng.choice(list(MUNICIPALITIES))
        yield with_versions({"id": f"visit-{number:06}", "fields": {
            "office": office, "municipality": rng.choice(MUNICIPALITIES[office]),
            "inspector": f"{rng.choice(FIRST[:6])} {rng.choice(LAST[:5])}",
            "day": rng.choice(["monday", "tuesday", "wednesday", "thursday", "friday"]),
            "work": rng.choice(["ramp", "handrail", "bathroom", "door", "lift"])}}, number)


CUSTOMERS = ["Atelier Maria", "Croitoria Someș", "Hotel Transilvania", "Școala 4", "Clubul Sportiv",
             "Primăria Oradea", "Textil Baia", "Florăria Iris", "Spitalul Judeţean"]


def patterns(rng, count):
    for number in range(count):
        yield with_versions({"id": f"pattern-{number:06}", "fields": {
            "stitch": rng.choice(["satin", "fill", "running", "cross", "chain", "appliqué"]),
            "colours": str(rng.randint(1, 12)),
            "hoop": rng.choice(["100x100", "130x180", "200x300", "360x200"]),
            "customer": rng.choice(CUSTOMERS)}}, number)


def quotes(rng, count):
    for number in range(count):
        yield with_versions({"id": f"quote-{number:06}", "fields": {
            "customer": rng.choice(CUSTOMERS), "pieces": str(rng.choice([10, 25, 50, 100, 250])),
            "fabric": rng.choice(["cotton", "linen", "felt", "denim", "silk"]),
            "state": rng.choice(["open", "accepted", "expired"])}}, number)


def main():
    zones = ["xela", "toto", "sanmarcos", "solola"]
    address = addresses(1, 20000)
    ledger, store = maps(5, 20)
    partner, inspector = maps(5, 30)
    write_pools("examples/occidente/pools.yaml", 31,
                pool("caseworker-desk", "cw", store, 2, 3, 30, 6, zones, address) +
                pool("archive-bridge", "ledger", ledger, 5, 2, 100, 1, zones, address) +
                pool("inspector-route", "visit", inspector, 2, 3, 30, 6, zones, address) +
                pool("partner-line", "partner", partner, 2, 2, 100, 1, zones, address))
    write_records("examples/occidente/cases.jsonl", cases(random.Random(11), 4000))
    write_records("examples/occidente/visits.jsonl", visits(random.Random(12), 3000))

    zones = ["cluj-a", "cluj-b", "oradea-a", "baia-a"]
    address = addresses(11, 21000)
    loader, desk = maps(2, 20)
    keeper, office = maps(2, 30)
    write_pools("examples/ro-nord/pools.yaml", 17,
                pool("digitiser-desk", "desk", desk, 2, 2, 25, 6, zones, address) +
                pool("hoop-loader", "hoop", loader, 2, 6, 50, 1, zones, address) +
                pool("quote-office", "quote", office, 2, 2, 25, 6, zones, address) +
                pool("archive-keeper", "keeper", keeper, 2, 6, 50, 1, zones, address))
    write_records("examples/ro-nord/patterns.jsonl", patterns(random.Random(21), 4000))
    write_records("examples/ro-nord/quotes.jsonl", quotes(random.Random(22), 3000))


if __name__ == "__main__":
    main()
