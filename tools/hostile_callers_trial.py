#!/usr/bin/env python3
"""Runs one daemon beside stand-ins of the platform's store and of a member,
with hostile callers on nearly all sessions and a few well-behaved ones.

    hostile_callers_trial.py PROGRAM [--memory-mb N] [--descriptors N]
        [--callers N] [--seconds S]

PROGRAM: turmericpitch-sessions. Twenty of the hostile callers read large rows
and take no replies. A third each of the others prepares statements that all
differ, sends parts of lines, or sends lines without taking replies. One that
is cut off connects again.
Prints the daemon's peak memory, what its metrics say, and how the well-behaved
callers were served.
"""
import argparse, collections, os, re, selectors, socket, subprocess, tempfile, threading, time
import urllib.request

import mixed_fleet_trial as fleet

HOST = '127.77.1.1'
MEMBER = ('127.77.0.201', 9100)
LARGE = b'v' * 100_000
PIECE = b'h' * 65_536


def serve_member(connection):
    """Answers each line; a read returns LARGE for the item 'large'."""
    lines = connection.makefile('rwb')
    for line in lines:
        words = line.decode(errors='replace').split()
        if not words or words[0] == 'TERMINATE':
            break
        rest = words[2:]
        if rest[:1] == ['AFTERLSN']:
            rest = rest[2:]
        if rest[:1] == ['STATUS']:
            lines.write(b'DATAROW primary 1 1.1 1 0 0 1\r\n')
        if rest[:1] == ['READ']:
            lines.write(b'DATAROW ' + (LARGE if rest[1] == 'large' else b'v')
                        + b'\r\n')
        if words[0] == 'QUERY':
            lines.write(b'COMPLETE signed\r\n')
        lines.write(b'READY I 1.1\r\n')
        lines.flush()


def run_member():
    listener = socket.create_server(MEMBER, backlog=256)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=guarded, args=(serve_member, connection),
                         daemon=True).start()


def guarded(work, *arguments):
    try:
        work(*arguments)
    except OSError:
        pass  # The peer has closed the connection.


def hostile_bytes(kind, round_number):
    """What a hostile caller sends next."""
    if kind == 0:
        return (b'QUERY p PREPARE s%d READ ' % round_number + PIECE[:50_000]
                + b'\r\n')
    if kind == 1:
        return PIECE if round_number else b'QUERY h WRITE x ' + PIECE
    if kind == 2:
        return b'QUERY r READ large\r\n' * 100
    return b'QUERY q SET x ' + PIECE[:1_000] + b'\r\n'


class Hostile:
    """Keeps the hostile callers' connections full."""

    def __init__(self, count, where):
        self.selector = selectors.DefaultSelector()
        self.where, self.cut_off, self.sent = where, 0, 0
        for number in range(count):
            self.connect(2 if number < 20 else (0, 1, 3)[number % 3])

    def connect(self, kind):
        connection = socket.socket()
        connection.setblocking(False)
        connection.connect_ex(self.where)
        self.selector.register(connection, selectors.EVENT_WRITE,
                               [kind, 0, b'STARTUP one hostile\r\n'])

    def run(self, until, too_large):
        """Sends until the time is over, or the daemon far beyond its limit."""
        while time.monotonic() < until and not too_large():
            for key, _ in self.selector.select(0.1):
                self.send(key)

    def send(self, key):
        kind, round_number, pending = key.data
        connection = key.fileobj
        try:
            count = connection.send(pending)
            if kind == 0:
                try:
                    connection.recv(65_536)  # Takes the replies.
                except BlockingIOError:
                    pass
        except BlockingIOError:
            return
        except OSError:
            self.cut_off += 1
            self.selector.unregister(connection)
            connection.close()
            self.connect(kind)
            return
        self.sent += count
        key.data[2] = pending[count:]
        if not key.data[2]:
            key.data[1] = round_number + 1
            key.data[2] = hostile_bytes(kind, round_number)


def well_behaved(where, until, results, ended=threading.Event()):
    """One statement after the other, each with its duration or its error."""
    while time.monotonic() < until and not ended.is_set():
        try:
            with socket.create_connection(where, timeout=5) as connection:
                lines = connection.makefile('rwb')
                lines.write(b'STARTUP one friendly\r\n')
                lines.flush()
                first = lines.readline()
                if not first.startswith(b'READY'):
                    results.append(first)
                    continue
                for number in range(100):
                    began = time.monotonic()
                    if began > until or ended.is_set():
                        return
                    lines.write((b'QUERY f%d WRITE item value\r\n',
                                 b'QUERY f%d READ small\r\n',
                                 b'QUERY f%d PREPARE s READ shape\r\n'
                                 )[number % 3] % number)
                    lines.flush()
                    reply = [lines.readline()]
                    while reply[-1] and not reply[-1].startswith(b'READY'):
                        reply.append(lines.readline())
                    good = any(x.startswith(b'COMPLETE') for x in reply)
                    if reply[-1]:
                        results.append(time.monotonic() - began if good
                                       else reply[0])
                    else:
                        results.append(b'connection closed')
                    if not good:
                        break
                    time.sleep(0.02)
        except OSError as failure:
            results.append(str(failure).encode())


def status_kib(process, name):
    with open(f'/proc/{process.pid}/status') as lines:
        for line in lines:
            if line.startswith(name + ':'):
                return int(line.split()[1])
    return 0


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument('program')
    parser.add_argument('--memory-mb', type=int, default=160)
    parser.add_argument('--descriptors', type=int, default=4300)
    parser.add_argument('--callers', type=int, default=2000)
    parser.add_argument('--seconds', type=float, default=60)
    options = parser.parse_args()
    fleet.put('op/config', fleet.configuration(2))
    fleet.put('servers/m1', (
        '{"service":"s","addr":"%s:%d","zone":"z0","version":"v1","slots":8,'
        '"state":"ready","cold_left_ms":0,"seq":1,"db_role":"primary"}'
        % MEMBER).encode())
    store = fleet.Server((fleet.STORE, fleet.FIRST_PORT), fleet.Handler)
    threading.Thread(target=store.serve_forever, daemon=True).start()
    threading.Thread(target=run_member, daemon=True).start()
    folder = tempfile.mkdtemp()
    path, log = (os.path.join(folder, name) for name in ('yaml', 'log'))
    with open(path, 'w') as file:
        file.write(fleet.settings(0) + f'limits:\n  memory_mb: '
                   f'{options.memory_mb}\n  max_fds: {options.descriptors}\n')
    daemon = subprocess.Popen([options.program, '--settings', path],
                              stdout=open(log, 'w'), stderr=subprocess.STDOUT)
    try:
        where = (HOST, 8784)
        results = []
        while not any(isinstance(x, float) for x in results):
            well_behaved(where, time.monotonic() + 0.5, results)
        before = status_kib(daemon, 'VmRSS')
        hostile = Hostile(options.callers, where)
        until = time.monotonic() + options.seconds
        results, friends, ended = [], [], threading.Event()
        for _ in range(10):
            friends.append(threading.Thread(target=well_behaved,
                                            args=(where, until, results,
                                                  ended)))
            friends[-1].start()
        hostile.run(until, lambda: status_kib(daemon, 'VmRSS') >
                    4 * 1024 * options.memory_mb)
        print(f'ended after {options.seconds - until + time.monotonic():.0f} s')
        alive = daemon.poll() is None
        print(f'daemon alive: {alive}')
        if alive:
            print(f'memory: {before / 1024:.1f} MiB before, '
                  f'{status_kib(daemon, "VmHWM") / 1024:.1f} MiB at the peak; '
                  f'limit {options.memory_mb} MiB')
            with urllib.request.urlopen(f'http://{HOST}:8785/metrics',
                                        timeout=10) as reply:
                for line in reply.read().decode().splitlines():
                    if 'session_memory' in line or 'table_entries' in line:
                        if not line.startswith('#'):
                            print(line)
        print(f'hostile: {options.callers} callers, {hostile.sent / 2**20:.0f}'
              f' MiB sent, cut off {hostile.cut_off} times')
        ended.set()
        for each in friends:
            each.join()
        times = sorted(x for x in results if isinstance(x, float))
        failures = [x for x in results if not isinstance(x, float)]
        print(f'well-behaved: {len(times)} statements served, '
              f'{len(failures)} not')
        if times:
            print(f'  median {times[len(times) // 2] * 1000:.1f} ms, p99 '
                  f'{times[len(times) * 99 // 100] * 1000:.1f} ms, longest '
                  f'{times[-1] * 1000:.1f} ms')
        kinds = collections.Counter(re.sub(rb'[0-9]+', b'N', x)
                                    for x in failures)
        for kind, count in kinds.most_common():
            print(f'  {count}: {kind.decode().strip()}')
    finally:
        daemon.kill()


if __name__ == '__main__':
    main()
