package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamPath    = "/drafts/"
	streamEvents  = 80
	eventInterval = 40 * time.Millisecond
)

// modelServer is a process of its own, which the test kills: a server that answers with a stream of
// events. The answer has no length and ends with its connection. Each event is written in two parts, as
// its data is generated after its id is known.
func modelServer(id, address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go serveStream(c, id)
	}
}

func serveStream(c net.Conn, server string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Oleanderfall-Request-Id")
	if want := r.Header.Get("Oleanderfall-Expected-Instance"); want != server {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nOleanderfall-Request-Id: %s\r\nOleanderfall-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nOleanderfall-Request-Id: %s\r\n"+
		"Oleanderfall-Response-Stamp: %s\r\nOleanderfall-Weight-Versions: 1\r\nConnection: close\r\n\r\n", id, stamp(server, id))
	for n := 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(c, "id: %d\n", n); err != nil {
			return
		}
		time.Sleep(eventInterval / 2)
		if _, err := fmt.Fprintf(c, "data: %s\n\n", eventData(id, n)); err != nil {
			return
		}
		time.Sleep(eventInterval / 2)
	}
}

func eventData(id string, n int) string { return fmt.Sprintf("%s word %d of %d", id, n, streamEvents) }

// wholeStream returns the body of a complete stream.
func wholeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, eventData(id, n))
	}
	return b.String()
}

// modelProcess is a running modelServer.
type modelProcess struct {
	id, address string
	cmd         *exec.Cmd
}

func startModel(id string) (*modelProcess, error) {
	port, err := freePort("127.0.0.1")
	if err != nil {
		return nil, err
	}
	p := &modelProcess{id: id, address: "127.0.0.1:" + strconv.Itoa(port)}
	p.cmd = exec.Command(os.Args[0], "model-server", p.id, p.address)
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	addChild(p.cmd.Process)
	return p, nil
}

func (p *modelProcess) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// streamModels is the number of model servers, streamConsumers that of consumers, which begin
// streamOffset one after the other.
const (
	streamModels    = 6
	streamConsumers = 48
	streamOffset    = 7 * time.Millisecond
)

// cutStream kills one of six model servers while it answers streams. It checks that no consumer gets as
// complete a stream that ends within an event.
func cutStream(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(2, rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.configure([]route{{name: "drafts", path: streamPath, kind: "streaming", service: "models", timeout: 10 * time.Second, attempts: 2}})
	var models []*modelProcess
	for i := range streamModels {
		m, err := startModel(fmt.Sprintf("m-%d", i+1))
		if err != nil {
			return false, err
		}
		models = append(models, m)
		defer m.kill()
		f.store.put("servers", m.id, map[string]any{"service": "models", "address": m.address, "zone": zoneOf(i), "version": "v1",
			"slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.waitReady(streamPath+"probe", 30*time.Second); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var wrong []string
	var consumers sync.WaitGroup
	for i := range streamConsumers {
		time.Sleep(streamOffset)
		h := f.hosts[i%len(f.hosts)]
		consumers.Go(func() {
			if w := readStream(rec, h); w != "" {
				mu.Lock()
				defer mu.Unlock()
				wrong = append(wrong, w)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		rec.add("server", models[0].id, "is killed")
		models[0].kill()
		f.store.remove("servers", models[0].id)
	}
	consumers.Wait()
	rec.add("streams that ended as complete within an event:", strconv.Itoa(len(wrong)))
	for _, w := range wrong {
		rec.add("  ", w)
	}
	return len(wrong) > 0, nil
}

// readStream reads one stream. It returns a text if the rule is broken.
func readStream(rec *record, h *host) string {
	c, err := net.DialTimeout("tcp4", h.callers, time.Second)
	if err != nil {
		rec.add("consumer could not connect to", h.name)
		return ""
	}
	defer func() { _ = c.Close() }()
	r := request{id: newID("s"), path: streamPath + "one", body: "draft", budget: 10 * time.Second}
	rec.add("consumer sends", r.id, "to", h.name)
	a, _ := send(c, bufio.NewReader(c), r)
	body := string(a.body)
	switch {
	case a.err != nil:
		rec.add("consumer's stream", r.id, "ended as incomplete:", a.err.Error())
	case a.status != http.StatusOK:
		rec.add("consumer gets", strconv.Itoa(a.status), "for", r.id)
	case body == wholeStream(r.id):
		rec.add("consumer gets the whole stream", r.id, "of", a.header.Get("Oleanderfall-Response-Stamp"))
	case strings.HasSuffix(body, "\n\n"):
		rec.add("consumer's stream", r.id, "ended as complete after event", strconv.Itoa(strings.Count(body, "id: ")), "of", strconv.Itoa(streamEvents))
	default:
		last := body[strings.LastIndex(body, "\n\n")+2:]
		return fmt.Sprintf("%s with status 200 and %s ended as complete after %q, the beginning of event %d of %d",
			r.id, a.header.Get("Oleanderfall-Response-Stamp"), last, strings.Count(body, "id: "), streamEvents)
	}
	return ""
}
