package ctl

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

type statusCommand struct{}

// Run prints the state of the installation as seen by the replying control program. Hosts
// that it shows below the newest generation are queried directly.
func (c *statusCommand) Run(e *env) error {
	var s wire.StatusReply
	if err := e.do(wire.MethodStatus, wire.StatusRequest{}, &s); err != nil {
		return err
	}
	newest := s.View.Generation
	for _, h := range s.Hosts {
		newest = max(newest, h.Generation)
	}
	if conn, err := e.connect(); err == nil {
		conn.queryLaggingHosts(e.ctx, &s, newest)
		conn.close()
	}
	s.View.Config = nil // The get command prints the configuration.
	return e.print(s, func(w io.Writer) { printStatus(w, s) })
}

func printStatus(w io.Writer, s wire.StatusReply) {
	fmt.Fprintf(w, "as seen by host %s: generation %d in force", s.Host, s.View.Generation)
	if s.View.OutageFor > 0 {
		fmt.Fprintf(w, "; the object API has not answered for %s", s.View.OutageFor)
	}
	fmt.Fprintln(w)
	printHosts(w, s)
	printShards(w, s.Shards)
	printEndpoints(w, s)
}

func printHosts(w io.Writer, s wire.StatusReply) {
	generations := generationsOf(s)
	members := slices.Clone(s.View.Members)
	slices.SortFunc(members, func(a, b model.Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nHOST\tZONE\tSTATE\tGENERATION\tCONTROL")
	for _, m := range members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", m.Host, m.Zone, m.State, generations[m.Host], m.Control)
	}
	_ = table.Flush()
}

func printShards(w io.Writer, shards []wire.ShardStatus) {
	if len(shards) == 0 {
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nSHARD\tHOLDER\tEPOCH")
	for _, s := range shards {
		fmt.Fprintf(table, "%s\t%s\t%d\n", s.Shard, s.Owner, s.Epoch)
	}
	_ = table.Flush()
}

func printEndpoints(w io.Writer, s wire.StatusReply) {
	if len(s.Endpoints) == 0 {
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nENDPOINT\tREACHED\tVERSION\tLEAVING")
	for _, e := range s.Endpoints {
		fmt.Fprintf(table, "%s\t%t\t%d\t%s\n", e.Endpoint, e.Reachable, e.Version, drainState(s, e))
	}
	_ = table.Flush()
}

// drainState returns "yes" or "no", and for a drain in force also its source.
func drainState(s wire.StatusReply, e wire.EndpointStatus) string {
	for _, d := range s.View.Drains {
		if d.Endpoint == e.Endpoint {
			return "yes, by " + string(d.Source)
		}
	}
	if e.Draining {
		return "yes"
	}
	return "no"
}
