"""Starts the stand-ins and instances on loopback for the demo and the process tests."""

import http.client
import json
import os
import signal
import subprocess
import tempfile
import threading
import time
import traceback


class Process:
    """A running program. Its first line of output must contain its listen address."""

    def __init__(self, name, command, log_directory):
        self.name = name
        self.log_path = os.path.join(log_directory, name + ".log")
        self.log = open(self.log_path, "w")
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=self.log, text=True)
        line = self.process.stdout.readline().strip()
        if not line.startswith("listening on "):
            raise RuntimeError(f"{name} did not print its listen address: got {line!r}, "
                               f"log in {self.log_path}")
        self.address = line.split()[-1]

    def signal(self, number):
        self.process.send_signal(number)

    def wait(self, timeout_s):
        return self.process.wait(timeout=timeout_s)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


def request(address, method, target, body=None, headers=None, timeout_s=30):
    """Sends one HTTP request; returns status, headers and text."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        data = json.dumps(body) if isinstance(body, dict) else body
        connection.request(method, target, body=data, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def get_json(address, target):
    status, _, text = request(address, "GET", target)
    return status, json.loads(text)


def expected_text(tokens):
    """Returns the text that the engine stand-in generates for a number of tokens."""
    return "".join(f"t{i} " for i in range(tokens))


class Chat(threading.Thread):
    """A chat request whose answer is read by a background thread."""

    def __init__(self, address, body):
        super().__init__(daemon=True)
        self.address = address
        self.body = body
        self.text = ""
        self.status = None
        self.ended = False
        self.error = None
        self.tokens = None
        self.first_token = threading.Event()

    def run(self):
        try:
            self.read_answer()
        except OSError as error:
            self.error = str(error)
        except http.client.HTTPException as error:
            self.error = repr(error)
        finally:
            self.first_token.set()

    def read_answer(self):
        connection = http.client.HTTPConnection(self.address, timeout=60)
        connection.request("POST", "/v1/chat", body=json.dumps(self.body))
        response = connection.getresponse()
        self.status = response.status
        if response.status != 200:
            self.error = response.read().decode()
            return
        for line in response:
            self.read_line(json.loads(line))
        connection.close()

    def read_line(self, line):
        if "text" in line:
            if line["offset"] != len(self.text):
                self.error = f"offset {line['offset']} after {len(self.text)} bytes"
            self.text += line["text"]
            self.first_token.set()
        elif "end" in line:
            self.ended = True
            self.tokens = line["end"]["tokens"]
        elif "error" in line:
            self.error = line["error"]

    def describe(self):
        return f"{self.status} {len(self.text)} bytes, ended {self.ended}, error {self.error}"

    def is_complete(self):
        tokens = self.body["max_tokens"]
        return self.ended and self.error is None and self.text == expected_text(tokens)


class Site:
    """A platform stand-in, upstream stand-ins and instances in one or more data centres."""

    def __init__(self, build, data_centres, engines_per_data_centre=2, instances_per_data_centre=2,
                 engine_flags=(), settings=None, cold_limit=2):
        self.build = build
        self.cold_limit = cold_limit
        self.directory = tempfile.mkdtemp(prefix="chiverail-")
        self.data_centres = data_centres
        self.processes = []
        self.engines = {}
        self.instances = {}
        self.extra_settings = settings or {}
        self.platform = self.start("platform", [self.program("platform_standin")])
        for data_centre in data_centres:
            for i in range(engines_per_data_centre):
                name = f"writer-{data_centre}-{i + 1}"
                self.engines[name] = self.start(
                    name, [self.program("upstream_standin"), "--id=" + name, *engine_flags])
        self.plain = self.start(
            "register-1", [self.program("upstream_standin"), "--id=register-1", "--kind=plain"])
        self.apply_manifest()
        for data_centre in data_centres:
            for i in range(instances_per_data_centre):
                self.start_instance(f"{data_centre}-{i + 1}", data_centre)

    def program(self, name):
        return os.path.join(self.build, name)

    def start(self, name, command):
        process = Process(name, command, self.directory)
        self.processes.append(process)
        return process

    def start_instance(self, name, data_centre):
        settings = {
            "instance_id": name,
            "data_centre": data_centre,
            "listen_address": "127.0.0.1:0",
            "peer_listen_address": "tcp://127.0.0.1:0",
            "platform_address": self.platform.address,
            "listing_poll_ms": 500,
            "load_poll_ms": 300,
            **self.extra_settings,
        }
        path = os.path.join(self.directory, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        process = self.start(name, [self.program("chiveraild"), "--settings=" + path])
        process.data_centre = data_centre
        self.instances[name] = process
        return process

    def manifest(self):
        upstreams = [
            {"id": name, "kind": "engine", "data_centre": name.split("-")[1],
             "address": process.address, "model": "writer", "version": "1",
             "adapters": ["letters"], "max_concurrency": 32, "cold_limit": self.cold_limit}
            for name, process in self.engines.items()]
        upstreams.append({"id": "register-1", "kind": "plain", "service": "register",
                          "data_centre": self.data_centres[0], "address": self.plain.address})
        return {
            "site": "demo",
            "load_report_lag_ms": 500,
            "longest_request_ms": 60000,
            "models": [{"id": "writer", "version": "1", "adapters": ["letters"]}],
            "workspaces": [{"id": "adoptions"}, {"id": "schools"}],
            "data_centres": [{"id": name, "region": "home"} for name in self.data_centres],
            "services": [{"id": "register", "operations": [
                {"name": "book", "idempotent": False}, {"name": "record", "idempotent": True}]}],
            "upstreams": upstreams,
        }

    def ctl(self, *arguments, check=True):
        """Runs chiverailctl against the platform; returns exit code and output."""
        command = [self.program("chiverailctl"), *arguments,
                   "--platform=" + self.platform.address, "--author=operator"]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60)
        if check and result.returncode != 0:
            raise RuntimeError(f"{arguments}: {result.returncode}: {result.stdout}{result.stderr}")
        return result.returncode, result.stdout + result.stderr

    def apply_manifest(self):
        path = os.path.join(self.directory, "manifest.json")
        with open(path, "w") as file:
            json.dump(self.manifest(), file)
        wait = ["--wait"] if self.instances else []
        return self.ctl("manifest", "apply", path, *wait)

    def wait_ready(self, timeout_s=40, names=None):
        """Waits until the instances are ready and every engine has an active admission owner."""
        instances = [self.instances[name] for name in names or self.instances]
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if all(self.is_ready(instance) for instance in instances) and self.engines_active():
                return
            time.sleep(0.1)
        raise RuntimeError(f"site not ready after {timeout_s} s, logs in {self.directory}")

    def is_ready(self, instance):
        try:
            status, _ = get_json(instance.address, "/readyz")
            return status == 200
        except OSError:
            return False

    def engine_states(self):
        """Returns the state of each engine, as reported by its admission owner."""
        states = {}
        for instance in self.instances.values():
            if instance.process.poll() is not None:
                continue
            _, report = get_json(instance.address, "/admin/upstreams")
            for engine in report.get("upstreams", []):
                if "phase" in engine:
                    states[engine["id"]] = engine
        return states

    def engines_active(self):
        states = self.engine_states()
        return all(states.get(name, {}).get("phase") == "active" for name in self.engines)

    def locate(self, chat, via=None):
        instance = via or next(iter(self.instances.values()))
        status, answer = get_json(
            instance.address, f"/v1/locate?workspace=adoptions&model=writer&chat={chat}")
        if status != 200:
            raise RuntimeError(f"locate request failed with status {status}: {answer}")
        return answer["addresses"]

    def chat(self, request_id, chat, tokens=40, turn=1, address=None, **fields):
        body = {"request": request_id, "workspace": "adoptions", "model": "writer", "chat": chat,
                "turn": turn, "prompt_tokens": 200 * turn, "max_tokens": tokens, **fields}
        thread = Chat(address or self.locate(chat)[0], body)
        thread.start()
        return thread

    def generations(self, data_centre):
        """Returns the number of generations that the engines of a data centre have started."""
        total = 0
        for name, process in self.engines.items():
            if name.split("-")[1] == data_centre:
                total += get_json(process.address, "/stats")[1]["starts"]
        return total

    def fault(self, process, **faults):
        request(process.address, "POST", "/fault", faults)

    def instance_name(self, address):
        for name, process in self.instances.items():
            if process.address == address:
                return name
        return address

    def stop_instances(self, timeout_s=60):
        """Sends SIGTERM to every instance; returns the exit codes."""
        for instance in self.instances.values():
            if instance.process.poll() is None:
                instance.signal(signal.SIGTERM)
        return {name: instance.wait(timeout_s) for name, instance in self.instances.items()}

    def close(self):
        for process in self.processes:
            process.stop()


def run_cases(cases, selected):
    """Runs the cases whose names are in `selected`, or all if it is empty. Prints a line per case
    and the counts."""
    passed = failed = 0
    for case in cases:
        if selected and case.__name__ not in selected:
            continue
        started = time.monotonic()
        try:
            case()
            passed += 1
            outcome = "ok"
        except Exception:  # report any failure of the case and run the next one
            failed += 1
            outcome = "FAILED\n" + traceback.format_exc()
        name = case.__name__.replace("_", " ")
        print(f"{name}: {outcome} ({time.monotonic() - started:.1f} s)", flush=True)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0
