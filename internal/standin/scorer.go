package standin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/gorilla/mux"

	"oleanderfall.example/oleanderfall/internal/protocol/platformapi"
)

// Scorer simulates a scoring service. The score of a sample is its share of even tokens.
type Scorer struct {
	*server
}

// NewScorer starts a scorer on address (host:port; port 0 picks one).
func NewScorer(address, name string) (*Scorer, error) {
	s := &Scorer{server: newServer(name)}
	r := mux.NewRouter()
	r.HandleFunc("/v1/score", s.serveScore).Methods(http.MethodPost)
	s.server.handler = r
	return s, s.server.listen(address)
}

func (s *Scorer) serveScore(w http.ResponseWriter, r *http.Request) {
	var req platformapi.ScoreRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.refuse(w, false) {
		return
	}
	run, ok := s.begin(r.Context(), Run{RequestID: req.SampleID})
	if !ok {
		return
	}
	s.finish(run)
	writeJSON(w, platformapi.ScoreReply{SampleID: req.SampleID, Score: ScoreOf(req.Tokens)})
}

// ScoreOf returns the score that a Scorer gives: the share of even tokens, 0 for none.
func ScoreOf(tokens []uint32) float64 {
	if len(tokens) == 0 {
		return 0
	}
	even := 0
	for _, t := range tokens {
		if t%2 == 0 {
			even++
		}
	}
	return float64(even) / float64(len(tokens))
}
