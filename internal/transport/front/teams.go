package front

import (
	"context"
	"net/url"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/resultcode"
	"oleanderfall.example/oleanderfall/internal/state/catalog"
	"oleanderfall.example/oleanderfall/internal/transport/teamkeys"
)

// Admit decides whether a caller's request may run, after it was read. route is nil for a call about a
// batch, which always needs a key. The error has a result code, and says that the request did not run.
func (n *Node) Admit(ctx context.Context, route *catalog.Route, credential teamkeys.Credential) (teamkeys.Admission, error) {
	if route == nil {
		return n.Keys.Admit(ctx, credential, false, maxKeyWait)
	}
	return n.Keys.Admit(ctx, credential, route.Public, KeyWait(route))
}

// forTeam returns the route for the requests of a team: with the team's urgency, if it has one.
func (f *Forwarder) forTeam(route *catalog.Route, team string) *catalog.Route {
	if team == "" {
		return route
	}
	urgency := min(max(f.keys.Urgency(team, route), 0), lowestUrgency)
	if urgency == route.Urgency {
		return route
	}
	own := *route
	own.Urgency = urgency
	return &own
}

// TeamBatches answers the calls of one team about batches. A batch of another team is answered like
// an absent one.
type TeamBatches struct {
	batches *Batches
	team    string
}

// ForTeam returns the calls of a team. An empty name stands for a deployment without teams, whose
// callers may access every batch.
func (s *Batches) ForTeam(team string) TeamBatches { return TeamBatches{batches: s, team: team} }

// Results is TeamBatches.Results without a team.
func (s *Batches) Results(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	return s.ForTeam("").Results(ctx, id, after, wait)
}

// Body is TeamBatches.Body without a team.
func (s *Batches) Body(ctx context.Context, id, sample string) ([]byte, error) {
	return s.ForTeam("").Body(ctx, id, sample)
}

// End is TeamBatches.End without a team.
func (s *Batches) End(ctx context.Context, id string) error { return s.ForTeam("").End(ctx, id) }

// mayAccess reports whether a team may access a batch of the team owner. Both may be empty: a batch
// that was accepted before the configuration had teams, or on a public route without a key, belongs
// to none, and everyone with a key may access it.
func mayAccess(team, owner string) bool { return team == "" || owner == "" || team == owner }

func errNoSuchBatch() error { return codedError(resultcode.NotFound, "no such batch") }

// readManifestFor is readManifest, but a batch that the team may not access is not found.
func (s *Batches) readManifestFor(ctx context.Context, team, id string) (storedManifest, error) {
	m, err := s.readManifest(ctx, id)
	if err == nil && !mayAccess(team, m.Team) {
		return m, errNoSuchBatch()
	}
	return m, err
}

// teamParameter is the parameter of calls between hosts that names the team on whose behalf they ask. Calls
// without it are not restricted.
const teamParameter = "team"

// teamQuery returns the query of a call on behalf of a team, empty if there is none.
func teamQuery(team string) string {
	if team == "" {
		return ""
	}
	return "?" + url.Values{teamParameter: {team}}.Encode()
}
