package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

// answer is the end of a consumer attempt.
type answer struct {
	status int
	body   []byte
	header http.Header
	// err says how the connection ended without a complete answer.
	err error
}

// request is a consumer attempt.
type request struct {
	id, path, body string
	budget         time.Duration
}

// send sends a request on a connection and reads the answer. It reports whether the connection can be
// used again.
func send(c net.Conn, in *bufio.Reader, r request) (answer, bool) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nOleanderfall-Request-Id: %s\r\nOleanderfall-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		r.path, routeHost, r.id, r.budget.Milliseconds(), len(r.body), r.body)
	_ = c.SetDeadline(time.Now().Add(r.budget))
	if _, err := io.WriteString(c, head); err != nil {
		return answer{err: err}, false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return answer{err: err}, false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{status: resp.StatusCode, err: err}, false
	}
	return answer{status: resp.StatusCode, body: body, header: resp.Header}, !resp.Close
}

// timedOut reports whether a consumer attempt ended because its time was over.
func (a answer) timedOut() bool {
	var n net.Error
	return errors.As(a.err, &n) && n.Timeout()
}

// resolver asks the directory which front addresses to use, and keeps an answer for keep.
type resolver struct {
	fleet *fleet
	zone  string
	keep  time.Duration

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// get returns the addresses that may be used now.
func (r *resolver) get() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.until) {
		return r.addresses
	}
	client := http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(r.fleet.hosts)) {
		resp, err := client.Get("http://" + r.fleet.hosts[i].directory + "/v1/resolution?" +
			url.Values{"name": {routeHost}, "region": {"cairo"}, "zone": {r.zone}}.Encode())
		if err != nil {
			continue
		}
		var a struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&a)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && len(a.Addresses) > 0 {
			r.addresses, r.until = a.Addresses, time.Now().Add(r.keep)
			break
		}
	}
	return r.addresses
}

// hostAt returns the host that serves consumers at an address.
func (f *fleet) hostAt(address string) *host {
	for _, h := range f.hosts {
		if h.callers == address {
			return h
		}
	}
	return nil
}

// waitReady waits until all hosts are ready and serve a probe of a path.
func (f *fleet) waitReady(path string, limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ready := 0
		for _, h := range f.hosts {
			c, err := net.DialTimeout("tcp4", h.callers, time.Second)
			if err != nil {
				break
			}
			a, _ := send(c, bufio.NewReader(c), request{id: newID("probe"), path: path, budget: 5 * time.Second})
			_ = c.Close()
			if a.status != http.StatusOK {
				break
			}
			ready++
		}
		if ready == len(f.hosts) {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the hosts did not become ready")
}

var (
	idMu sync.Mutex
	idNo int
)

func newID(prefix string) string {
	idMu.Lock()
	defer idMu.Unlock()
	idNo++
	return strings.ToLower(fmt.Sprintf("%s%06x%04x", prefix, idNo, rand.IntN(1<<16)))
}
