package control

import "time"

// maxSuspects bounds the suspicions that a host passes on at once.
const maxSuspects = 64

// suspects are the requests that crash backend servers, for passing on.
type suspects struct {
	list []suspect
}

type suspect struct {
	service     string
	fingerprint uint64
	until       time.Time
	// news is when it was first heard.
	news time.Time
}

// add keeps a suspicion and reports whether it was news.
func (s *suspects) add(now time.Time, said CrashSuspect) bool {
	until := now.Add(ms(said.RemainingMs))
	for i := range s.list {
		known := &s.list[i]
		if known.service == said.Service && known.fingerprint == said.Fingerprint {
			if until.Sub(known.until) <= time.Second {
				return false
			}
			known.until, known.news = until, now
			return true
		}
	}
	if len(s.list) >= maxSuspects {
		s.list = s.list[1:]
	}
	s.list = append(s.list, suspect{service: said.Service, fingerprint: said.Fingerprint, until: until, news: now})
	return true
}

func (s *suspects) tidy(now time.Time) {
	kept := s.list[:0]
	for _, x := range s.list {
		if now.Before(x.until) {
			kept = append(kept, x)
		}
	}
	s.list = kept
}

// tell returns the suspicions that peers should be told of.
func (s *suspects) tell(now time.Time) []CrashSuspect {
	var out []CrashSuspect
	for _, x := range s.list {
		if now.Sub(x.news) < newsFor {
			out = append(out, CrashSuspect{Service: x.service, Fingerprint: x.fingerprint, RemainingMs: msDown(x.until.Sub(now))})
		}
	}
	return out
}

// AddCrashSuspects takes in what this host has found, and passes it on at once.
func (s *State) AddCrashSuspects(now time.Time, found []CrashSuspect) {
	news := false
	for _, x := range found {
		news = s.suspects.add(now, x) || news
	}
	if news {
		s.hurry(now)
	}
}

// learnSuspicions takes in what a peer has found.
func (s *State) learnSuspicions(now time.Time, found []CrashSuspect) {
	news := false
	for _, x := range found {
		if s.suspects.add(now, x) {
			s.out.Learn = append(s.out.Learn, x)
			news = true
		}
	}
	if news {
		s.hurry(now)
	}
}
