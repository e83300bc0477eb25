"""A model worker as a process of its own, so that it can be killed. Its streams have neither a length nor chunks: they
end with their connections. Prints what it runs; arguments: id, service, zone, ip, port, events, pause between events.
A line on its standard input tells it that it leaves; at the end of the input it finishes its streams and ends.
"""
import sys
import threading
import time

from workers import Worker, head_text, seal


class Printer:
    def line(self, text):
        sys.stdout.write(text + "\n")
        sys.stdout.flush()


class StreamWorker(Worker):
    def __init__(self, *args, events, pause_s):
        super().__init__(Printer(), *args)
        self.events = events
        self.pause_s = pause_s
        self.running = 0
        self.leaving = False

    def serve(self, request, connection):
        self.begin(request)
        self.running += 1
        try:
            fields = {"X-Request-Id": request.id, "X-Response-Seal": seal(request.id, b""),
                      "Content-Type": "text/event-stream", "Connection": "close"}
            if self.leaving:
                fields["Server-Leaving"] = "1"
            connection.sendall(head_text(200, "OK", fields))
            for number in range(1 + int(request.fields.get("last-event-id", 0)), self.events + 1):
                time.sleep(self.pause_s)
                connection.sendall(b"id: %d\ndata: piece %d of %d\n\n" % (number, number, self.events))
                self.record.line("worker %s makes piece %d of request %s" % (self.id, number, request.id))
            self.record.line("worker %s ends request %s after all %d pieces" % (self.id, request.id, self.events))
        finally:
            self.running -= 1
        return False


def main():
    worker_id, service, zone, ip, port, events, pause_s = sys.argv[1:]
    worker = StreamWorker(worker_id, service, zone, ip, int(port), events=int(events), pause_s=float(pause_s))
    worker.listen()
    Printer().line("listens")
    sys.stdin.readline()
    worker.leaving = True
    sys.stdin.read()
    while worker.running:
        time.sleep(0.05)


threading.excepthook = lambda *_: None
main()
