package front

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderfall.example/oleanderfall/internal/coordination/origins"
	"oleanderfall.example/oleanderfall/internal/coordination/placement"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
)

const (
	// originKeepers is the number of hosts that remember a stream besides the one that began it.
	originKeepers = 2
	// originLookups is the number of hosts that are asked for the origin of a stream: the
	// keepers, and those that hosts which have appeared since have displaced. In a fleet of up
	// to presence.FullMeshHosts all are asked.
	originLookups = 4
	// originFlushInterval is how long new origins are collected before they are sent to their
	// keepers.
	originFlushInterval = 20 * time.Millisecond
	// originLookupTimeout bounds the search for an origin at other hosts.
	originLookupTimeout = 250 * time.Millisecond
	// freshListTimeout bounds the wait for a list of endpoints that was read after a stream was
	// taken up. The list is read about twice a second.
	freshListTimeout = 1200 * time.Millisecond
	// freshListPollInterval is the interval at which that list is waited for.
	freshListPollInterval = 30 * time.Millisecond
	// readReportLag is how much later a read by another host may seem than it was.
	readReportLag = 20 * time.Millisecond
)

// errOriginUnknown means that the peer does not remember a stream.
var errOriginUnknown = errors.New("the peer does not know the origin of the stream")

// StreamOrigins remembers the origins of callers' streams together with the other hosts; see
// package origins.
type StreamOrigins struct {
	settings   Settings
	fleet      *Fleet
	peers      *Peers
	peerClient *PeerClient
	feed       *Feed
	software   *streamSoftware
	log        *slog.Logger

	mu    sync.Mutex
	table *origins.Table
	// unsent holds the new origins for each keeper.
	unsent map[string][]origins.Record
	// added receives a value when origins were added to unsent.
	added chan struct{}
}

func newStreamOrigins(s Settings, fleet *Fleet, peers *Peers, peerClient *PeerClient, feed *Feed, software *streamSoftware, log *slog.Logger) *StreamOrigins {
	return &StreamOrigins{settings: s, fleet: fleet, peers: peers, peerClient: peerClient, feed: feed, software: software, log: log,
		table: origins.NewTable(), unsent: map[string][]origins.Record{}, added: make(chan struct{}, 1)}
}

// Run sends new origins to their keepers until ctx ends.
func (o *StreamOrigins) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.added:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(originFlushInterval):
		}
		for host, records := range o.takeUnsent() {
			go func() {
				if err := o.peerClient.SendOrigins(ctx, host, records); err != nil {
					o.log.Info("Failed to send origins of streams", "host", host, "count", len(records), "err", err)
				}
			}()
		}
	}
}

func (o *StreamOrigins) takeUnsent() map[string][]origins.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	unsent := o.unsent
	o.unsent = map[string][]origins.Record{}
	return unsent
}

// mayBegin reports whether a stream may begin at a service and software version: only if the store
// records it, so that it is known also if all hosts are killed.
func (o *StreamOrigins) mayBegin(ctx context.Context, origin origins.Origin) bool {
	return o.software.record(ctx, origin)
}

// began remembers a stream whose first event is about to be passed on.
func (o *StreamOrigins) began(r origins.Record) {
	keepers := o.keepers(r.ID, originKeepers)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Add(time.Now(), r)
	for _, k := range keepers {
		o.unsent[k] = append(o.unsent[k], r)
	}
	select {
	case o.added <- struct{}{}:
	default: // a value is pending already
	}
}

// add remembers the streams that a peer sent.
func (o *StreamOrigins) add(records []origins.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		o.table.Add(time.Now(), r)
	}
}

func (o *StreamOrigins) get(id string) (origins.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Get(time.Now(), id)
}

// keepers returns the first n live peers by rendezvous hash of a stream's id.
func (o *StreamOrigins) keepers(id string, n int) []string {
	candidates := o.peers.Candidates()
	for i := range candidates {
		// Hosts that see these differently would not agree on the keepers.
		candidates[i].Ready, candidates[i].Draining, candidates[i].StoreReachable, candidates[i].CutOff, candidates[i].Hub = true, false, true, false, false
	}
	order := presence.SuccessionOrder("streams/"+id, candidates)
	return order[:min(n, len(order))]
}

// find returns the origin of the stream whose first event answered the request id. ok is false if
// it is not known; the stream must not be continued then. arrivedAt is the boot time at which the
// stream was taken up, and service the one that its route selects now.
func (o *StreamOrigins) find(ctx context.Context, id, service string, arrivedAt time.Duration) (origin origins.Origin, ok bool) {
	if id == "" || len(id) > origins.MaxIDBytes {
		return o.onlyOrigin(ctx, service, arrivedAt)
	}
	if origin, ok = o.get(id); ok {
		return origin, true
	}
	if origin, ok = o.askPeers(ctx, id); ok {
		o.add([]origins.Record{{ID: id, Origin: origin}})
		return origin, true
	}
	return o.onlyOrigin(ctx, service, arrivedAt)
}

// awaitCurrentList waits while this host is out of step with the others; see origins.View. It reports false if it is so for
// longer than a take-up can wait.
func (o *StreamOrigins) awaitCurrentList(ctx context.Context) bool {
	if !o.view().OutOfStep() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, freshListTimeout)
	defer cancel()
	for o.view().OutOfStep() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(freshListPollInterval):
		}
	}
	return true
}

func (o *StreamOrigins) view() origins.View {
	v := origins.View{}
	v.ListAge, v.NewerKnown = o.feed.listAge()
	v.KnownHosts, v.AliveHosts = o.peers.Known()
	return v
}

// askPeers asks other hosts for the origin of a stream at the same time.
func (o *StreamOrigins) askPeers(ctx context.Context, id string) (origins.Origin, bool) {
	n := originLookups
	if o.peers.Count() <= cmp.Or(o.settings.FullMeshHosts, presence.FullMeshHosts) {
		n = o.peers.Count()
	}
	hosts := o.keepers(id, n)
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	found := make(chan *origins.Origin, len(hosts))
	for _, host := range hosts {
		go func() {
			origin, err := o.peerClient.Origin(ctx, host, id)
			if err != nil {
				found <- nil
				return
			}
			found <- &origin
		}()
	}
	for range hosts {
		if origin := <-found; origin != nil {
			return *origin, true
		}
	}
	return origins.Origin{}, false
}

// onlyOrigin returns the service and software version of a stream that no host remembers, if all
// streams that may still be taken up began there: the store records no other one, and neither has this
// host seen one, up to a list of endpoints that was read after the stream was taken up.
func (o *StreamOrigins) onlyOrigin(ctx context.Context, service string, arrivedAt time.Duration) (origins.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, freshListTimeout)
	defer cancel()
	recorded, ok := o.software.only(ctx, arrivedAt)
	if !ok || recorded.Service != service {
		return origins.Origin{}, false
	}
	since := time.Now().Add(-origins.Retention)
	only := func() (software string, ok, seen bool) {
		o.fleet.WithTable(func(t *placement.Table) {
			software, ok = t.OnlySoftware(since, service)
			seen = t.SeenSince(since, service)
		})
		return software, ok, seen
	}
	for fresh := false; ; {
		software, ok, seen := only()
		switch {
		case !seen && !fresh: // a host that has just started may not have the list yet
		case !ok || software != recorded.Software:
			return origins.Origin{}, false
		case fresh:
			return recorded, true
		}
		// The list is applied shortly after its time is known, so it counts from the next round on.
		fresh = o.feed.EndpointsReadAt() > arrivedAt+readReportLag
		select {
		case <-ctx.Done():
			return origins.Origin{}, false
		case <-time.After(freshListPollInterval):
		}
	}
}

// unknownFor returns how long streams that no host remembers cannot be taken up: for origins.Retention
// if several versions may have begun them, and zero if only a read failed or is late, since the next
// one may succeed.
func (o *StreamOrigins) unknownFor() time.Duration {
	recorded, ok := o.software.recorded()
	if !ok {
		return 0
	}
	if only, ok := recorded.Only(); ok {
		software, one := "", false
		o.fleet.WithTable(func(t *placement.Table) {
			software, one = t.OnlySoftware(time.Now().Add(-origins.Retention), only.Service)
		})
		if one && software == only.Software {
			return 0
		}
	}
	return origins.Retention
}

// receive serves a peer's call SendOrigins.
func (o *StreamOrigins) receive(w http.ResponseWriter, r *http.Request) {
	if err := decodeCall(w, r, o.add); err != nil {
		http.Error(w, "no list of origins", http.StatusBadRequest)
	}
}

// answer answers a peer's call Origin: a list with the origin, or an empty one.
func (o *StreamOrigins) answer(w http.ResponseWriter, r *http.Request) {
	known := []origins.Origin{}
	if origin, ok := o.get(r.URL.Query().Get("id")); ok {
		known = append(known, origin)
	}
	writeAnswer(w, r, known)
}

// SendOrigins sends the origins of streams to a peer that remembers them.
func (c *PeerClient) SendOrigins(ctx context.Context, host string, records []origins.Record) error {
	raw, err := cbor.Marshal(records)
	if err != nil {
		return err
	}
	_, err = c.call(ctx, host, http.MethodPost, "/origins", raw, 0)
	return err
}

// Origin asks a peer for the origin of a stream. The error is errOriginUnknown if the peer does not
// remember it.
func (c *PeerClient) Origin(ctx context.Context, host, id string) (origins.Origin, error) {
	raw, err := c.call(ctx, host, http.MethodGet, "/origins?"+url.Values{"id": {id}}.Encode(), nil, 0)
	if err != nil {
		return origins.Origin{}, err
	}
	var known []origins.Origin
	if err := decoding.Unmarshal(raw, &known); err != nil {
		return origins.Origin{}, err
	}
	if len(known) == 0 {
		return origins.Origin{}, errOriginUnknown
	}
	return known[0], nil
}
