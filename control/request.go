package control

import (
	"time"

	"github.com/figmast/figmast/view"
)

// HandleRequest processes a peer's request. A later Tick returns the response,
// with the given token.
func (s *State) HandleRequest(now time.Time, token uint64, req *SyncRequest) {
	s.updateMembers(now, req.From, req.Members)
	s.mergeCrashSuspects(now, req.CrashSuspects)
	answerBy := now.Add(min(fromMs(req.HoldMs), maxHold))
	if len(s.gossip.held) >= maxHeldRequests || s.mustRespondNow(req) {
		answerBy = now
	}
	s.requestBack(now, req)
	confirmedAt := s.confirmedAt
	if theirConfirmation := now.Add(-fromMs(req.AgeMs)); req.Hash == s.table.hash() && theirConfirmation.Before(confirmedAt) {
		confirmedAt = theirConfirmation
	}
	s.gossip.held = append(s.gossip.held, heldRequest{token: token, request: *req, receivedAt: now, answerBy: answerBy, confirmedAt: confirmedAt})
}

// requestBack sends a request to the requester if it may hold changes that this
// host lacks. It shares the limit of fullDigestInterval with requests for a full
// digest.
func (s *State) requestBack(now time.Time, req *SyncRequest) {
	sameTable := req.Revision == s.table.revision && req.Hash == s.table.hash()
	if sameTable || req.Revision < s.table.revision || now.Before(s.gossip.nextFullDigest) {
		return
	}
	s.gossip.nextFullDigest = now.Add(fullDigestInterval)
	s.request(now, view.Host{ID: req.From.ID, Address: req.From.Address})
}

// mustRespondNow reports whether a request must be answered without holding it:
// the peer requests a full digest or documents, or is behind.
func (s *State) mustRespondNow(req *SyncRequest) bool {
	return req.Full || len(req.WantDocuments) > 0 || req.Revision < s.table.revision
}

// replyToDue answers the held requests that have waited long enough or that a
// change or a newer confirmation is available for.
func (s *State) replyToDue(now time.Time) {
	kept := s.gossip.held[:0]
	for _, h := range s.gossip.held {
		newerConfirmation := s.confirmedAt.Sub(h.confirmedAt) >= minConfirmationGain
		if now.Before(h.answerBy) && !newerConfirmation && !s.mustRespondNow(&h.request) {
			kept = append(kept, h)
			continue
		}
		s.out.Replies = append(s.out.Replies, Reply{Token: h.token, Answer: s.newResponse(now, h)})
	}
	s.gossip.held = kept
}

// newResponse builds the response to a held request.
func (s *State) newResponse(now time.Time, h heldRequest) SyncResponse {
	isConfirmationStale := s.IsConfirmationStale(now)
	res := SyncResponse{
		From: s.members.self, HeldMs: toMsFloor(now.Sub(h.receivedAt)),
		Confirmed: !s.confirmedAt.IsZero(), AgeMs: toMsCeil(now.Sub(s.confirmedAt)),
		Members:       s.members.toGossip(now, isConfirmationStale, s.gossip.memberOffset, s.table.hosts),
		CrashSuspects: s.crashSuspects.toGossip(now),
	}
	s.gossip.memberOffset += maxGossipedMembers
	s.table.fillDigest(&h.request, &res)
	if h.request.WantAttestations && isConfirmationStale {
		res.AttestationAges = s.attestationAges(now)
	}
	return res
}
