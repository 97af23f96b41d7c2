#!/usr/bin/env python3
"""Runs daemons of two builds beside a stand-in of the platform's store, which
then turns some of them away while the configuration changes.

    mixed_fleet_trial.py OLD NEW [--instances N] [--share-away S]

OLD, NEW: programs turmericpitch-sessions. Every second instance runs NEW. All
addresses are loopback addresses. Prints when the version came into force, in
seconds after its write: number of instances, of those in time, median, last.
"""
import argparse, base64, http.server, json, os, socketserver, subprocess
import tempfile, threading, time, urllib.parse

STORE = '127.77.0.200'
FIRST_PORT = 9000
APPLY_MS = 5000
OBSERVED_S = 12.0
state = threading.Condition()
items, revision, leases = {}, 10, 100
turned_away = {}  # Store port of an instance: 'busy' or 'silent'.


def put(key, value):
    global revision
    with state:
        revision += 1
        items[key] = (value, revision)
        state.notify_all()


def item(key):
    value, modified = items[key]
    return {'key': key, 'value': base64.b64encode(value).decode(),
            'revision': modified, 'created': modified, 'lease': 0}


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def log_message(self, *_):
        pass

    def reply(self, body, status=200):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def refused(self):
        how = turned_away.get(self.server.server_address[1])
        if how == 'busy':
            self.reply({}, 503)
        if how == 'silent':
            threading.Event().wait()
        return how is not None

    def do_GET(self):
        if self.refused():
            return
        url = urllib.parse.urlparse(self.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        if url.path == '/api/kv-range':
            with state:
                found = [item(k) for k in sorted(items)
                         if k.startswith(query['prefix'])]
                body = {'items': found, 'more_pages': False,
                        'current_rev': revision}
            return self.reply(body)
        if url.path == '/api/kv-key':
            with state:
                body = item(query['key']) if query['key'] in items else None
                if body:
                    body['current_rev'] = revision
            return self.reply(body or {}, 200 if body else 404)
        if url.path != '/api/kv-watch':
            return self.reply({}, 404)
        end = time.monotonic() + int(query['wait_ms']) / 1000
        with state:
            while True:
                events = [item(k) for k, (_, at) in items.items()
                          if k.startswith(query['prefix'])
                          and at > int(query['after'])]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                state.wait(left)
            body = {'events': events, 'current_rev': revision}
        if not self.refused():
            self.reply(body)

    def do_POST(self):
        global revision, leases
        length = int(self.headers.get('Content-Length', 0))
        body = json.loads(self.rfile.read(length) or b'{}')
        if self.refused():
            return
        if self.path == '/api/kv-lease':
            leases += 1
            return self.reply({'lease': leases, 'ttl_ms': 15000})
        if self.path != '/api/kv-txn':
            return self.reply({'ttl_ms': 15000})
        with state:
            for each in body['if_rev']:
                if items.get(each['key'], ('', 0))[1] != each['revision']:
                    return self.reply({'items': []}, 412)
            revision += 1
            for each in body['writes']:
                items[each['key']] = (base64.b64decode(each['value']), revision)
            for key in body['remove']:
                items.pop(key, None)
            state.notify_all()
        self.reply({'revision': revision})

    do_DELETE = do_GET


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *_):
        pass  # Daemons close connections that a stand-in still writes to.


def configuration(version):
    route = {'name': 'r', 'host': 'one', 'kind': 'primary', 'service': 's',
             'timeout_ms': 1000, 'latency_goal_ms': 200, 'priority': 1}
    return json.dumps({'version': version, 'routes': [route],
                       'services': [{'name': 's', 'max_conns': 20}],
                       'limits': {'tx_idle_ms': 3000}}).encode()


def settings(index):
    ip = f'127.77.{1 + index // 200}.{1 + index % 200}'
    store = f'{STORE}:{FIRST_PORT + index}'
    return (f'node: "front-{index}"\nzone: "z{index % 4}"\nip: "{ip}"\n'
            f'listen:\n  front: "{ip}:8784"\n  ready: "{ip}:8785"\n'
            'internal_ports: [7440, 7455]\n'
            f'platform:\n  addr: "{store}"\ncloud_api:\n  addr: "{store}"\n'
            f'bounds:\n  grace_s: 6\n  config_apply_ms: {APPLY_MS}\n')


def in_force(log, version):
    with open(log, errors='replace') as lines:
        return any(f'configuration_in_force version={version} ' in line
                   for line in lines)


def summary(times, of):
    found = sorted(times[i] for i in of if i in times)
    if not found:
        return f'{len(of)} instances, none in {OBSERVED_S} s'
    return (f'{len(of)} instances, {len(found)} in force, '
            f'median {found[len(found) // 2]:.2f}, last {found[-1]:.2f} s')


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument('old')
    parser.add_argument('new')
    parser.add_argument('--instances', type=int, default=8)
    parser.add_argument('--share-away', type=float, default=0.5)
    options = parser.parse_args()
    count = options.instances
    away = range(int(count * options.share_away))
    put('op/config', configuration(2))
    for index in range(count):
        server = Server((STORE, FIRST_PORT + index), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
    folder = tempfile.mkdtemp()
    logs = [os.path.join(folder, f'{index}.log') for index in range(count)]
    daemons = []
    try:
        for index in range(count):
            path = os.path.join(folder, f'{index}.yaml')
            with open(path, 'w') as file:
                file.write(settings(index))
            program = options.new if index % 2 else options.old
            daemons.append(subprocess.Popen(
                [program, '--settings', path], stdout=open(logs[index], 'w'),
                stderr=subprocess.STDOUT))
        while not all(in_force(log, 2) for log in logs):
            time.sleep(0.1)
        time.sleep(8)  # The list of instances settles.
        for how, version in (('busy', 4), ('silent', 6)):
            for index in away:
                turned_away[FIRST_PORT + index] = how
            time.sleep(2)  # Watches that were open have ended or hang.
            put('op/config', configuration(version))
            began, times = time.monotonic(), {}
            while time.monotonic() - began < OBSERVED_S:
                for index in set(range(count)) - set(times):
                    if in_force(logs[index], version):
                        times[index] = time.monotonic() - began
                time.sleep(0.02)
            print(f'{how}: turned away, new:', summary(
                times, [i for i in away if i % 2]))
            print(f'{how}: turned away, old:', summary(
                times, [i for i in away if i % 2 == 0]))
            print(f'{how}: others:', summary(
                times, [i for i in range(count) if i not in away]))
            turned_away.clear()
            time.sleep(6)
        texts = [open(log, errors='replace').read() for log in logs]
        print('messages dropped:',
              sum(text.count('event=peer_message_dropped') for text in texts))
        print('copies received:',
              sum(text.count('outcome=received') for text in texts))
    finally:
        for each in daemons:
            each.kill()


if __name__ == '__main__':
    main()
