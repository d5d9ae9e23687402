package front

import "time"

// answerLifetime is how long an encoded answer to peers is used. It is short against the time
// between two reads of the store.
const answerLifetime = 50 * time.Millisecond

// Answer returns the encoded State for a peer. A change makes all hosts ask within a moment, so
// the answer is kept for answerLifetime while the state is the same: encoding and compressing
// it for each of hundreds of hosts would take a large part of a small host's processor.
func (f *Feed) Answer(have uint64) (peerAnswer, error) {
	generation := f.catalog.Generation()
	f.mu.Lock()
	key := answerKey{generation: generation, withConfig: generation != have, endpoints: f.endpointsDigest}
	if kept, ok := f.answers[key]; ok && sinceBoot()-kept.at < answerLifetime {
		f.mu.Unlock()
		return kept.answer, nil
	}
	f.mu.Unlock()
	at := sinceBoot()
	state := f.State(have)
	if state.AgeMs >= 0 {
		state.AgeMs += answerLifetime.Milliseconds() // what it may be by the time it is sent
	}
	state.ExactAge = state.ExactAge.Plus(answerLifetime)
	answer, err := newPeerAnswer(state)
	if err != nil {
		return peerAnswer{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, kept := range f.answers {
		if sinceBoot()-kept.at >= answerLifetime {
			delete(f.answers, k)
		}
	}
	f.answers[key] = keptAnswer{answer, at}
	return answer, nil
}

// answerKey identifies the content of an answer to peers.
type answerKey struct {
	generation uint64
	withConfig bool
	endpoints  uint64
}

// keptAnswer is an answer that was encoded at a boot time.
type keptAnswer struct {
	answer peerAnswer
	at     time.Duration
}
