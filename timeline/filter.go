package timeline

import "sort"

// Filter chooses events; its zero value passes all.
type Filter struct {
	// Since passes only events after that stamp.
	Since Stamp
	// Service, Request and Server pass only events about them, where set.
	Service string
	Request string
	Server  string
	// Limit is the most events to return, the newest; 0 means all.
	Limit int
}

func (f Filter) passes(e *Event) bool {
	return (f.Service == "" || f.Service == e.Service) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Server == "" || f.Server == e.Server)
}

// Sort orders events of any hosts by stamp.
func Sort(events []Event) {
	sort.SliceStable(events, func(i, j int) bool {
		a, b := &events[i], &events[j]
		if a.Stamp != b.Stamp {
			return a.Stamp.Before(b.Stamp)
		}
		return a.Host < b.Host
	})
}

// Merge returns the events of several hosts in one order.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, l := range lists {
		all = append(all, l...)
	}
	Sort(all)
	return all
}
