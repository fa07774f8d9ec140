package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/route"
)

// newLeavingBalancer returns a Balancer in data centre a with the grace periods
// of the small deployments.
func newLeavingBalancer(now time.Time) *Balancer {
	b := newTestBalancer(now, "10.0.0.0", "a", 9)
	b.opts.DrainFor, b.opts.EvacuateFor = 3*time.Second, 5*time.Second
	return b
}

// TestLeavingServersAreALastResort: leaving servers get calls only while no
// other server can take them, until the end of their grace period less the time
// a call takes to arrive.
func TestLeavingServersAreALastResort(t *testing.T) {
	start := time.Unix(1000, 0)
	drain := func(topology *route.Topology, since time.Time, servers ...int) {
		for _, i := range servers {
			topology.Servers[i].Draining, topology.Servers[i].DrainingSince = true, since
		}
	}
	for _, c := range []struct {
		name  string
		leave func(b *Balancer, topology *route.Topology)
		after time.Duration
		want  string
		why   Reason
	}{
		{"a server that stays goes first", func(_ *Balancer, topology *route.Topology) { drain(topology, start, 0, 1) }, 0, "3", Picked},
		{"none stays", func(_ *Balancer, topology *route.Topology) { drain(topology, start, 0, 1, 2) }, 0, "1", Picked},
		{"none stays, within the bound", func(_ *Balancer, topology *route.Topology) { drain(topology, start, 0, 1, 2) }, 2400 * time.Millisecond, "1", Picked},
		{"none stays, at the bound", func(_ *Balancer, topology *route.Topology) { drain(topology, start, 0, 1, 2) }, 2500 * time.Millisecond, "", AllOut},
		{"draining since an unknown time", func(_ *Balancer, topology *route.Topology) { drain(topology, time.Time{}, 0, 1, 2) }, 0, "", AllOut},
		{"draining for long already", func(_ *Balancer, topology *route.Topology) { drain(topology, start.Add(-2*time.Second), 0, 1, 2) }, 600 * time.Millisecond, "", AllOut},
		{"all evacuated", func(_ *Balancer, topology *route.Topology) {
			topology.Evacuated = map[string]time.Time{"a": start, "b": start, "c": start}
		}, 4400 * time.Millisecond, "1", Picked},
		{"all evacuated, at the bound", func(_ *Balancer, topology *route.Topology) {
			topology.Evacuated = map[string]time.Time{"a": start, "b": start, "c": start}
		}, 4500 * time.Millisecond, "", AllOut},
		{"evacuated and draining", func(_ *Balancer, topology *route.Topology) {
			topology.Evacuated = map[string]time.Time{"a": start, "b": start, "c": start}
			drain(topology, start, 0)
		}, 3 * time.Second, "2", Picked},
		{"the one that stays is down", func(b *Balancer, topology *route.Topology) {
			drain(topology, start, 0, 1)
			for range 9 { // ejected for 5 s
				b.Done(start, b.Begin(start, b.byKey[topology.Servers[2].Key()], 0, true), ResultNotSent)
			}
		}, time.Second, "1", Picked},
		{"the one that stays asked for back-off", func(b *Balancer, topology *route.Topology) {
			drain(topology, start, 0, 1)
			b.RecordBackoff(start, b.byKey[topology.Servers[2].Key()], 2*time.Second)
		}, time.Second, "1", Picked},
		{"by its own notice", func(b *Balancer, topology *route.Topology) {
			b.RecordLeaving(start, b.byKey[topology.Servers[0].Key()])
			drain(topology, start, 1, 2)
		}, time.Second, "1", Picked},
		{"by its own notice, past the bound", func(b *Balancer, topology *route.Topology) {
			b.RecordLeaving(start, b.byKey[topology.Servers[0].Key()])
			drain(topology, start, 1, 2)
		}, 3 * time.Second, "", AllOut},
		{"by what it told another host", func(_ *Balancer, topology *route.Topology) {
			for i := range topology.Servers {
				topology.Servers[i].LeavingNoticeAt = start
			}
		}, 3 * time.Second, "", AllOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newLeavingBalancer(start)
			topology := newTestTopology(threeServers...)
			b.Apply(start, topology)
			c.leave(b, topology)
			b.Apply(start, topology)
			now := start.Add(c.after)
			got, why := b.Choose(now, ChooseInfo{Service: "s", ExpectedLatency: 10 * time.Millisecond})
			is.Equal(why, c.why)
			usable, _ := b.Capacity(now, "s")
			is.Equal(usable > 0, got != nil)
			if got == nil {
				return
			}
			is.True(b.CanSend(now, got))
			if got.local { // remote servers cost the same
				is.Equal(got.ID, c.want)
			}
			is.Equal(got.lastResort, c.name != "a server that stays goes first")
		})
	}
}

// TestNoticesOutliveRegistrations: the notices of an incarnation hold while
// its registration is missing, but not for the next incarnation.
func TestNoticesOutliveRegistrations(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := newLeavingBalancer(now)
	topology := newTestTopology(threeServers[:1]...)
	b.Apply(now, topology)
	first, _ := b.Choose(now, ChooseInfo{Service: "s"})
	call := b.Begin(now, first, 0, true)
	b.Apply(now, newTestTopology()) // the registration has expired while the call still runs
	b.Done(now, call, ResultOK)
	b.RecordLeaving(now, first)
	b.RecordBackoff(now, first, 10*time.Second)
	now = now.Add(4 * time.Second)
	b.Apply(now, topology)
	_, why := b.Choose(now, ChooseInfo{Service: "s"})
	is.Equal(why, AllOut)
	is.Equal(len(b.notices), 0)

	topology.Servers[0].StartUnixMs = 7
	b.Apply(now, topology)
	_, why = b.Choose(now, ChooseInfo{Service: "s"})
	is.Equal(why, Picked)
}

// TestServersThatAskForBackoff: such servers get no calls until the time is
// over, and BackoffLeft returns the shortest time left.
func TestServersThatAskForBackoff(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := newLeavingBalancer(now)
	topology := newTestTopology(threeServers...)
	b.Apply(now, topology)
	target := func(i int) *Target { return b.byKey[topology.Servers[i].Key()] }
	b.RecordBackoff(now, target(0), 3*time.Second)
	b.RecordBackoff(now, target(0), time.Second) // the longer time holds
	b.RecordBackoff(now, target(1), 2*time.Second)
	is.Equal(b.BackoffLeft(now, "s"), time.Duration(0))
	b.RecordBackoff(now, target(2), 48*time.Hour)
	is.Equal(target(2).notice.backoffUntil, now.Add(MaxServerBackoff))
	is.Equal(b.BackoffLeft(now, "s"), 2*time.Second)
	_, why := b.Choose(now, ChooseInfo{Service: "s"})
	is.Equal(why, AllBackingOff)
	usable, _ := b.Capacity(now, "s")
	is.Equal(usable, 0)
	now = now.Add(2 * time.Second)
	got, _ := b.Choose(now, ChooseInfo{Service: "s"})
	is.Equal(got.ID, "2")
	is.True(!b.CanSend(now, target(0)))
	is.True(b.CanSend(now.Add(time.Second), target(0)))
}
