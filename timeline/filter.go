package timeline

import "sort"

// Filter selects events. The zero value matches all.
type Filter struct {
	// Since selects events after this stamp.
	Since Stamp
	// Service, Request and Server, if set, select events with the same value.
	Service string
	Request string
	Server  string
	// Limit is the maximum number of events to return; the newest are kept. 0
	// means no limit.
	Limit int
}

func (f Filter) matches(e *Event) bool {
	return (f.Service == "" || f.Service == e.Service) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Server == "" || f.Server == e.Server)
}

// Sort orders events by stamp; events with equal stamps are ordered by host.
func Sort(events []Event) {
	sort.SliceStable(events, func(i, j int) bool {
		a, b := &events[i], &events[j]
		if a.Stamp != b.Stamp {
			return a.Stamp.Before(b.Stamp)
		}
		return a.Host < b.Host
	})
}

// Merge returns the events of several hosts in the order of Sort.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, l := range lists {
		all = append(all, l...)
	}
	Sort(all)
	return all
}
