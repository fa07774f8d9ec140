package control

import (
	"sort"
	"time"

	"github.com/figmast/figmast/view"
)

// Limits on the exchange of member information between hosts.
const (
	// gossipDuration is how long a host passes on a change of a member: that it
	// joined, restarted or is leaving.
	gossipDuration = 10 * time.Second
	// maxGossipedMembers bounds the members in one message.
	maxGossipedMembers = 32
	// unlistedExpiry is how long a host that the platform does not list is kept
	// after it was last known to be alive. It applies only while the
	// confirmation is fresh.
	unlistedExpiry = time.Minute
	// maxUnlisted bounds the hosts that are known only from peers: none is added
	// while the members, listed ones included, are as many.
	maxUnlisted = 1024
	// downDuration is how long a host that did not respond is skipped.
	downDuration = 30 * time.Second
)

// member is what this host knows about another.
type member struct {
	Member
	// lastAliveAt is when the host was last known to be alive. It is used only
	// for expiry.
	lastAliveAt time.Time
	// changedAt is when this host learnt of the member's current incarnation
	// and Leaving flag, unless the platform already listed it like that.
	changedAt time.Time
	// delisted is set when the platform has removed the host from its list.
	delisted bool
	// downUntil is the time until which the host is skipped.
	downUntil time.Time
	// attestedAt is the time of the host's latest attestation: it then had
	// neither a fresh confirmation from the platform nor anything newer than
	// this host's table.
	attestedAt time.Time
}

// members is what this host has learnt from and about its peers.
type members struct {
	self Member
	byID map[string]*member
	// changed is set when the list of hosts has to be rebuilt.
	changed bool
}

func newMembers(self Member) *members {
	return &members{self: self, byID: make(map[string]*member), changed: true}
}

// getOrCreate returns the member with the given ID, and adds it if it is
// unknown.
func (m *members) getOrCreate(id string) *member {
	p := m.byID[id]
	if p == nil {
		p = &member{Member: Member{ID: id}}
		m.byID[id] = p
	}
	return p
}

// update applies what a host reported about itself or a peer passed on about
// it. The first report of a host that matches the platform's list is not passed
// on as a change.
func (m *members) update(now time.Time, reported Member, listed bool) {
	if reported.ID == m.self.ID || reported.ID == "" {
		return
	}
	p := m.byID[reported.ID]
	if p == nil && !listed && len(m.byID) >= maxUnlisted {
		return
	}
	p = m.getOrCreate(reported.ID)
	m.updateLastAlive(p, now.Add(-fromMs(reported.AgeMs)))
	if reported.Incarnation < p.Incarnation || reported.Incarnation == p.Incarnation && (p.Leaving || !reported.Leaving) {
		return
	}
	replaced := reported.Incarnation > p.Incarnation
	expected := listed && p.Incarnation == 0 && !reported.Leaving
	p.Member = reported
	if replaced {
		m.changed = m.changed || !p.downUntil.IsZero()
		p.delisted, p.attestedAt, p.downUntil = false, time.Time{}, time.Time{}
	}
	if !expected {
		p.changedAt = now
		m.changed = true
	}
}

func (m *members) updateLastAlive(p *member, at time.Time) {
	if at.After(p.lastAliveAt) {
		p.lastAliveAt = at
	}
}

// markUp ends the skipping of a host that has just responded.
func (m *members) markUp(id string) {
	if p := m.byID[id]; p != nil && !p.downUntil.IsZero() {
		p.downUntil = time.Time{}
		m.changed = true
	}
}

// markDown starts the skipping of a host that did not respond.
func (m *members) markDown(now time.Time, id string) {
	m.getOrCreate(id).downUntil = now.Add(downDuration)
	m.changed = true
}

// expire forgets unlisted hosts not known to have been alive for unlistedExpiry,
// and ends the skipping of hosts whose downDuration is over. While the
// confirmation is stale it keeps all hosts, because peers are then the only
// source of unlisted ones.
func (m *members) expire(now time.Time, isConfirmationStale bool, hosts map[string]listedHost) {
	for id, p := range m.byID {
		if !p.downUntil.IsZero() && !now.Before(p.downUntil) {
			p.downUntil = time.Time{}
			m.changed = true
		}
		if _, isListed := hosts[id]; !isListed && !isConfirmationStale && now.Sub(p.lastAliveAt) > unlistedExpiry {
			delete(m.byID, id)
			m.changed = true
		}
	}
}

// toGossip returns the members to include in a message, at most
// maxGossipedMembers: those that changed within gossipDuration and, while the
// confirmation is stale, also those that the platform does not list or that are
// leaving. If there are more than fit, offset selects a window of them.
func (m *members) toGossip(now time.Time, isConfirmationStale bool, offset int, hosts map[string]listedHost) []Member {
	var candidates []*member
	for id, p := range m.byID {
		if p.Incarnation == 0 {
			continue
		}
		_, isListed := hosts[id]
		if now.Sub(p.changedAt) < gossipDuration || isConfirmationStale && (!isListed || p.Leaving) {
			candidates = append(candidates, p)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if !isConfirmationStale && !a.changedAt.Equal(b.changedAt) {
			return a.changedAt.After(b.changedAt)
		}
		return a.ID < b.ID
	})
	var out []Member
	for i := range min(len(candidates), maxGossipedMembers) {
		p := candidates[(i+offset)%len(candidates)]
		reported := p.Member
		reported.AgeMs = toMsCeil(now.Sub(p.lastAliveAt))
		out = append(out, reported)
	}
	return out
}

// hostList returns all known hosts, sorted by ID: the platform's list, updated
// with what the hosts reported about themselves.
func (m *members) hostList(hosts map[string]listedHost) []view.Host {
	out := []view.Host{{ID: m.self.ID, Address: m.self.Address, DataCentre: m.self.DataCentre, Leaving: m.self.Leaving || hosts[m.self.ID].published.Leaving}}
	for id, l := range hosts {
		if id != m.self.ID && !l.refused {
			out = append(out, applyReported(l.host(id), m.byID[id]))
		}
	}
	for id, p := range m.byID {
		if _, isListed := hosts[id]; !isListed && !p.delisted && p.Incarnation != 0 {
			out = append(out, view.Host{ID: id, Address: p.Address, DataCentre: p.DataCentre, Leaving: p.Leaving})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// applyReported returns a listed host updated with what it reported about
// itself.
func applyReported(h view.Host, p *member) view.Host {
	if p == nil || p.Incarnation == 0 {
		return h
	}
	return view.Host{ID: h.ID, Address: p.Address, DataCentre: p.DataCentre, Leaving: h.Leaving || p.Leaving}
}

// markDelisted records that the platform has removed the host from its list.
func (m *members) markDelisted(id string) {
	if p := m.byID[id]; p != nil {
		p.delisted = true
		m.changed = true
	}
}

func fromMs(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// maxMs is the longest duration that fits a message, in milliseconds.
const maxMs = 1<<32 - 1

// toMsCeil converts a duration to milliseconds, rounded up.
func toMsCeil(d time.Duration) uint32 {
	n := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(n, maxMs))
}

// toMsFloor converts a duration to milliseconds, rounded down.
func toMsFloor(d time.Duration) uint32 {
	return uint32(min(max(d, 0)/time.Millisecond, maxMs))
}
