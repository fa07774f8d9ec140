package control

import (
	"sort"
	"time"

	"github.com/figmast/figmast/view"
)

// Bounds on what hosts tell each other about hosts.
const (
	// newsFor is how long a host passes on that a host came or is leaving.
	newsFor = 10 * time.Second
	// maxNews bounds the members in one message.
	maxNews = 32
	// forgetAfter is how long a host that is not on the platform's list is
	// counted after it was last heard, while the platform can be read.
	forgetAfter = time.Minute
	// maxUnlisted bounds the hosts that are known from peers only.
	maxUnlisted = 1024
	// downFor is how long a host that did not answer is passed over.
	downFor = 30 * time.Second
)

// member is what a host has heard of another.
type member struct {
	Member
	// heard is when the host was last alive, as far as known; it decides
	// about forgetting only.
	heard time.Time
	// news is when the host was first heard in its present condition.
	news time.Time
	// delisted is set when the platform has taken the host off its list.
	delisted bool
	// down is until when the host is passed over.
	down time.Time
	// witness is when the host is known to have heard neither the platform
	// nor anything newer than the table.
	witness time.Time
}

// members is what a host has heard from and about its peers.
type members struct {
	self Member
	byID map[string]*member
	// changed is set when the picture of hosts is out of date.
	changed bool
}

func newMembers(self Member) *members {
	return &members{self: self, byID: make(map[string]*member), changed: true}
}

// get returns what is known of a host of the platform's list.
func (m *members) get(id string) *member {
	p := m.byID[id]
	if p == nil {
		p = &member{Member: Member{ID: id}}
		m.byID[id] = p
	}
	return p
}

// learn takes in what a host said of itself, or a peer of it. The first word
// from a host that the platform lists just so is no news.
func (m *members) learn(now time.Time, said Member, listed bool) {
	if said.ID == m.self.ID || said.ID == "" {
		return
	}
	p := m.byID[said.ID]
	if p == nil && !listed && len(m.byID) >= maxUnlisted {
		return
	}
	p = m.get(said.ID)
	m.hear(p, now.Add(-ms(said.AgeMs)))
	if said.Incarnation < p.Incarnation || said.Incarnation == p.Incarnation && (p.Leaving || !said.Leaving) {
		return
	}
	replaced := said.Incarnation > p.Incarnation
	expected := listed && p.Incarnation == 0 && !said.Leaving
	p.Member = said
	if replaced {
		m.changed = m.changed || !p.down.IsZero()
		p.delisted, p.witness, p.down = false, time.Time{}, time.Time{}
	}
	if !expected {
		p.news = now
		m.changed = true
	}
}

func (m *members) hear(p *member, at time.Time) {
	if at.After(p.heard) {
		p.heard = at
	}
}

// alive notes that a host has just answered or asked.
func (m *members) alive(id string) {
	if p := m.byID[id]; p != nil && !p.down.IsZero() {
		p.down = time.Time{}
		m.changed = true
	}
}

// failed notes that a host did not answer.
func (m *members) failed(now time.Time, id string) {
	m.get(id).down = now.Add(downFor)
	m.changed = true
}

// tidy forgets hosts that are gone and lets those that were passed over be
// tried again. Hosts are kept while the platform cannot be read, as only
// peers can tell of them then.
func (m *members) tidy(now time.Time, deaf bool, listed map[string]listed) {
	for id, p := range m.byID {
		if !p.down.IsZero() && !now.Before(p.down) {
			p.down = time.Time{}
			m.changed = true
		}
		if _, on := listed[id]; !on && !deaf && now.Sub(p.heard) > forgetAfter {
			delete(m.byID, id)
			m.changed = true
		}
	}
}

// news returns what peers should be told of hosts: the latest first while the
// platform can be read, else a part of all that its list does not show.
func (m *members) tell(now time.Time, deaf bool, start int, hosts map[string]listed) []Member {
	var all []*member
	for id, p := range m.byID {
		if p.Incarnation == 0 {
			continue
		}
		_, on := hosts[id]
		if now.Sub(p.news) < newsFor || deaf && (!on || p.Leaving) {
			all = append(all, p)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if !deaf && !a.news.Equal(b.news) {
			return a.news.After(b.news)
		}
		return a.ID < b.ID
	})
	var out []Member
	for i := range min(len(all), maxNews) {
		p := all[(i+start)%len(all)]
		said := p.Member
		said.AgeMs = msUp(now.Sub(p.heard))
		out = append(out, said)
	}
	return out
}

// picture returns all hosts as far as known, sorted by id: the platform's list
// corrected by what the hosts themselves said.
func (m *members) picture(hosts map[string]listed) []view.Host {
	out := []view.Host{{ID: m.self.ID, Address: m.self.Address, DataCentre: m.self.DataCentre, Leaving: m.self.Leaving || hosts[m.self.ID].entry.Leaving}}
	for id, l := range hosts {
		if id != m.self.ID && !l.refused {
			out = append(out, corrected(l.host(id), m.byID[id]))
		}
	}
	for id, p := range m.byID {
		if _, on := hosts[id]; !on && !p.delisted && p.Incarnation != 0 {
			out = append(out, view.Host{ID: id, Address: p.Address, DataCentre: p.DataCentre, Leaving: p.Leaving})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// corrected returns a listed host with what it said of itself.
func corrected(h view.Host, p *member) view.Host {
	if p == nil || p.Incarnation == 0 {
		return h
	}
	return view.Host{ID: h.ID, Address: p.Address, DataCentre: p.DataCentre, Leaving: h.Leaving || p.Leaving}
}

// delist notes that the platform has taken hosts off its list.
func (m *members) delist(id string) {
	if p := m.byID[id]; p != nil {
		p.delisted = true
		m.changed = true
	}
}

func ms(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// maxMs is the longest span that fits a message, in milliseconds.
const maxMs = 1<<32 - 1

// msUp returns a span in milliseconds, rounded up.
func msUp(d time.Duration) uint32 {
	n := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(n, maxMs))
}

// msDown returns a span in milliseconds, rounded down.
func msDown(d time.Duration) uint32 {
	return uint32(min(max(d, 0)/time.Millisecond, maxMs))
}
