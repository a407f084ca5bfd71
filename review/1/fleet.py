"""Stand-ins for the scripts of the review: the platform (settings files, promotions), database
servers with synchronous replication, an operator and clients, after PROTOCOL.md. Standard library
only. The programs of the project run as separate processes on loopback addresses 127.x.y.z, one
address for each machine, so that all members use the same ports as on the platform. The file is the
same in each case, so that a case stands alone."""
import asyncio, ctypes, json, os, random, shutil, signal, socket, subprocess, tempfile, time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2
ZONES = ["interior-a", "coast-a", "south-a"]
DATABASE = "lepu270"
KEY = "u6wsjnbanfqasnmgkcuy"
TENANT = "nypu920"


class NotRun(Exception):
    pass


def run_case(main):
    """Exit code of a case: an error of the script itself is no broken rule."""
    try:
        return asyncio.run(main())
    except Exception:
        traceback.print_exc()
        return NOT_RUN


def end_with_parent():
    """In a program that was started: it is killed when the script ends, however that happens."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def free_ports(ips, count):
    """Ports that are free at every address of `ips`."""
    found = []
    while len(found) < count:
        port = random.randint(20000, 29000)
        try:
            for ip in ips:
                with socket.socket() as s:
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    s.bind((ip, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write("%9.3f %s\n" % (time.monotonic() - self.start, text))


async def http(address, method, path, body=None, headers=None, timeout=1.0):
    """One exchange on its own connection: (status, headers, body), or None without an answer."""
    async def exchange():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = b"" if body is None else body.encode()
            lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + address, "Connection: close"]
            if body is not None:
                lines += ["Content-Type: application/json", "Content-Length: %d" % len(data)]
            lines += ["%s: %s" % h for h in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            raw = await reader.read(-1)
        finally:
            writer.close()
        head, _, rest = raw.partition(b"\r\n\r\n")
        if not head:
            return None
        rows = head.decode().split("\r\n")
        found = {k.lower(): v.strip() for k, _, v in (r.partition(":") for r in rows[1:])}
        return int(rows[0].split()[1]), found, rest.decode()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return None


async def call_control(nodes, method, path, body=None, timeout=1.0):
    """Calls nodes in turn and follows a 307 twice, as the pages say. Returns (status, body)."""
    for node in nodes:
        address = node
        for _ in range(3):
            answer = await http(address, method, path, body, timeout=timeout)
            if answer is None or answer[0] != 307:
                break
            address = answer[1]["location"].split("//", 1)[1].split("/", 1)[0]
        if answer is not None and answer[0] != 307 and answer[0] < 500:
            return answer[0], answer[2]
    return None


class Group:
    """A service: its servers, and the log entries that were acknowledged to somebody."""
    def __init__(self, name, record):
        self.name, self.record = name, record
        self.servers, self.primary, self.term = {}, None, 1
        self.acknowledged = {}  # statement id of a commit -> position
        self.lost = []
        self.promotions = []
        self.changed = asyncio.Event()

    def log_changed(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def promote(self, server):
        """The named server leads the next term with what it had received, and nothing more."""
        held = {entry[1] for entry in server.log}
        missing = [i for i in self.acknowledged if i not in held]
        self.promotions.append(server.id)
        self.record("promoted %s at %d entries; it lacks %d acknowledged commits: %s"
                    % (server.id, len(server.log), len(missing), " ".join(missing[:20]) or "-"))
        self.lost += missing
        self.term += 1
        self.primary = server
        server.paused = False
        for other in self.servers.values():
            other.role = "primary" if other is server else "replica"
            common = 0
            while (common < min(len(other.log), len(server.log))
                   and other.log[common] == server.log[common]):
                common += 1
            if other is not server:
                del other.log[common:]
                other.sent_to = common
            other.term = self.term
        server.position_term = self.term
        self.log_changed()


class Server:
    """One database server. Entries of its log are (term, statement id, item, data)."""
    SLOTS, MAX_CONNS, HANDSHAKE, WORK = 3, 22, 0.012, 0.008

    def __init__(self, group, name, zone, ip, delay):
        self.group, self.id, self.zone, self.ip, self.delay = group, name, zone, ip, delay
        self.role, self.term, self.log = "replica", 1, []
        self.paused = self.deaf = self.running = False
        self.port = 0
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.connections = set()
        self.slots = asyncio.Semaphore(self.SLOTS)
        self.listener = None
        self.tasks = []
        self.beats = True
        self.sent_to = 0
        self.ran = []      # (time, statement id, text) that were run for clients
        group.servers[name] = self

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    def position(self):
        return "%d.%d" % (self.log[-1][0] if self.log else 1, len(self.log))

    async def start(self, control):
        self.control = control
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.paused = False
        self.sent_to = len(self.log)
        self.listener = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.running = True
        self.tasks = [asyncio.create_task(self.receive()), asyncio.create_task(self.beat())]
        self.group.record("%s starts, born %d, %s" % (self.id, self.born, self.role))

    def stop(self):
        """Ends the process: its connections are reset; what it received stays."""
        self.running = False
        for task in self.tasks:
            task.cancel()
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.group.record("%s ends with %d entries" % (self.id, len(self.log)))
        self.group.log_changed()

    def heartbeat(self):
        self.sequence += 1
        return {"service": self.group.name, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.SLOTS, "state": self.state, "cold_left_ms": 0,
                "db_role": self.role, "seq_no": self.sequence, "born": self.born}

    async def beat(self):
        while True:
            if self.beats:
                sent = self.heartbeat()
                answer = await call_control(self.control(), "PUT", "/-/instances/" + self.id,
                                            json.dumps(sent))
                self.group.record("%s PUT %s seq %d role %s -> %s"
                                  % (self.id, sent["state"], sent["seq_no"], sent["db_role"],
                                     answer and answer[0]))
            role, state = self.role, self.state
            for _ in range(24):  # heartbeat_ms, or at once after a change of the role
                await asyncio.sleep(0.05)
                if self.beats and (role, state) != (self.role, self.state):
                    break

    async def receive(self):
        """Catches up with the primary whenever nothing that it sent is on its way."""
        while True:
            primary = self.group.primary
            if primary is not None and primary is not self and len(primary.log) > self.sent_to:
                self.expect(primary, len(primary.log))
            await asyncio.sleep(0.02)

    def expect(self, primary, upto):
        """The primary sends its log up to `upto`; it arrives `delay` seconds later."""
        self.sent_to = max(self.sent_to, upto)
        asyncio.get_running_loop().call_later(self.delay, self.take, primary, upto)

    def take(self, primary, upto):
        usable = (self.running and not self.paused and not self.deaf and primary.running
                  and self.group.primary is primary)
        if usable and upto > len(self.log):
            self.log += primary.log[len(self.log):upto]
            self.group.log_changed()
        elif not usable:
            self.sent_to = len(self.log)

    async def commit(self, entries):
        """Appends the writes of a commit; true once one replica has received them."""
        if self.group.primary is not self:
            return None
        for statement, item, data in entries:
            self.log.append((self.term, statement, item, data))
        goal = len(self.log)
        for other in self.group.servers.values():
            if other is not self:
                other.expect(self, goal)
        while self.running:
            if self.group.primary is not self:
                return None
            for other in self.group.servers.values():
                if other is not self and other.running and len(other.log) >= goal:
                    return True
            try:
                await asyncio.wait_for(self.group.changed.wait(), 0.05)
            except asyncio.TimeoutError:
                pass
        return None

    def status_row(self):
        return "%s %d %s %d 0 0 %d" % (self.role, self.term, self.position(), self.term,
                                       len(self.connections))

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await self.session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def session(self, reader, writer):
        def send(*lines):
            writer.write("".join(line + "\r\n" for line in lines).encode())
        words = (await reader.readuntil(b"\r\n")).decode().strip().split(" ")
        if len(self.connections) > self.MAX_CONNS:
            return send("ERROR CONNLIMIT " + self.id)
        if words[0] != "STARTUP" or words[1] != self.group.name or words[3:4] not in ([], [self.id]):
            return send("ERROR MISROUTED " + self.id)
        who = words[2]
        await asyncio.sleep(self.HANDSHAKE)
        send("READY I " + self.position())
        state, access, writes, prepared = "I", None, [], {}
        while True:
            line = (await reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
            if line == "TERMINATE":
                return None
            _, statement, text = line.split(" ", 2)
            rows, error, signature = [], None, "-"
            minimum = None
            plain = text
            if plain.startswith("SYNCAFTER "):
                _, minimum, plain = plain.split(" ", 2)
            words = plain.split(" ", 2)
            verb = words[0]
            if minimum is not None:
                term, number = (int(n) for n in minimum.split("."))
                if len(self.log) < number or (number and self.log[number - 1][0] < term):
                    error = "LAGGING"
            writing = verb == "WRITE" or (verb == "EXECUTE" and prepared.get(words[1], "") == "WRITE")
            if error:
                pass
            elif verb in ("STATUS", "PAUSE", "STEPDOWN", "RESUME"):
                if verb == "PAUSE" and self.role == "replica":
                    self.paused = True
                if verb == "RESUME":
                    self.paused = False
                if verb == "STEPDOWN" and self.role == "primary" and int(words[1]) > self.term:
                    self.role = "replica"
                    self.group.primary = None
                    self.group.log_changed()
                self.group.record("%s %s -> %s" % (self.id, plain, self.status_row()))
                rows.append(self.status_row())
            elif verb == "BEGIN":
                if access is None and words[1:] != ["READ"] and self.role != "primary":
                    error = "READONLY"
                else:
                    state, access, writes = "T", "READ" if words[1:] == ["READ"] else "PLAIN", []
            elif verb == "ROLLBACK":
                state, access, writes = "I", None, []
            elif verb == "SET" or verb == "RESET" or verb == "DEALLOC":
                pass
            elif verb == "PREPARE":
                prepared[words[1]] = words[2].split(" ")[0]
            elif verb in ("READ", "WRITE", "EXECUTE", "COMMIT"):
                async with self.slots:
                    await asyncio.sleep(self.WORK)
                    self.ran.append((time.monotonic(), statement, plain))
                    self.group.record("%s runs %s %s for %s" % (self.id, statement, plain, who))
                    lacks_lead = self.role != "primary"
                    if (writing and (lacks_lead or access == "READ")) or (
                            access == "PLAIN" and lacks_lead and (verb != "COMMIT" or writes)):
                        error = "READONLY"
                    else:
                        signature = "7.%x" % random.getrandbits(64)
                        if writing:
                            item, data = words[-1].split(" ", 1) if verb == "EXECUTE" else words[1:]
                            if access is None:
                                ok = await self.commit([(statement, item, data)])
                            else:
                                writes.append((statement, item, data))
                                ok = True
                            if not ok:
                                return None
                        elif verb == "COMMIT":
                            if writes and not await self.commit(writes):
                                return None
                            state, access, writes = "I", None, []
                        else:
                            item = words[1]
                            rows += [e[3] for e in self.log if e[2] == item][-1:]
            else:
                error = "MALFORMED"
            if error and access is not None:
                state = "E"
            send(*["DATAROW " + r for r in rows],
                 "ERROR %s %s" % (error, self.id) if error else "COMPLETE " + signature,
                 "READY %s %s" % (state, self.position()))


class Platform:
    """The platform's calls: POST /promotions with its fence, 600 ms for each."""
    def __init__(self, record):
        self.record, self.groups, self.tokens, self.promote_s = record, {}, {}, 0.6
        self.busy = set()

    async def start(self, ip):
        self.listener = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % (ip, self.listener.sockets[0].getsockname()[1])

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = {k.lower(): v.strip() for k, _, v in (r.partition(":") for r in head[1:])}
            body = json.loads(await reader.readexactly(int(headers.get("content-length", "0"))))
            token = int(headers["x-auburnrail-fencing-token"])
            status = self.promote(body["service"], body["id"], token)
            self.record("POST /promotions %s holder %s token %d -> %d"
                        % (body, headers["x-auburnrail-duty-holder"], token, status))
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\n{}" % status)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def promote(self, service, name, token):
        group = self.groups[service]
        if token < self.tokens.get(service, 0):
            return 409
        self.tokens[service] = token
        server = group.servers.get(name)
        if server is None or not server.running:
            return 409
        if group.primary is server or name in self.busy:
            return 200
        self.busy.add(name)

        async def later():
            await asyncio.sleep(self.promote_s)
            self.busy.discard(name)
            if server.running:
                group.promote(server)
        asyncio.create_task(later())
        return 200


class Fleet:
    """Three control members and `entries` entries, with the settings of the deploy file."""
    def __init__(self, record, entries=3):
        self.record = record
        self.work = tempfile.mkdtemp(prefix="auburnrail-review-")
        base = "127.%d.%d." % (random.randint(20, 250), random.randint(0, 250))
        self.control_ips = [base + str(n) for n in (11, 12, 13)]
        self.entry_ips = [base + str(21 + n) for n in range(entries)]
        self.server_ip = base + "100"
        self.platform_ip = base + "200"
        ips = self.control_ips + self.entry_ips
        self.consensus, self.entries_port, self.operators, self.metrics, self.front, self.ready = (
            free_ports(ips, 6))
        self.processes = {}
        self.platform = Platform(record)
        self.version = 0

    def control(self):
        nodes = ["%s:%d" % (ip, self.operators) for ip in self.control_ips]
        random.shuffle(nodes)
        return nodes

    def fronts(self):
        return [(ip, self.front) for ip in self.entry_ips]

    def run(self, name, program, text):
        path = os.path.join(self.work, name + ".ini")
        with open(path, "w") as file:
            file.write(text)
        binary = os.path.join(ROOT, "target", "bin", program)
        if not os.path.exists(binary):
            raise NotRun(binary + " is not built")
        log = open(os.path.join(self.work, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen([binary, path], stdout=log, stderr=log, cwd=ROOT,
                                                start_new_session=True,
                                                preexec_fn=end_with_parent)

    def render(self, template, fields):
        with open(os.path.join(ROOT, "deploy", template)) as file:
            text = file.read()
        for key, value in fields.items():
            text = text.replace("{{%s}}" % key, value)
        if "{{" in text:
            raise NotRun("a placeholder of %s is not known" % template)
        return text

    def seeds(self):
        return ", ".join("%s:%d" % (ip, self.operators) for ip in self.control_ips)

    def run_control(self, ip, bootstrap):
        text = self.render("control.ini.template", {
            "ip": ip, "zone": ZONES[self.control_ips.index(ip)], "seeds": self.seeds(),
            "bootstrap": "true" if bootstrap else "false",
            "internal_ports.0": str(self.consensus), "internal_ports.1": str(self.entries_port),
            "bind_addrs.control": "%s:%d" % (ip, self.operators),
            "data_dir": os.path.join(self.work, "data-" + ip), "fault_tolerance.machines": "1",
            "cloud_api.address": self.platform.address})
        self.run("control-" + ip, "auburnrail-control",
                 text.replace(":9464", ":%d" % self.metrics))

    async def start(self):
        await self.platform.start(self.platform_ip)
        for ip in self.control_ips:
            self.run_control(ip, bootstrap=True)
        for index, ip in enumerate(self.entry_ips):
            zone = ZONES[index % 3]
            self.run("entry-" + ip, "auburnrail-entry", self.render("entry.ini.template", {
                "ip": ip, "node_name": "edge-%s-%d" % (zone, index), "zone": zone, "seeds": self.seeds(),
                "internal_ports.1": str(self.entries_port),
                "bind_addrs.front": "%s:%d" % (ip, self.front),
                "bind_addrs.ready": "%s:%d" % (ip, self.ready)}).replace(":9464", ":%d" % self.metrics))

    def configuration(self, services, kind="primary"):
        """One route for each service; the database of service n is DATABASE + n."""
        self.version += 7
        routes = [{"name": "r-%d" % n, "host": "%s%d" % (DATABASE, n), "path_prefix": "/",
                   "type": kind, "timeout_ms": 1000, "slo_ms": 500, "priority": 1,
                   "service": service, "max_attempts": 2, "max_staleness_ms": 1500,
                   "public": False} for n, service in enumerate(services)]
        return {"version": self.version, "routes": routes,
                "services": [{"name": service, "health_path": "/healthz", "max_conns": 22,
                              "protocol": "h1", "tls": False, "sync_replicas": 1}
                             for service in services],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                           "tx_idle_ms": 3000},
                "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1,
                             "rate_per_s": 2000, "burst": 2000}]}

    async def configure(self, configuration, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            answer = await call_control(self.control(), "PUT", "/-/config",
                                        json.dumps(configuration), timeout=3)
            if answer is not None:
                self.record("PUT /-/config version %d -> %d" % (configuration["version"], answer[0]))
                return answer[0]
            await asyncio.sleep(0.3)
        raise NotRun("no configuration was acknowledged")

    def leader(self):
        """The member that last said in its log that it leads."""
        found = None
        for ip in self.control_ips:
            with open(os.path.join(self.work, "control-" + ip + ".log")) as file:
                for line in file:
                    if "became leader" in line:
                        stamp = json.loads(line).get("time", "")
                        found = max(found or ("", ""), (stamp, ip))
        return found and found[1]

    async def leader_address(self):
        """Where the leader takes calls: it is the one that answers without a 307."""
        for node in self.control():
            answer = await http(node, "GET", "/-/config")
            if answer is not None and answer[0] == 200:
                return node
        raise NotRun("no leader")

    def ended(self):
        return [n for n, p in self.processes.items() if p.poll() is not None]

    def stop(self, keep=False):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if keep:
            print("logs:", self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


async def restart_cut_off(server, fleet, links, trouble):
    """Ends a server that drains, and starts it again; `trouble`: a partition holds its DELETE."""
    record = server.group.record
    server.beats = False
    record("%s is %s the control members" % (server.id, "cut off from" if trouble
                                             else "connected to"))
    for link in links:
        answer = await call_control([link.address], "DELETE", "/-/instances/" + server.id)
        record("%s DELETE -> %s" % (server.id, answer and answer[0]))
        if answer is not None:
            break
    server.stop()
    await asyncio.sleep(1.0)
    server.log, server.beats = [], True
    await server.start(fleet.control)


class Link:
    """A path to one node that can be cut silently: bytes wait and arrive after it has healed."""
    def __init__(self, target):
        self.target, self.open = target, asyncio.Event()
        self.open.set()

    async def start(self, ip):
        self.listener = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % (ip, self.listener.sockets[0].getsockname()[1])

    async def serve(self, reader, writer):
        try:
            held = await reader.read(65536)
            await self.open.wait()
            ip, port = self.target.rsplit(":", 1)
            up_reader, up_writer = await asyncio.open_connection(ip, int(port))
            up_writer.write(held)
            try:
                writer.write(await up_reader.read(-1))
                await writer.drain()
            except ConnectionError:
                pass
            up_writer.close()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def start_services(fleet, count, places=((ZONES[0], 0.0044), (ZONES[1], 0.0044),
                                               (ZONES[2], 0.012))):
    """`count` services of three servers a (primary), b and c. `places`: the zone of each, and its
    delay from the primary as on kdcl-pool (4.4 ms between zones, 12 ms between regions)."""
    groups = []
    for n in range(count):
        group = Group("huvo%da" % n, fleet.record)
        fleet.platform.groups[group.name] = group
        for letter, (zone, delay) in zip("abc", places):
            server = Server(group, "i-%s%d" % (letter * 4, n), zone, fleet.server_ip, delay)
            if letter == "a":
                server.role, group.primary = "primary", server
            await server.start(fleet.control)
        groups.append(group)
    await fleet.configure(fleet.configuration([g.name for g in groups]))
    return groups


async def transact(client, group, stop):
    """Transactions one after the other: a write, a pause, the commit. Notes what was acknowledged."""
    number = 0
    while not stop.is_set():
        try:
            await client.open()
            while not stop.is_set():
                number += 1
                if (await client.query("BEGIN"))[1]:
                    _, ok, outcome, _ = await client.query("WRITE a%d %d" % (number % 50, number))
                    written = client.statement
                    await asyncio.sleep(random.uniform(0.1, 0.4))
                    if ok and (await client.query("COMMIT"))[1]:
                        group.acknowledged[written] = number
                    elif not ok:
                        await client.query("ROLLBACK")
                if client.broken:
                    break
                await asyncio.sleep(random.uniform(0.02, 0.1))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.2)


class Client:
    """A session of a client at one entry."""
    def __init__(self, record, front, database=DATABASE, key=KEY):
        self.record, self.front, self.database, self.key = record, front, database, key

    async def open(self, timeout=2.0):
        self.broken = False
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.front), timeout)
        self.writer.write(("STARTUP %s %s\r\n" % (self.database, self.key)).encode())
        line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout)).decode().strip()
        if not line.startswith("READY"):
            raise ConnectionError(line)

    async def query(self, text, timeout=5.0):
        """(statement id, ok, last word line, rows, state)"""
        statement = self.statement = "%016x" % random.getrandbits(64)
        rows, outcome = [], None
        try:
            self.writer.write(("QUERY %s %s\r\n" % (statement, text)).encode())
            while True:
                line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout)).decode()
                line = line.rstrip("\r\n")
                if line.startswith("DATAROW "):
                    rows.append(line[8:])
                elif line.startswith(("COMPLETE", "ERROR")):
                    outcome = line
                elif line.startswith("READY"):
                    break
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            outcome, self.broken = "NONE " + type(error).__name__, True
        self.record("client %s %s -> %s %s" % (statement, text, outcome, rows or ""))
        ok = outcome is not None and outcome.startswith("COMPLETE")
        return statement, ok, outcome, rows

    def close(self):
        self.writer.close()
