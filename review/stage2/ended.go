//go:build review

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// call sends a call of a trainer on a new connection and returns the status, 0 without an answer.
func (w *world) call(c *http.Client, h *host, method, path, id string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = hostName
	if id != "" {
		req.Header.Set(hID, id)
		req.Header.Set("Content-Type", "application/json")
	}
	began := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		w.log.addf("%s %s at %s: no answer after %d ms: %v", method, path, h.name, time.Since(began).Milliseconds(), err)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		raw = nil
	}
	w.log.addf("%s %s at %s: %d after %d ms", method, path, h.name, resp.StatusCode, time.Since(began).Milliseconds())
	return resp.StatusCode, raw
}

func itemID(batch string, i int) string { return fmt.Sprintf("%si%03d", batch, i) }

// newBatch returns the body of a batch submission with n items of the given size. Their lengths spread around a mean.
func newBatch(id string, minVersion, n, size, events int) []byte {
	items := []map[string]any{}
	body := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("prompt "), size/7+1)[:size])
	for i := range n {
		items = append(items, map[string]any{
			"id": itemID(id, i), "path": "/roll/" + strconv.Itoa(events/2+1+i*7%events), "body": body, "tokens": 900, "group": fmt.Sprintf("%sg%d", id, i/4),
			"headers": map[string]string{"Oleanderfall-Model": modelA, "Oleanderfall-Token-Counts": "540,400"},
		})
	}
	raw, err := json.Marshal(map[string]any{"step": 0, "model": modelA, "min_version": minVersion, "desired_count": n / 4 * 9 / 10, "items": items})
	if err != nil {
		panic(err)
	}
	return raw
}

const (
	// endedItems and endedEvents are the size of the batch.
	endedItems  = 96
	endedEvents = 16
	itemBytes   = 600
	// slowAnswer is the time that an answer of the store takes while it is slow, 60 times as long as usual. It is so
	// from slowDelay after the loss of power on, for slowTime.
	slowAnswer = 240 * time.Millisecond
	slowDelay  = 500 * time.Millisecond
	slowTime   = 2600 * time.Millisecond
)

// endedCase: the host that runs a batch loses power while the store is slow, and the trainer ends the batch while
// another host takes it over. Items must not reach servers later than cancelTime after the answer to the end, from stability
// after the store is as usual again.
func endedCase(w *world, trouble bool) (verdict, error) {
	w.store.put("config", "main", baseConfig(1))
	w.addHosts(3)
	for i := range 2 {
		s := &server{id: fmt.Sprintf("i-%d", i+1), service: "models", zone: w.hosts[i].zone, slots: 4, gap: eventGap,
			models: map[string]int{modelA: 1}, events: eventsInPath}
		if err := w.addServer(s); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startHosts(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	client := newClient()
	const id = "b1"
	if status, _ := w.call(client, w.hosts[0], http.MethodPost, "/roll/"+id, id, newBatch(id, 1, endedItems, itemBytes, endedEvents)); status != http.StatusAccepted {
		return verdict{}, fmt.Errorf("%w: submission answered %d", errCannotRun, status)
	}
	owner := w.named(w.store.get("batches", id), "owner")
	if owner == nil {
		return verdict{}, fmt.Errorf("%w: no owner", errCannotRun)
	}
	w.log.addf("%s runs the batch", owner.name)
	time.Sleep(2 * time.Second)
	taken := make(chan *host, 1)
	var once atomic.Bool
	w.store.onWrite = func(kind, name string, o *object) {
		if kind == "batches" && name == id {
			if h := w.named(o, "owner"); h != owner && once.CompareAndSwap(false, true) {
				taken <- h
			}
		}
	}
	next, stable := owner, time.Now()
	if trouble {
		w.log.addf("%s loses power", owner.name)
		owner.kill()
		time.AfterFunc(slowDelay, func() {
			w.log.addf("the store is slow")
			w.store.delay.Store(int64(slowAnswer))
		})
		time.AfterFunc(slowDelay+slowTime, func() {
			w.log.addf("the store is as usual")
			w.store.delay.Store(int64(usualAnswer))
		})
		stable = time.Now().Add(slowDelay + slowTime + stability)
		time.AfterFunc(3500*time.Millisecond, func() { _ = owner.start(false) })
		select {
		case next = <-taken:
			w.log.addf("%s takes the batch over", next.name)
		case <-time.After(6 * time.Second):
			return verdict{}, fmt.Errorf("%w: no other host took the batch over", errCannotRun)
		}
	}
	var other *host
	for _, h := range w.hosts {
		if h != owner && h != next {
			other = h
		}
	}
	status := 0
	for range 5 {
		if status, _ = w.call(client, other, http.MethodDelete, "/v1/lots/"+id, "", nil); status == http.StatusOK {
			break
		}
	}
	ended := time.Now()
	if status != http.StatusOK {
		return verdict{}, fmt.Errorf("%w: the end was answered %d", errCannotRun, status)
	}
	w.log.addf("the end of the batch is confirmed")
	time.Sleep(14 * time.Second)
	from := ended.Add(cancelTime)
	if stable.After(from) {
		from = stable
	}
	late, last := lateRuns(w.servers, id, from)
	if late > 0 {
		return verdict{true, fmt.Sprintf("%d items reached servers and ran later than %d ms after the confirmed end, %d ms after which the store was stable, the last one after %d ms",
			late, cancelTime.Milliseconds(), stable.Sub(ended).Milliseconds(), last.Sub(ended).Milliseconds())}, nil
	}
	return verdict{false, "no item ran later than cancel_ms after the confirmed end"}, nil
}

// lateRuns returns the number of runs of a batch's items that began after a time, and when the last one did.
func lateRuns(servers []*server, id string, from time.Time) (late int, last time.Time) {
	for _, s := range servers {
		for _, a := range s.runs() {
			if !strings.HasPrefix(a.ID, id) || !a.At.After(from) {
				continue
			}
			late++
			if a.At.After(last) {
				last = a.At
			}
		}
	}
	return late, last
}
