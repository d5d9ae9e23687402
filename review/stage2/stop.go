//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// streamResult is what a client saw of a stream.
type streamResult struct {
	status   int
	events   int
	complete bool
	took     time.Duration
	err      error
}

// newClient returns a client that opens a connection for each request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

// openStream sends a streaming request to a host. events is the number of events that the server will send.
func (w *world) openStream(ctx context.Context, c *http.Client, h *host, id string, events int, budget time.Duration) streamResult {
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.front+"/stream/"+strconv.Itoa(events), strings.NewReader("prompt of "+id))
	if err != nil {
		return streamResult{err: err}
	}
	req.Host = hostName
	req.Header.Set(hID, id)
	req.Header.Set(hDeadline, strconv.FormatInt(budget.Milliseconds(), 10))
	w.log.addf("send %s to %s, %d events", id, h.name, events)
	r := streamResult{}
	resp, err := c.Do(req)
	if err != nil {
		r.err, r.took = err, time.Since(began)
		w.log.addf("%s: no answer after %d ms: %v", id, r.took.Milliseconds(), err)
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	r.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			r.events++
		}
	}
	r.err, r.took = lines.Err(), time.Since(began)
	if r.err == nil {
		_, r.err = io.Copy(io.Discard, resp.Body)
	}
	r.complete = r.err == nil && (r.status != http.StatusOK || r.events == events)
	w.log.addf("%s: status %d, %d of %d events, complete %t, after %d ms (%v)", id, r.status, r.events, events, r.complete, r.took.Milliseconds(), r.err)
	return r
}

// eventsInPath reads the length of a stream from its path.
func eventsInPath(r *http.Request) int {
	n, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	return n
}

const (
	// eventGap is the time between two events of a stream.
	eventGap = 80 * time.Millisecond
	// usualEvents is the usual length of a stream, longEvents that of the longest twelfth (5 times as long).
	usualEvents = 9
	longEvents  = 45
	// streamInterval is the time between two streams at a host, longStream the stream after SIGTERM that is a long one.
	streamInterval = 750 * time.Millisecond
	longStream     = 6
)

// stopCase: a planned stop of one host while clients that still know its address send streams.
func stopCase(w *world, trouble bool) (verdict, error) {
	w.store.put("config", "main", baseConfig(1))
	w.addHosts(3)
	for i := range 4 {
		s := &server{id: fmt.Sprintf("c-%d", i+1), service: "chat", zone: w.hosts[i%3].zone, slots: 8, gap: eventGap, events: eventsInPath}
		if err := w.addServer(s); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startHosts(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	client, ctx := newClient(), context.Background()
	var all sync.WaitGroup
	for i := range 8 {
		for j, h := range w.hosts {
			all.Go(func() { w.openStream(ctx, client, h, fmt.Sprintf("before-%d-%d", i, j), usualEvents, 12*time.Second) })
		}
		time.Sleep(streamInterval)
	}
	all.Wait()
	target := w.hosts[0]
	stopped := time.Now()
	if trouble {
		target.signal(syscall.SIGTERM)
	}
	cut := make(chan string, 100)
	// Clients use an answer of the directory for ttl_s, some of them three times as long.
	for i := range 8 {
		time.Sleep(time.Until(stopped.Add(time.Duration(i) * streamInterval)))
		events := usualEvents
		if i == longStream {
			events = longEvents
		}
		sent := time.Since(stopped)
		all.Go(func() {
			r := w.openStream(ctx, client, target, fmt.Sprintf("stop-%d", i), events, 12*time.Second)
			if r.status == http.StatusOK && !r.complete && sent > 3*time.Second {
				cut <- fmt.Sprintf("stop-%d was sent %d ms after SIGTERM, and its answer ended after %d of %d events and %d ms",
					i, sent.Milliseconds(), r.events, events, r.took.Milliseconds())
			}
		})
	}
	all.Wait()
	if p, done := target.process(); trouble && p != nil {
		select {
		case <-done:
		case <-time.After(time.Until(stopped.Add(gracePeriod))):
			target.kill()
		}
	}
	close(cut)
	var found []string
	for c := range cut {
		found = append(found, c)
	}
	if len(found) > 0 {
		return verdict{true, strings.Join(found, "; ")}, nil
	}
	return verdict{false, "all streams ended whole or were refused"}, nil
}
