package news

import (
	"time"

	"github.com/figmast/figmast/route"
)

// LimitReport reports the request limit that an incarnation of a server named in
// an answer, or that it names none any more.
type LimitReport struct {
	ServerRef
	// Rate is in requests per second from all hosts together; -1 means no limit.
	Rate float64 `cbor:"4,keyasint"`
	// AgeMs is how long ago the limit was in force.
	AgeMs int64 `cbor:"5,keyasint"`
}

// rateUnlimited is the Rate of a server without a limit.
const rateUnlimited = -1

// NewLimitReport returns a report of a limit that was in force age ago.
func NewLimitReport(k route.ServerKey, limit route.RequestLimit, age time.Duration) LimitReport {
	r := LimitReport{ServerRef: newServerRef(k), Rate: rateUnlimited, AgeMs: max(age.Milliseconds(), 0)}
	if limit.State == route.Limited {
		r.Rate = limit.Rate
	}
	return r
}

func (l LimitReport) limit() route.RequestLimit {
	if l.Rate < 0 {
		return route.NoLimit
	}
	return route.LimitedTo(l.Rate)
}

const (
	// limitRepeatPolls is for how many polls a change is reported, as some of
	// them may be lost.
	limitRepeatPolls = 3
	// limitTTL is how long a limit is kept that is over, or whose server is not
	// published.
	limitTTL = 30 * time.Second
	// maxLimitReports bounds the limits kept, and thus those in one message.
	maxLimitReports = 1024
)

// reportedLimit is the last known request limit of a server.
type reportedLimit struct {
	route.LimitReport
	// changedAt is when this host learned of it.
	changedAt time.Time
	// unpublishedSince is since when the server has not been published, or zero.
	unpublishedSince time.Time
}

// AddLimitReports records the request limits that servers have named. The latest
// report of a server counts.
func (s *State) AddLimitReports(now time.Time, list []LimitReport) {
	for _, l := range list {
		at, key, limit := now.Add(-time.Duration(l.AgeMs)*time.Millisecond), l.key(), l.limit()
		old, known := s.limits[key]
		if known && !at.After(old.At) || !known && (limit.State != route.Limited || len(s.limits) >= maxLimitReports) {
			continue
		}
		if known && old.Limit == limit {
			old.At = at
			s.limits[key] = old
			continue
		}
		s.limits[key] = reportedLimit{LimitReport: route.LimitReport{Limit: limit, At: at}, changedAt: now}
		s.haveLimitsChanged = true
		s.opts.Log("request limit reported", "server", l.ID, "address", l.Address, "born", l.StartUnixMs, "limit", limit.String(),
			"previous", old.Limit.String(), "age_ms", l.AgeMs)
	}
}

// LimitReports returns the known request limits, or nil if none has changed since
// the last call.
func (s *State) LimitReports() map[route.ServerKey]route.LimitReport {
	if !s.haveLimitsChanged {
		return nil
	}
	s.haveLimitsChanged = false
	out := make(map[route.ServerKey]route.LimitReport, len(s.limits))
	for key, l := range s.limits {
		out[key] = l.LimitReport
	}
	return out
}

// expireLimits removes limits that are over, and those of servers that are gone.
func (s *State) expireLimits(now time.Time) {
	for key, l := range s.limits {
		isOver := l.Limit.State != route.Limited && now.Sub(l.changedAt) > limitTTL
		isGone := !l.unpublishedSince.IsZero() && now.Sub(l.unpublishedSince) > limitTTL
		if isOver || isGone {
			delete(s.limits, key)
			s.haveLimitsChanged = true
		}
	}
}

// markUnpublishedLimits records which limits are those of servers that are not in
// the topology.
func (s *State) markUnpublishedLimits(now time.Time, t *route.Topology) {
	if len(s.limits) == 0 {
		return
	}
	published := make(map[route.ServerKey]bool, len(t.Servers))
	for _, v := range t.Servers {
		published[v.Key()] = true
	}
	for key, l := range s.limits {
		switch {
		case published[key]:
			l.unpublishedSince = time.Time{}
		case l.unpublishedSince.IsZero():
			l.unpublishedSince = now
		}
		s.limits[key] = l
	}
}

// limitReports returns the reports to send: those of recent changes or, to a host
// that has just started, all.
func (s *State) limitReports(now time.Time, all bool) []LimitReport {
	var out []LimitReport
	for key, l := range s.limits {
		if all || now.Sub(l.changedAt) <= limitRepeatPolls*s.PollInterval() {
			out = append(out, NewLimitReport(key, l.Limit, now.Sub(l.At)))
		}
	}
	return out
}
