package front

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
)

// The test of this file guards against answers of peers that are cut at any byte and taken for complete, or for a proof that
// a request was not sent to an endpoint.

// cuttingPeer sends the first bytes of an answer, and closes the connection unless these are all of them.
type cuttingPeer struct {
	answer   string
	peers    *Peers
	address  string
	sequence uint64

	mu    sync.Mutex
	at    int
	reset bool
	calls int
}

func (p *cuttingPeer) cut(at int, reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at, p.reset, p.calls = at, reset, 0
}

func (p *cuttingPeer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for in := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		p.mu.Lock()
		at, reset := p.at, p.reset
		p.calls++
		p.mu.Unlock()
		_, _ = io.WriteString(conn, p.answer[:at])
		if at == len(p.answer) {
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		return
	}
}

// start listens for calls and returns the known hosts, among which the peer is h2, and its address.
func (p *cuttingPeer) start(t *testing.T) (*Peers, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	p.peers, p.address = NewPeers(presence.Member{Host: "h1"}, 0), l.Addr().String()
	return p.peers, p.address
}

// heartbeat keeps the peer among the live hosts.
func (p *cuttingPeer) heartbeat() {
	p.sequence++
	p.peers.table.Receive(time.Now(), presence.Heartbeat{Member: presence.Member{Host: "h2", Incarnation: 1, PeerAddress: p.address}, Sequence: p.sequence})
}

// maxUnreached is how often a call that did not reach the server is sent again. When the processors are busy, a dial may time out.
const maxUnreached = 5

// send sends a call whose answer ends after at bytes, and returns its outcome and the number of calls that arrived.
func (p *cuttingPeer) send(send func() (string, error), at int, reset bool) (got string, calls int, err error) {
	for range maxUnreached {
		p.heartbeat()
		p.cut(at, reset)
		got, err = send()
		p.mu.Lock()
		calls = p.calls
		p.mu.Unlock()
		if calls > 0 {
			break
		}
	}
	return got, calls, err
}

// encodedParts returns the body of a relay's answer.
func encodedParts(t *testing.T, parts ...*relayedPart) string {
	var out bytes.Buffer
	w := &partWriter{parts: cbor.NewEncoder(&out), flush: func() error { return nil }}
	for _, p := range parts {
		if err := w.write(p); err != nil {
			t.Fatal(err)
		}
	}
	return out.String()
}

// peerCutCall is a call to a peer. client returns a function that sends it and returns what its caller got.
type peerCutCall struct {
	header, body, want string
	client             func(peers *Peers, address string) func() (string, error)
	// relayed is set for requests to endpoints.
	relayed bool
	// repeats is set if net/http may send the call again.
	repeats bool
	// headSuffices is set if the head alone is the answer, namesEnd if the body itself says where it ends.
	headSuffices, namesEnd bool
}

func relayedCutCall(body, want string, send func(r *endpointRelays, g backend.GenerateRequest) (string, error)) peerCutCall {
	return peerCutCall{body: body, want: want, relayed: true, namesEnd: true, client: func(peers *Peers, _ string) func() (string, error) {
		relays := newEndpointRelays(Settings{Host: "h1"}, peers, prometheus.NewRegistry())
		return func() (string, error) {
			return send(relays, backend.GenerateRequest{Request: backend.Request{ID: "r", Method: http.MethodPost, Deadline: time.Now().Add(time.Second)}})
		}
	}}
}

func plainCutCall(body, want string, send func(c *PeerClient) (string, error)) peerCutCall {
	return peerCutCall{body: body, want: want, repeats: true, client: func(peers *Peers, _ string) func() (string, error) {
		c := NewPeerClient(peers, 1000)
		return func() (string, error) { return send(c) }
	}}
}

func storeCutCall(header, body, want string, send func(c objectapi.API) (string, error)) peerCutCall {
	return peerCutCall{header: header, body: body, want: want, repeats: true, client: func(_ *Peers, address string) func() (string, error) {
		c := NewStorePath(nil, nil, nil).relayClient(address)
		return func() (string, error) { return send(c) }
	}}
}

func peerCutCalls(t *testing.T) map[string]peerCutCall {
	head, end := &relayedPart{Head: &relayedHead{Status: http.StatusOK, Signature: "signed"}}, &relayedPart{End: &relayedEnd{}}
	first, second := &relayedPart{Chunk: []byte("id: 1\n\n")}, &relayedPart{Chunk: []byte("id: 2\n\n")}
	roster := []presence.RosterEntry{{Member: presence.Member{Host: "h2"}}, {Member: presence.Member{Host: "h3"}}}
	rosterBody, err := cbor.Marshal(roster)
	if err != nil {
		t.Fatal(err)
	}
	put := storeCutCall(objectapi.VersionHeader+": 12\r\n", "ok", "12", func(c objectapi.API) (string, error) {
		version, err := c.Put(background, "things/a", []byte("v"), 11)
		return fmt.Sprint(version), err
	})
	put.repeats, put.headSuffices = false, true
	list := storeCutCall("", `{"objects":[{"key":"things/a"},{"key":"things/b"}],"revision":12}`, "2 12", func(c objectapi.API) (string, error) {
		page, err := c.List(background, "things/", "", 10)
		return fmt.Sprintf("%d %d", len(page.Objects), page.Revision), err
	})
	list.namesEnd = true
	return map[string]peerCutCall{
		"request": relayedCutCall(encodedParts(t, head, first, second, end), "id: 1\n\nid: 2\n\n", func(r *endpointRelays, g backend.GenerateRequest) (string, error) {
			a, err := r.do(background, g.Request)
			if err != nil {
				return "", err
			}
			return string(a.Body), nil
		}),
		"stream": relayedCutCall(encodedParts(t, head, first, second, end), "id: 1\n\nid: 2\n\n", func(r *endpointRelays, g backend.GenerateRequest) (string, error) {
			var out strings.Builder
			err := r.stream(background, g, func(*backend.Answer) error { return nil }, func(b []byte) error { out.Write(b); return nil })
			return out.String(), err
		}),
		"sample": relayedCutCall(encodedParts(t, &relayedPart{Event: &backend.Event{ID: 1, Data: "a"}}, &relayedPart{Event: &backend.Event{ID: 2, Data: "b"}}, end), "ab",
			func(r *endpointRelays, g backend.GenerateRequest) (string, error) {
				var out strings.Builder
				err := r.generate(background, g, func(e backend.Event) error { out.WriteString(e.Data); return nil })
				return out.String(), err
			}),
		"body of a sample": plainCutCall("content of a sample", "content of a sample", func(c *PeerClient) (string, error) {
			body, err := c.Body(background, "h2", "", "b1", "s1")
			return string(body), err
		}),
		"roster": plainCutCall(string(rosterBody), "h2 h3", func(c *PeerClient) (string, error) {
			got, err := c.Roster(background, "h2")
			if err != nil || len(got) != 2 {
				return fmt.Sprint(got), err
			}
			return got[0].Member.Host + " " + got[1].Member.Host, nil
		}),
		"refused batch": plainCutCall(submitConflict, "refused", func(c *PeerClient) (string, error) {
			err := c.Submit(background, "h2", []byte("content"))
			if errors.Is(err, errPeerUnreachable) {
				t.Errorf("a batch that reached its host is said not to have: %v", err)
			}
			if err != nil && strings.Contains(err.Error(), "other content") {
				return "refused", nil
			}
			return "accepted", err
		}),
		"object": storeCutCall(objectapi.VersionHeader+": 12\r\n", "value of an object", "12 value of an object", func(c objectapi.API) (string, error) {
			o, err := c.Get(background, "things/a")
			return fmt.Sprintf("%d %s", o.Version, o.Value), err
		}),
		"objects": list,
		"write":   put,
	}
}

// An answer of a peer that is cut at any byte, with a length or in chunks, is incomplete: a request or a write may have taken effect.
func TestCutAnswer_OfAPeerIsIncomplete(t *testing.T) {
	for name, call := range peerCutCalls(t) {
		for _, chunks := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				for _, reset := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/chunks=%v/kept=%v/reset=%v", name, chunks, kept, reset), func(t *testing.T) {
						t.Parallel()
						testPeerCut(t, &call, chunks, kept, reset)
					})
				}
			}
		}
	}
}

func testPeerCut(t *testing.T, call *peerCutCall, chunks, kept, reset bool) {
	t.Helper()
	head := "HTTP/1.1 200 OK\r\n" + call.header + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(call.body))
	p := &cuttingPeer{answer: head + call.body}
	if chunks {
		head = "HTTP/1.1 200 OK\r\n" + call.header + "Transfer-Encoding: chunked\r\n\r\n"
		p.answer = head + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(call.body), call.body)
	}
	send := call.client(p.start(t))
	for at := range p.answer {
		if kept {
			if got, _, err := p.send(send, len(p.answer), false); err != nil || got != call.want {
				t.Fatalf("complete answer: %q, %v", got, err)
			}
		}
		got, calls, err := p.send(send, at, reset)
		if calls != 1 && !(call.repeats && kept && calls == 2) {
			t.Errorf("cut after %d bytes: %d calls", at, calls)
		}
		ended := call.headSuffices && at >= len(head) || call.namesEnd && strings.Contains(p.answer[:at], call.body)
		switch {
		case err == nil && (!ended || got != call.want):
			t.Errorf("cut after %d of %d bytes, head of %d: got %q as complete", at, len(p.answer), len(head), got)
		case err != nil && ended && !reset:
			t.Errorf("cut after %d of %d bytes, head of %d: %v", at, len(p.answer), len(head), err)
		case err != nil && call.relayed && (!errors.Is(err, backend.ErrIncompleteAnswer) || errors.Is(err, backend.ErrNotRun)):
			t.Errorf("cut after %d of %d bytes: %v does not say that the request may have run", at, len(p.answer), err)
		case err != nil && call.header != "" && !objectapi.Unresolved(err):
			t.Errorf("cut after %d of %d bytes: %v does not say that the write may have taken effect", at, len(p.answer), err)
		}
	}
}
