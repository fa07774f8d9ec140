package control

import (
	"time"

	"github.com/figmast/figmast/view"
)

// HandleRequest takes in a peer's question; its answer is given out by a Tick with
// the token.
func (s *State) HandleRequest(now time.Time, token uint64, in *SyncRequest) {
	s.hear(now, in.From, in.Members)
	s.learnSuspicions(now, in.CrashSuspects)
	until := now.Add(min(ms(in.HoldMs), holdFor))
	if len(s.relay.held) >= maxHeld || s.lacks(in) {
		until = now
	}
	s.askBack(now, in)
	confirmed := s.confirmed
	if theirs := now.Add(-ms(in.AgeMs)); in.Hash == s.table.hash() && theirs.Before(confirmed) {
		confirmed = theirs
	}
	s.relay.held = append(s.relay.held, held{token: token, ask: *in, since: now, until: until, confirmed: confirmed})
}

// askBack asks the asker when it may hold something that this host lacks.
func (s *State) askBack(now time.Time, in *SyncRequest) {
	same := in.Revision == s.table.revision && in.Hash == s.table.hash()
	if same || in.Revision < s.table.revision || now.Before(s.relay.nextFull) {
		return
	}
	s.relay.nextFull = now.Add(fullEvery)
	s.ask(now, view.Host{ID: in.From.ID, Address: in.From.Address})
}

// lacks reports whether a peer is to be told something at once.
func (s *State) lacks(in *SyncRequest) bool {
	return in.Full || len(in.WantDocuments) > 0 || in.Revision < s.table.revision
}

// replyDue answers the questions that have waited long enough, or that there
// is news for.
func (s *State) replyDue(now time.Time) {
	kept := s.relay.held[:0]
	for _, h := range s.relay.held {
		fresher := s.confirmed.Sub(h.confirmed) >= relayStep
		if now.Before(h.until) && !fresher && !s.lacks(&h.ask) {
			kept = append(kept, h)
			continue
		}
		s.out.Replies = append(s.out.Replies, Reply{Token: h.token, Answer: s.answer(now, h)})
	}
	s.relay.held = kept
}

func (s *State) answer(now time.Time, h held) SyncResponse {
	deaf := s.IsConfirmationStale(now)
	a := SyncResponse{
		From: s.members.self, HeldMs: msDown(now.Sub(h.since)),
		Confirmed: !s.confirmed.IsZero(), AgeMs: msUp(now.Sub(s.confirmed)),
		Members:       s.members.tell(now, deaf, s.relay.turn, s.table.hosts),
		CrashSuspects: s.suspects.tell(now),
	}
	s.relay.turn += maxNews
	s.table.digest(&h.ask, &a)
	if h.ask.WantAttestations && deaf {
		a.AttestationAges = s.witnesses(now)
	}
	return a
}
